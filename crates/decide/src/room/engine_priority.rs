//! The priority that an engine is given with a request.
//!
//! Load pattern: an engine whose queue holds short and long requests of the same priority. Engines admit lower
//! numbers first, and preempt the newest request of the highest number when their memory runs out.

use super::order::RoomRequest;

/// The number of priorities that engines know.
const LEVELS: u32 = 10;
/// The most tiers of size within a priority.
const MAX_TIERS: u32 = 3;
/// Work beyond this many target latencies is in the last tier.
const LONG_LATENCIES: u64 = 4;

/// The priorities that a configuration uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorityLevels(u16);

impl PriorityLevels {
    /// The set of these priorities.
    #[must_use]
    pub fn of(priorities: impl IntoIterator<Item = u8>) -> Self {
        let bit = |priority: u8| 1 << u32::from(priority).min(LEVELS - 1);
        Self(priorities.into_iter().map(bit).fold(0, |all, bit: u16| all | bit))
    }

    /// The set as bits, by priority.
    #[must_use]
    pub fn bits(self) -> u16 {
        self.0
    }

    /// The set that these bits are.
    #[must_use]
    pub fn from_bits(bits: u16) -> Self {
        Self(bits)
    }

    /// The priority for an engine: by the call's priority, then small work before long. A stream that an
    /// engine has run before (`has_run`) is in the first tier. With too many priorities in use for tiers, the
    /// call's own.
    #[must_use]
    pub fn engine_priority(self, request: &RoomRequest, has_run: bool) -> u8 {
        let priority = u32::from(request.priority).min(LEVELS - 1);
        let used = self.0 | 1 << priority;
        let tiers = (LEVELS / used.count_ones()).min(MAX_TIERS);
        if tiers < 2 {
            return priority as u8;
        }
        let rank = (used & ((1 << priority) - 1)).count_ones();
        let tier = if has_run { 0 } else { tier(request) };
        (rank * tiers + tier.min(tiers - 1)) as u8
    }
}

fn tier(request: &RoomRequest) -> u32 {
    let work_ms = request.work_ms();
    if request.is_small() {
        0
    } else if work_ms <= request.target_latency_ms.saturating_mul(LONG_LATENCIES) {
        1
    } else {
        2
    }
}
