//! Streams of events: start on an engine with room, relay, and go on elsewhere when it goes.

mod continuation;
mod events;
mod mover;
mod placing;
mod relay;
mod relay_body;
mod reservation;
mod start;

pub(crate) use start::run;
