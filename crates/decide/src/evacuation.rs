//! How a running generation leaves an engine that is about to go.
//!
//! The engine copies it while it runs, again and again, until little is left to copy; then it
//! stops the generation and copies the rest. Copies of one engine queue behind each other, so the
//! last one is asked for when the queue has emptied, or when the engine's time runs out.
//!
//! Load pattern: every few seconds a sixth of the engines get notice and are gone 1.5 to 2.1
//! seconds later, each with several long answers on it.

/// When copies end and the generation is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationOptions {
    /// A copy that took no longer than this leaves little for the last one.
    pub quick_copy_ms: u64,
    /// The latest time after the notice for the last copy.
    pub latest_stop_ms: u64,
}

impl Default for EvacuationOptions {
    fn default() -> Self {
        Self { quick_copy_ms: 40, latest_stop_ms: 1_150 }
    }
}

/// What to do after a copy arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCopy {
    /// Copy what is new while the generation runs on.
    Again,
    /// Stop the generation and copy the rest.
    Last,
}

/// What follows a copy that took `copy_ms` and arrived `since_notice_ms` after the notice.
#[must_use]
pub fn next_copy(copy_ms: u64, since_notice_ms: u64, options: &EvacuationOptions) -> NextCopy {
    let is_late = since_notice_ms + copy_ms >= options.latest_stop_ms;
    if copy_ms <= options.quick_copy_ms || is_late { NextCopy::Last } else { NextCopy::Again }
}
