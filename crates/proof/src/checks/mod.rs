//! Checks of the properties that must hold for a history.
//!
//! The lines of a history are in the order they were written. A client writes a line before it
//! sends a request and after it got the answer; an upstream writes a line when a run starts and
//! when it ends. So the order of the lines agrees with the order in real time.
//!
//! * [`claims`] — a non-repeatable request runs at most once, and each key is linearizable.
//! * [`outcomes`] — a request whose caller was told "not run" was not run.
//! * [`tokens`] — a reader gets every token once, in order, from one generation.

pub mod claims;
pub mod outcomes;
pub mod tokens;

use comfreymast_fakes::history::Line;

/// Parses the lines of a history and skips lines that are not valid.
#[must_use]
pub fn parse(history: &str) -> Vec<Line> {
    history.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}
