//! A model engine with continuous batching and limited memory.
//!
//! * [`batch`] — the batch scheduler without I/O: admission, preemption and the duration of steps.
//! * [`server`] — the HTTP server around it.
//! * [`text`] — the generated text, which reveals when tokens of two generations are mixed.

pub mod batch;
mod prefix_cache;
pub mod server;
pub mod text;
