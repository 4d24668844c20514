//! Live migration of running generations away from an engine that is shutting down.
//!
//! The engine copies a generation repeatedly while it runs, until little is left to copy; then it
//! stops the generation and copies the rest. The copies of one engine queue behind each other, so
//! the last one is requested when the queue is empty, or when the engine's time runs out.
//!
//! Load pattern: every few seconds a sixth of the engines get notice and are gone 1.5 to 2.1
//! seconds later, each with several long answers on it.

/// Time limits of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationOptions {
    /// After a copy that took no longer than this, little is left for the last one.
    pub quick_copy_ms: u64,
    /// Latest time after the notice at which the last copy starts.
    pub latest_stop_ms: u64,
    /// Maximum duration of a copy, as a multiple of the expected duration.
    pub max_copy_factor: u64,
    /// Time between the first copies of two generations, to leave room for the last copy of the
    /// earlier one.
    pub gap_ms: u64,
    /// How long after the notice a generation waits for room on another engine.
    pub room_limit_ms: u64,
    /// Pause before a copy request is retried after an inconclusive answer.
    pub retry_pause_ms: u64,
    /// Time after the notice at which an engine that does not answer is considered gone.
    pub give_up_ms: u64,
}

impl EvacuationOptions {
    /// Options for fleets where updates from other daemons arrive late. A generation waits for the
    /// usual duration of earlier copies instead of reports of their end. It does not wait for room,
    /// since other daemons may take it before the update arrives.
    #[must_use]
    pub fn with_delayed_updates() -> Self {
        Self { max_copy_factor: 1, gap_ms: 10, room_limit_ms: 0, ..Self::default() }
    }

    /// Options for an engine that stays, in a data centre that is evacuated. Times are counted from the start
    /// of the move. Nothing is lost by waiting, so a generation waits for room for as long as it takes, and
    /// longer for those before it, so that one at a time is copied.
    #[must_use]
    pub fn without_time_limit() -> Self {
        Self {
            latest_stop_ms: 3_000,
            max_copy_factor: 4,
            gap_ms: 250,
            room_limit_ms: u64::MAX,
            ..Self::default()
        }
    }
}

impl Default for EvacuationOptions {
    fn default() -> Self {
        Self {
            quick_copy_ms: 40,
            latest_stop_ms: 1_150,
            max_copy_factor: 2,
            gap_ms: 30,
            room_limit_ms: 1_150,
            retry_pause_ms: 30,
            give_up_ms: 2_600,
        }
    }
}

/// A generation on an engine that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunView {
    /// Identifies it among the generations of its engine.
    pub key: u32,
    /// The memory it uses.
    pub tokens: u64,
    /// When it started, by its daemon's clock. It never changes, so that all daemons agree on the
    /// order.
    pub started_unix_ms: u64,
}

/// Maximum time that the generation `own` waits for its turn to be copied; 0 when it is its turn.
///
/// The oldest generations go first, since their output is worth the most for the time that a copy
/// takes.
#[must_use]
pub fn turn_wait_ms(
    runs: &[RunView],
    own: u32,
    copy_ms: impl Fn(u64) -> u64,
    options: &EvacuationOptions,
) -> u64 {
    let Some(own) = runs.iter().find(|run| run.key == own) else { return 0 };
    let rank = |run: &RunView| (run.started_unix_ms, run.key);
    let earlier = runs.iter().filter(|run| rank(run) < rank(own));
    let longest_ms = |run: &RunView| copy_ms(run.tokens) * options.max_copy_factor + options.gap_ms;
    earlier.map(longest_ms).sum()
}

/// What to do after a copy has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCopy {
    /// Copy the new state while the generation keeps running.
    Again,
    /// Stop the generation and copy the rest.
    Last,
}

/// What follows a copy that took `copy_ms` and arrived `since_notice_ms` after the notice.
///
/// A slow copy either waited behind others or left much new state, so the next one shows whether
/// the link is free.
#[must_use]
pub fn next_copy(copy_ms: u64, since_notice_ms: u64, options: &EvacuationOptions) -> NextCopy {
    let is_late = since_notice_ms + copy_ms >= options.latest_stop_ms;
    if copy_ms <= options.quick_copy_ms || is_late { NextCopy::Last } else { NextCopy::Again }
}
