//! Keeps the requests to cold upstreams within what they tolerate from all daemons together.
//!
//! * `upstream` — until when one upstream is cold, and this daemon's turns at it.
//! * `fleet` — what this daemon knows of the others, and its share of the rate that follows.
//! * `candidates` — which upstreams a request may be sent to now, and when to come back.
//!
//! A turn is taken when a request is sent (`send.rs`), not when its upstream is chosen.

mod candidates;
mod fleet;
mod upstream;

pub(crate) use candidates::{retain_with_turns, wait_ms};
pub(crate) use fleet::{ColdFleet, FleetReports};
pub(crate) use upstream::ColdState;
