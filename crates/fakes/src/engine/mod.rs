//! A model engine that batches continuously in limited memory.
//!
//! * [`model`] — the pure batch: what runs, what waits, what is pushed out, how long a step takes.
//! * [`process`] — the HTTP server around it.
//! * [`text`] — the words it writes, which show every splice of two generations.

pub mod model;
mod prefix_cache;
pub mod process;
pub mod text;
