/// Until when one start of an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdUntil {
    until_ms: u64,
    /// The remaining time in its newest entry.
    entry_ms: u64,
}

impl ColdUntil {
    /// An upstream whose entry, first seen at `now_ms`, states that it is cold for another `entry_ms`.
    #[must_use]
    pub fn new(entry_ms: u64, now_ms: u64) -> Self {
        Self { until_ms: now_ms.saturating_add(entry_ms), entry_ms }
    }

    /// Applies a newer entry of the same start. Only a remaining time that rose says anything new: entries are
    /// read again, and late. True if the upstream is cold for longer than was known.
    pub fn apply_entry(&mut self, entry_ms: u64, now_ms: u64) -> bool {
        let has_risen = entry_ms > self.entry_ms;
        self.entry_ms = entry_ms;
        has_risen && self.extend(now_ms.saturating_add(entry_ms))
    }

    /// Records that the upstream is cold until `until_ms`. True if that is later than was known.
    pub fn extend(&mut self, until_ms: u64) -> bool {
        let is_later = until_ms > self.until_ms;
        self.until_ms = self.until_ms.max(until_ms);
        is_later
    }

    /// How much longer it is cold, 0 if it is not.
    #[must_use]
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }
}
