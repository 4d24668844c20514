//! Requests that kill engines are refused everywhere.
//!
//! * [`check`] — refuses a request that is quarantined.
//! * [`confirm_death`] — blames a request for an engine that has died, and tells the peers.
//! * [`take_suspicion`] — takes in what a peer blames.
//! * [`declare`] — writes a quarantine, or its lifting, to the log.
//! * [`QuarantineState`] — what this daemon suspects.

mod check;
mod declare;
mod state;
mod suspicion;

pub(crate) use check::{check, fingerprint, settle};
pub(crate) use declare::{DeclareError, declare};
pub(crate) use state::{Placed, QuarantineState};
pub(crate) use suspicion::{confirm_death, take_suspicion};
