//! Which engine may still have a prompt's prefix in its cache.

use std::collections::HashMap;

use comfreymast_base::Upstream;

/// How long hints are used, and how many are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixOptions {
    /// Time constant of the decay: after this long a hint counts for a third.
    pub decay_ms: f64,
    /// Maximum number of hints.
    pub capacity: usize,
}

impl Default for PrefixOptions {
    fn default() -> Self {
        Self { decay_ms: 60_000.0, capacity: 20_000 }
    }
}

/// When each prefix was last known to be in the cache of an engine.
///
/// Engines publish cache events late and with gaps, so an entry is only a hint: its weight decays,
/// and a wrong hint costs speed but not correctness.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    options: PrefixOptions,
    last_seen_ms: HashMap<(u64, Upstream), u64>,
}

impl PrefixHints {
    /// Creates an empty set of hints.
    #[must_use]
    pub fn new(options: PrefixOptions) -> Self {
        Self { options, last_seen_ms: HashMap::new() }
    }

    /// Records that an engine processed a prefix, or reported that it caches it.
    pub fn record_cached(&mut self, prefix: u64, engine: &Upstream, at_ms: u64) {
        if self.last_seen_ms.len() >= self.options.capacity {
            self.forget_old(at_ms);
        }
        let last_seen_ms = self.last_seen_ms.entry((prefix, engine.clone())).or_default();
        *last_seen_ms = at_ms.max(*last_seen_ms);
    }

    /// Records that an engine evicted a prefix at `at_ms`, which may be well in the past.
    pub fn record_evicted(&mut self, prefix: u64, engine: &Upstream, at_ms: u64) {
        let key = (prefix, engine.clone());
        if self.last_seen_ms.get(&key).is_some_and(|last_seen_ms| *last_seen_ms <= at_ms) {
            self.last_seen_ms.remove(&key);
        }
    }

    /// The estimated likelihood that an engine has a prefix cached, from 0 to 1.
    #[must_use]
    pub fn likelihood(&self, prefix: u64, engine: &Upstream, now_ms: u64) -> f64 {
        let last_seen_ms = self.last_seen_ms.get(&(prefix, engine.clone()));
        last_seen_ms.map_or(0.0, |last_seen_ms| {
            let age_ms = now_ms.saturating_sub(*last_seen_ms) as f64;
            (-age_ms / self.options.decay_ms).exp()
        })
    }

    /// Removes the older half of the hints.
    fn forget_old(&mut self, now_ms: u64) {
        let mut ages_ms: Vec<_> = self
            .last_seen_ms
            .values()
            .map(|last_seen_ms| now_ms.saturating_sub(*last_seen_ms))
            .collect();
        ages_ms.sort_unstable();
        let median_ms = ages_ms.get(ages_ms.len() / 2).copied().unwrap_or_default();
        self.last_seen_ms
            .retain(|_, last_seen_ms| now_ms.saturating_sub(*last_seen_ms) < median_ms);
    }
}
