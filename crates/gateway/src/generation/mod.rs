//! Streams of events: start on an engine with room, relay, and go on elsewhere when it goes.

mod events;
mod mover;
mod placing;
mod relay;
mod reservation;
mod start;

pub(crate) use start::run;
