use std::collections::HashMap;

use super::Fingerprint;

/// How long it is remembered that a request has run to its end.
pub(super) const RECENT_SUCCESS_TTL_MS: u64 = 10_000;
/// The most requests and parts that are remembered.
const CAPACITY: usize = 4_096;

/// Requests that have just run to their end, and parts that engines have just begun to answer on.
/// Callers may send equal requests at the same time; when several engines fail together, each may have
/// been running one of them.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    succeeded_ms: HashMap<Fingerprint, u64>,
}

impl RecentSuccesses {
    /// Records that a request has run to its end, or that an engine began to answer on a part.
    pub fn record(&mut self, fingerprint: Fingerprint, succeeded_ms: u64) {
        if self.succeeded_ms.len() >= CAPACITY && !self.succeeded_ms.contains_key(&fingerprint) {
            self.forget_old(succeeded_ms);
        }
        let last_ms = self.succeeded_ms.entry(fingerprint).or_default();
        *last_ms = succeeded_ms.max(*last_ms);
    }

    /// When that last was the case, if it was a short time ago.
    #[must_use]
    pub fn last(&self, fingerprint: &Fingerprint, now_ms: u64) -> Option<u64> {
        let last_ms = self.succeeded_ms.get(fingerprint).copied();
        last_ms.filter(|succeeded_ms| is_recent(*succeeded_ms, now_ms))
    }

    /// Forgets those that are not recent; if that is not enough, the older half.
    fn forget_old(&mut self, now_ms: u64) {
        self.succeeded_ms.retain(|_, succeeded_ms| is_recent(*succeeded_ms, now_ms));
        if self.succeeded_ms.len() < CAPACITY {
            return;
        }
        let mut times_ms: Vec<_> = self.succeeded_ms.values().copied().collect();
        times_ms.sort_unstable();
        let median_ms = times_ms[times_ms.len() / 2];
        self.succeeded_ms.retain(|_, succeeded_ms| *succeeded_ms > median_ms);
    }
}

fn is_recent(succeeded_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(succeeded_ms) < RECENT_SUCCESS_TTL_MS
}
