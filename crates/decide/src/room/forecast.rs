//! Tells when room on the engines of a service is expected.
//!
//! Load pattern: all engines are full, and streams of all daemons end at the rate at which they usually do.

/// The number of finished streams from which a forecast is made.
const MIN_OBSERVATIONS: f64 = 8.0;
/// After this many finished streams an old one counts for a third.
const DECAY_OBSERVATIONS: f64 = 64.0;

/// How long streams hold their memory, learned from those that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HoldingTime {
    count: f64,
    held_ms: f64,
    tokens: f64,
    token_ms: f64,
}

/// What the engines of a service have, summed over them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Memory that may be reserved.
    pub usable_tokens: u64,
    /// Memory that is reserved, by all daemons.
    pub reserved_tokens: u64,
    /// The most that is free on one engine.
    pub largest_free_tokens: u64,
    /// Streams that may run.
    pub slots: u64,
    /// Streams that run, of all daemons.
    pub runs: u64,
}

impl HoldingTime {
    /// Learns from a stream that held `tokens` for `held_ms`.
    pub fn observe(&mut self, tokens: u64, held_ms: u64) {
        let keep = (-1.0 / DECAY_OBSERVATIONS).exp();
        let (tokens, held_ms) = (tokens as f64, held_ms as f64);
        self.count = self.count * keep + 1.0;
        self.held_ms = self.held_ms * keep + held_ms;
        self.tokens = self.tokens * keep + tokens;
        self.token_ms = self.token_ms * keep + tokens * held_ms;
    }

    /// The expected time until a stream that needs `need_tokens` has room, if streams that need `ahead_tokens`
    /// and are `ahead_count` start first. `None` while too little is known.
    ///
    /// By Little's law, streams end at the rate of what runs divided by how long it runs, so what all daemons
    /// run is enough to tell at which rate memory becomes free.
    #[must_use]
    pub fn wait_ms(
        &self,
        capacity: &Capacity,
        (ahead_count, ahead_tokens): (u64, u64),
        need_tokens: u64,
    ) -> Option<u64> {
        if self.count < MIN_OBSERVATIONS {
            return None;
        }
        let free_tokens = capacity.usable_tokens.saturating_sub(capacity.reserved_tokens);
        let short_tokens = (ahead_tokens + need_tokens)
            .saturating_sub(free_tokens)
            .max(need_tokens.saturating_sub(capacity.largest_free_tokens));
        let short_runs = (capacity.runs + ahead_count + 1).saturating_sub(capacity.slots);
        let held_token_ms = self.token_ms / self.tokens.max(1.0);
        let held_ms = self.held_ms / self.count;
        let memory_ms = time_ms(short_tokens, capacity.reserved_tokens, held_token_ms)?;
        let slots_ms = time_ms(short_runs, capacity.runs, held_ms)?;
        Some(memory_ms.max(slots_ms))
    }
}

/// The time until `short` of what is `in_use` has become free, each unit of which is held for `held_ms`.
fn time_ms(short: u64, in_use: u64, held_ms: f64) -> Option<u64> {
    if short == 0 {
        return Some(0);
    }
    (in_use > 0).then(|| (short as f64 * held_ms / in_use as f64) as u64)
}
