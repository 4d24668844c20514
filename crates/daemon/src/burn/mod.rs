//! Service levels on a request's path, and the report over all daemons.
//!
//! A request sends its measurements into a bounded channel and never waits: one task folds them
//! into a [`comfreymast_burn::Recorder`]. A report asks every daemon of the VM list for its counts.
//!
//! * [`RequestRecord`] — measures one request; [`StreamRecord`] its stream.
//! * [`BurnState`] — the channel, the recorder and the reports in progress.
//! * [`collect`] — the counts of all daemons.

mod collect;
mod request_record;
mod state;
mod stream_record;

pub(crate) use collect::collect;
pub(crate) use request_record::RequestRecord;
pub(crate) use state::{BurnState, fold};
pub(crate) use stream_record::StreamRecord;
