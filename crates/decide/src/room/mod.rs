//! Streams that wait at a daemon for an engine with room.
//!
//! Load pattern: bursts of short and long generations of several priorities that exceed what the engines of a
//! service take at once.
//!
//! * [`order`] — which stream starts first, by what a delay costs.
//! * [`queue`] — the waiting streams, and the walk over them when room may have become free.
//! * [`forecast`] — when room is expected.
//! * [`turn_away`] — which stream is rejected at once, and when its caller is told to come back.
//! * [`peers`] — what waits at other daemons, and when it goes first.
//! * [`engine_priority`] — the priority that an engine is given.

pub mod engine_priority;
pub mod forecast;
pub mod order;
pub mod peers;
pub mod queue;
pub mod turn_away;
