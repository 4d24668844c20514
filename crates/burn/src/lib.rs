//! Service levels: measures how well contracts are met and how fast error budgets burn.
//!
//! The crate does no I/O and takes the time as an argument. Each daemon records its own requests in
//! a [`Recorder`]; a report merges the [`DaemonCounts`] of all daemons.
//!
//! ```
//! use comfreymast_burn::{Recorder, Sample, SeriesKey};
//! let mut recorder = Recorder::default();
//! let key = SeriesKey::new("estudio-norte", "report");
//! recorder.record(Sample::first_token(key, 300, 560), 1_000);
//! ```
//!
//! * [`Indicator`] — what is measured; [`Sample`] — the measurements of one request.
//! * [`Recorder`] — the counts of one daemon over a short and a long window.
//! * [`DaemonCounts`] — a snapshot of those counts, as daemons send it to each other.
//! * [`DurationHistogram`] — a histogram that is as precise after merging as before.
//! * [`Report`] — burn rates over all daemons; [`Report::html`] renders it.

mod counts;
mod daemon_counts;
mod duration_histogram;
mod html;
mod indicator;
mod plot;
mod recorder;
mod report;
mod row;
mod sample;
mod series;
mod series_key;
mod window;

pub use counts::Counts;
pub use daemon_counts::{DaemonCounts, SeriesCounts};
pub use duration_histogram::DurationHistogram;
pub use indicator::Indicator;
pub use plot::PlotError;
pub use recorder::Recorder;
pub use report::{Distribution, Report};
pub use row::{BurnRate, Row};
pub use sample::Sample;
pub use series_key::SeriesKey;
pub use window::{LONG_WINDOW_MS, SHORT_WINDOW_MS};
