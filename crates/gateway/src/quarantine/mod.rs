//! Requests that crash the upstreams that run them, and parts of prompts that crash each upstream that
//! begins to answer on them, are refused by all daemons.
//!
//! * [`report_if_ended`] — suspects the request that an ended upstream was running, and its parts, and
//!   tells peers.
//! * [`record_success`] — clears a request that has run to its end, and its parts.
//! * [`record_begun_answer`] — clears the parts of a request that an upstream has begun to answer.
//! * [`handle_suspicion`], [`handle_exoneration`] — apply what a peer saw.
//! * [`check`] — refuses a quarantined request.
//! * [`release_body`] — gives up a body that cannot be sent again.
//! * [`follow_suspects`] — applies what other daemons wrote to the store.
//! * [`remove_expired`] — deletes old records of the store.
//! * [`QuarantineState`] — the requests that this daemon suspects or refuses.

mod check;
mod content;
mod end;
mod exoneration;
mod restore;
mod state;
mod store_writer;
mod stored;
mod suspicion;

pub(crate) use check::check;
pub(crate) use content::release_body;
pub(crate) use end::{LastProgress, report_if_ended};
pub(crate) use exoneration::{handle_exoneration, record_begun_answer, record_success};
pub(crate) use state::QuarantineState;
pub(crate) use store_writer::remove_expired;
pub(crate) use stored::follow_suspects;
pub(crate) use suspicion::handle_suspicion;
