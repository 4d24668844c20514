//! Streams of events: each starts on an engine with room, is relayed to its caller, and continues
//! on another engine when its own is leaving.

mod answer_start;
mod continuation;
mod hand_over;
mod mover;
mod placement;
mod relay;
mod relay_body;
mod relay_log;
mod reservation;
mod start;

pub(crate) use placement::{Placement, PlacementNeed, place};
pub(crate) use relay_body::RelayBody;
pub(crate) use reservation::{Reservation, expected_tokens, generation_key};
pub(crate) use start::run;
