//! Connections to engines.
//!
//! * [`EngineStream`] — the tokens of one attempt on a connection of its own.
//! * [`fence`] — which order of a generation is the newer one.
//! * [`cancel`] — ends an attempt that nobody reads.

mod cancel;
mod engine_stream;
pub(crate) mod fence;

pub(crate) use cancel::cancel;
pub(crate) use engine_stream::{AttachError, EngineStream, StartError, StartFailure, StreamError};
