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
    /// How many times as long as expected a copy takes at most.
    pub slowest_copy: u64,
    /// Time between the first copies of two generations, for the last copy of the earlier one.
    pub gap_ms: u64,
    /// Until when after the notice a generation waits for room elsewhere.
    pub room_limit_ms: u64,
    /// The time between two requests for a copy when the first decided nothing.
    pub retry_pause_ms: u64,
    /// When an engine that does not answer is taken to be gone, from its notice.
    pub give_up_ms: u64,
}

impl EvacuationOptions {
    /// Where news of other daemons' moves comes late: nobody waits for word that an earlier copy
    /// is done, but for the time that it usually takes, and nobody waits for room that others may
    /// have taken before word of it comes.
    #[must_use]
    pub fn with_late_news() -> Self {
        Self { slowest_copy: 1, gap_ms: 10, room_limit_ms: 0, ..Self::default() }
    }
}

impl Default for EvacuationOptions {
    fn default() -> Self {
        Self {
            quick_copy_ms: 40,
            latest_stop_ms: 1_150,
            slowest_copy: 2,
            gap_ms: 30,
            room_limit_ms: 1_150,
            retry_pause_ms: 30,
            give_up_ms: 2_600,
        }
    }
}

/// A generation on an engine that goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunView {
    /// Names it among those of its engine.
    pub key: u32,
    /// The memory it holds.
    pub tokens: u64,
    /// When it started, by its daemon's clock; never changes, so that all daemons order alike.
    pub started_unix_ms: u64,
}

/// How long the generation `own` waits at most for its turn to be copied; 0 when it is its turn.
/// The oldest go first: what they have made is worth most for the time that their copy takes.
#[must_use]
pub fn turn_ms(
    runs: &[RunView],
    own: u32,
    copy_ms: impl Fn(u64) -> u64,
    options: &EvacuationOptions,
) -> u64 {
    let Some(own) = runs.iter().find(|run| run.key == own) else { return 0 };
    let rank = |run: &RunView| (run.started_unix_ms, run.key);
    let earlier = runs.iter().filter(|run| rank(run) < rank(own));
    let longest_ms = |run: &RunView| copy_ms(run.tokens) * options.slowest_copy + options.gap_ms;
    earlier.map(longest_ms).sum()
}

/// What to do after a copy arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCopy {
    /// Copy what is new while the generation runs on.
    Again,
    /// Stop the generation and copy the rest.
    Last,
}

/// What follows a copy that took `copy_ms` and arrived `since_notice_ms` after the notice. A slow
/// copy waited behind others or left much that is new, so the next one tells whether the link is
/// free.
#[must_use]
pub fn next_copy(copy_ms: u64, since_notice_ms: u64, options: &EvacuationOptions) -> NextCopy {
    let is_late = since_notice_ms + copy_ms >= options.latest_stop_ms;
    if copy_ms <= options.quick_copy_ms || is_late { NextCopy::Last } else { NextCopy::Again }
}
