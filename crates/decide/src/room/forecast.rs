//! Tells when room on the engines of a service is expected.
//!
//! Load pattern: all engines are full, and streams of all daemons end at the rate at which they usually do.

use super::peers::ClassLoad;

/// The number of finished streams from which a forecast is made.
const MIN_OBSERVATIONS: f64 = 8.0;
/// After this many streams an old one counts for a third.
const DECAY_OBSERVATIONS: f64 = 64.0;

/// How long streams hold their memory: the expected time of those that started, corrected by how long those
/// that ended took. Long streams are known from their start, since the short ones end first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HoldingTime {
    starts: f64,
    started_work_ms: f64,
    started_tokens: f64,
    started_token_ms: f64,
    ends: f64,
    ended_work_ms: f64,
    ended_held_ms: f64,
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
    /// Learns from a stream that started with `tokens` of memory and is expected to take `work_ms`.
    pub fn observe_start(&mut self, tokens: u64, work_ms: u64) {
        let keep = keep();
        let (tokens, work_ms) = (tokens as f64, work_ms as f64);
        self.starts = self.starts * keep + 1.0;
        self.started_work_ms = self.started_work_ms * keep + work_ms;
        self.started_tokens = self.started_tokens * keep + tokens;
        self.started_token_ms = self.started_token_ms * keep + tokens * work_ms;
    }

    /// Learns from a stream that ended, was expected to take `work_ms` and held its memory for `held_ms`.
    pub fn observe_end(&mut self, work_ms: u64, held_ms: u64) {
        let keep = keep();
        self.ends = self.ends * keep + 1.0;
        self.ended_work_ms = self.ended_work_ms * keep + work_ms as f64;
        self.ended_held_ms = self.ended_held_ms * keep + held_ms as f64;
    }

    /// The expected time until a stream that needs `need_tokens` has room, if those `ahead` start
    /// first. `None` while too little is known.
    ///
    /// By Little's law, streams end at the rate of what runs divided by how long it runs, so what all daemons
    /// run is enough to tell at which rate memory becomes free.
    #[must_use]
    pub fn wait_ms(&self, capacity: &Capacity, ahead: ClassLoad, need_tokens: u64) -> Option<u64> {
        if self.ends < MIN_OBSERVATIONS || self.starts < MIN_OBSERVATIONS {
            return None;
        }
        let free_tokens = capacity.usable_tokens.saturating_sub(capacity.reserved_tokens);
        let short_tokens = (ahead.tokens + need_tokens)
            .saturating_sub(free_tokens)
            .max(need_tokens.saturating_sub(capacity.largest_free_tokens));
        let short_runs = (capacity.runs + ahead.count + 1).saturating_sub(capacity.slots);
        let error = self.ended_held_ms / self.ended_work_ms.max(1.0);
        let held_token_ms = self.started_token_ms / self.started_tokens.max(1.0) * error;
        let held_ms = self.started_work_ms / self.starts * error;
        let memory_ms = time_ms(short_tokens, capacity.reserved_tokens, held_token_ms)?;
        let slots_ms = time_ms(short_runs, capacity.runs, held_ms)?;
        Some(memory_ms.max(slots_ms))
    }
}

fn keep() -> f64 {
    (-1.0 / DECAY_OBSERVATIONS).exp()
}

/// The time until `short` of what is `in_use` has become free, each unit of which is held for `held_ms`.
fn time_ms(short: u64, in_use: u64, held_ms: f64) -> Option<u64> {
    if short == 0 {
        return Some(0);
    }
    (in_use > 0).then(|| (short as f64 * held_ms / in_use as f64) as u64)
}
