//! Connections to engines.
//!
//! * [`EngineStream`] — the tokens of one attempt on a connection of its own.
//! * [`fence`] — fencing tokens, which order the attempts at a generation.
//! * [`cancel`] — cancels an attempt that nobody reads.

mod cancel;
mod engine_stream;
pub(crate) mod fence;

pub(crate) use cancel::cancel;
pub(crate) use engine_stream::{AttachError, EngineStream, StartError, StartFailure, StreamError};
