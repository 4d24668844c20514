//! Measures service levels for each request and reports them across all daemons.
//!
//! A request sends its samples into a bounded channel and never waits; one task records them in a
//! [`comfreymast_burn::Recorder`]. A report queries every daemon on the VM list for its counts.
//!
//! * [`RequestRecord`] — measures one request; [`StreamRecord`] measures its stream.
//! * [`BurnState`] — the channel, the recorder and the reports in progress.
//! * [`collect`] — collects the counts of all daemons.

mod collect;
mod request_record;
mod state;
mod stream_record;

pub(crate) use collect::collect;
pub(crate) use request_record::RequestRecord;
pub(crate) use state::{BurnState, record_samples};
pub(crate) use stream_record::StreamRecord;
