//! Quarantine of requests that crash engines: all daemons refuse them.
//!
//! * [`check`] — refuses quarantined requests.
//! * [`confirm_death`] — suspects the request that a dead engine was running, and tells the peers.
//! * [`handle_suspicion`] — records a suspicion that a peer reported.
//! * [`declare`] — appends the start or end of a quarantine to the log.
//! * [`QuarantineState`] — the requests that this daemon suspects.

mod check;
mod declare;
mod state;
mod suspicion;

pub(crate) use check::{check, fingerprint, wait_until_decided};
pub(crate) use declare::{DeclareError, declare};
pub(crate) use state::{QuarantineState, RunningSuspect};
pub(crate) use suspicion::{confirm_death, handle_suspicion};
