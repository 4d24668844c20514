//! Data centres that operators evacuate, and the regions that calls are limited to.
//!
//! * [`EvacuationState`] — the evacuated data centres, derived from the operators' feed.
//! * [`apply_changes`] — applies changes of that feed.
//! * [`Eligibility`] — which upstreams may get work of a call; asked by plain requests, placements,
//!   resumptions and targets of moves.
//! * [`without_returning`] — the gradual return of traffic.
//! * [`may_continue_at`] — whether a stopped generation may go on at an engine.

mod eligibility;
mod feed;
mod returning;
mod state;

pub(crate) use eligibility::{Eligibility, UNSERVABLE_RETRY_MS, may_continue_at, service_refusal};
pub(crate) use feed::apply_changes;
pub(crate) use returning::without_returning;
pub(crate) use state::EvacuationState;
