//! Orders waiting streams by what a delay costs.
//!
//! Load pattern: one burst with streams of several priorities, sizes and target latencies.

use comfreymast_base::Organisation;

/// The prompt tokens that an engine is assumed to read in a millisecond.
const PROMPT_TOKENS_PER_MS: u64 = 10;
/// The time per token that is assumed on a busy engine.
pub const TOKEN_MS: u64 = 9;
/// How much later a stream is due for each millisecond of its work. A stream of that much more work than
/// another is passed by those that arrive up to this factor later.
const WORK_WEIGHT: u64 = 2;
/// Streams of equal priority that are due within this part of their target latency count as due at the same
/// time, so that fairness between organisations decides.
const TIE_DIVISOR: u64 = 4;

/// What is known of a stream that needs an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomRequest {
    /// Its priority, 0 first.
    pub priority: u8,
    /// The organisation of its caller; `None` on a public route.
    pub organisation: Option<Organisation>,
    /// When it arrived.
    pub arrived_ms: u64,
    /// The target time from its arrival to its first event.
    pub target_latency_ms: u64,
    /// When its caller or its route gives up.
    pub timeout_at_ms: u64,
    /// The length of its prompt.
    pub prompt_tokens: u64,
    /// The expected length of its answer.
    pub output_tokens: u64,
    /// The memory that it needs on an engine.
    pub need_tokens: u64,
}

/// The place of a waiting stream among the others; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    priority: u8,
    is_late: bool,
    due_ms: u64,
    served_doublings: u64,
}

impl RoomRequest {
    /// The expected time from its start to its first event.
    #[must_use]
    pub fn first_event_ms(&self) -> u64 {
        self.prompt_tokens / PROMPT_TOKENS_PER_MS
    }

    /// The expected time from its start to its end.
    #[must_use]
    pub fn work_ms(&self) -> u64 {
        self.first_event_ms() + self.output_tokens * TOKEN_MS
    }

    /// The latest start with which its first event meets the target latency.
    #[must_use]
    pub fn on_time_start_ms(&self) -> u64 {
        (self.arrived_ms + self.target_latency_ms).saturating_sub(self.first_event_ms())
    }

    /// True if its work is done within its target latency on an idle engine.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.work_ms() <= self.target_latency_ms
    }

    /// The time by which it is ordered among those of its priority.
    #[must_use]
    pub fn due_ms(&self) -> u64 {
        self.on_time_start_ms() + self.work_ms() * WORK_WEIGHT
    }

    /// Its place in the order. `served_tokens` is what its organisation received lately.
    ///
    /// A stream that can no longer be on time loses less by waiting longer than one that still can. The time
    /// at which one is due does not depend on `now_ms`, so one that waits is passed by ever fewer of those that
    /// arrive later.
    #[must_use]
    pub fn order_key(&self, served_tokens: f64, now_ms: u64) -> OrderKey {
        let on_time_start_ms = self.on_time_start_ms();
        let due_ms = self.due_ms();
        let grid_ms = (self.target_latency_ms / TIE_DIVISOR).max(1);
        OrderKey {
            priority: self.priority,
            is_late: on_time_start_ms < now_ms,
            due_ms: due_ms / grid_ms * grid_ms,
            served_doublings: served_tokens.max(1.0).log2() as u64,
        }
    }
}
