//! Checks of merged histories.
//!
//! * [`tokens`] — every token once, in order, from one generation.

pub mod tokens;
