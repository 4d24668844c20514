//! Connections to engines.

mod engine_stream;

pub(crate) use engine_stream::{EngineStream, StartError, StreamError};
