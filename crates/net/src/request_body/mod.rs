//! Bodies of requests, read within one budget of memory.
//!
//! * [`RequestBodies`] — the budget of all bodies, and the reader of one.
//! * [`BodyOptions`] — the limits of one body.
//! * [`RequestBodyError`] — why a body was not read.

mod bodies;
mod buffer;
mod lease;
mod read_error;

pub use bodies::{BodyOptions, RequestBodies};
pub use read_error::RequestBodyError;
