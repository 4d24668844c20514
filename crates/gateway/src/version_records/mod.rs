//! What the store keeps of the software versions of services, for daemons that start after all others
//! have ended.
//!
//! * [`keep`] — reads and writes the records for as long as the daemon runs.
//! * [`confirm`] — makes sure that a version is recorded before a stream at it begins.
//! * [`learn`] — reads the records for a stream that is taken up.
//! * [`VersionRecordState`] — what this daemon knows of the records.

mod keeper;
mod message;
mod state;

pub(crate) use keeper::{confirm, keep, learn};
pub(crate) use state::VersionRecordState;
