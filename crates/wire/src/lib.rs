//! Message types of the network protocols and the log, and the framing between daemons.
//!
//! The types in [`cursor`], [`log`], [`news`] and [`peer`] are generated from `proto/` by
//! `cargo run -p xtask` and committed, so that a build needs no generator.
//!
//! * [`log`] — records on the platform's log.
//! * [`news`] — datagrams and snapshots exchanged between daemons on the platform.
//! * [`peer`] — messages between daemons.
//! * [`cursor`] — the position with which a client resumes a stream.
//! * [`engine`] — JSON messages exchanged with the engines.
//! * [`frames`] — length-prefixed frames over one TCP stream.

pub mod engine;
pub mod frames;

/// Records on the platform's log.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.log.rs"]
pub mod log;

/// The position with which a client resumes a stream.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.cursor.rs"]
pub mod cursor;

/// Messages between daemons.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.peer.rs"]
pub mod peer;

/// Datagrams and snapshots exchanged between daemons on the platform.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/comfreymast.news.rs"]
pub mod news;
