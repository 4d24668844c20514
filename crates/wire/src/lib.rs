//! Messages that leave the process, and the framing between daemons.
//!
//! The types in [`cursor`], [`log`], [`news`] and [`peer`] are generated from `proto/` by `cargo run -p xtask` and
//! committed, so a build needs no generator.
//!
//! * [`log`] — records on the platform's log.
//! * [`news`] — what daemons on the platform tell each other.
//! * [`peer`] — messages between daemons.
//! * [`cursor`] — what a reader gives back to continue a stream.
//! * [`engine`] — JSON messages of the model engines.
//! * [`frames`] — length-prefixed frames over one TCP stream.

pub mod engine;
pub mod frames;

/// Records on the platform's log.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.log.rs"]
pub mod log;

/// What a reader gives back to continue a stream.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.cursor.rs"]
pub mod cursor;

/// Messages between daemons.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.peer.rs"]
pub mod peer;

/// What daemons on the platform tell each other.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.news.rs"]
pub mod news;
