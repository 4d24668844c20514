//! Service levels: what contracts promise, what was kept, and how fast the error budget burns.
//!
//! Pure: it knows no I/O and takes the time as an argument. Each daemon feeds its own requests into
//! a [`Recorder`]; a report merges the [`DaemonCounts`] of all daemons.
//!
//! ```
//! use comfreymast_burn::{Recorder, Sample, SeriesKey};
//! let mut recorder = Recorder::default();
//! let key = SeriesKey::new("estudio-norte", "report");
//! recorder.take(Sample::first_token(key, 300, 560), 1_000);
//! ```
//!
//! * [`Indicator`] — what is measured; [`Sample`] — one measurement.
//! * [`Recorder`] — the counts of one daemon over a short and a long window.
//! * [`DaemonCounts`] — those counts at one moment, as they travel between daemons.
//! * [`Durations`] — a histogram that merges without loss beyond its bucket width.
//! * [`Report`] — burn rates over all daemons; [`Report::html`] draws it.

mod counts;
mod daemon_counts;
mod durations;
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
pub use durations::Durations;
pub use indicator::Indicator;
pub use plot::PlotError;
pub use recorder::Recorder;
pub use report::{Distribution, Report};
pub use row::{Burn, Row};
pub use sample::Sample;
pub use series_key::SeriesKey;
pub use window::{LONG_WINDOW_MS, SHORT_WINDOW_MS};
