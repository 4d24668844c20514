//! What must hold of a history.
//!
//! The lines of a history are in the order they were written. A client writes before it sends and
//! after it was answered; an upstream writes when it starts and when it ends. So whatever came
//! before something else in real time also comes before it here.
//!
//! * [`claims`] — a non-repeatable request runs at most once, and keys behave as one register.
//! * [`outcomes`] — told "not run" means not run.
//! * [`tokens`] — every token once, in order, from one generation.

pub mod claims;
pub mod outcomes;
pub mod tokens;

use comfreymast_fakes::history::Line;

/// Reads the lines of a history; a line that does not read is left out.
#[must_use]
pub fn parse(history: &str) -> Vec<Line> {
    history.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}
