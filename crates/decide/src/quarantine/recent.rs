use std::collections::VecDeque;

use super::Fingerprint;

/// How long it is remembered that a request has run to its end.
pub(super) const RECENT_SUCCESS_TTL_MS: u64 = 10_000;
/// The most requests that are remembered.
const CAPACITY: usize = 1_024;

/// Requests that have just run to their end. Callers may send equal requests at the same time; when
/// several engines fail together, each may have been running one of them.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    ended: VecDeque<(Fingerprint, u64)>,
}

impl RecentSuccesses {
    /// Records that a request has run to its end.
    pub fn record(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        while self.ended.len() >= CAPACITY
            || self.ended.front().is_some_and(|(_, ended_ms)| !is_recent(*ended_ms, now_ms))
        {
            self.ended.pop_front();
        }
        self.ended.push_back((fingerprint, now_ms));
    }

    /// When the request last ran to its end, if that was a short time ago.
    #[must_use]
    pub fn last(&self, fingerprint: &Fingerprint, now_ms: u64) -> Option<u64> {
        let recent = self.ended.iter().rev();
        let mut recent = recent.take_while(|(_, ended_ms)| is_recent(*ended_ms, now_ms));
        recent.find(|(ended, _)| ended == fingerprint).map(|(_, ended_ms)| *ended_ms)
    }
}

fn is_recent(ended_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(ended_ms) < RECENT_SUCCESS_TTL_MS
}
