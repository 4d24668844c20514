//! What waits at other daemons, and when a daemon leaves room to it.
//!
//! Load pattern: urgent streams that arrive at one daemon while others have less urgent ones, in fleets whose
//! daemons each have few.

use std::collections::BTreeMap;

use super::forecast::Capacity;
use super::order::RoomRequest;

/// News without an update for longer is not used; the daemon then decides alone.
const MAX_NEWS_AGE_MS: u64 = 1_000;
/// A stream leaves room to more urgent ones elsewhere for this part of its target latency at most.
const YIELD_DIVISOR: u64 = 2;

/// A class of waiting streams; the least is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitClass {
    /// The priority, 0 first.
    pub priority: u8,
    /// True if the work takes longer than the target latency.
    pub is_large: bool,
}

impl WaitClass {
    /// The class of a stream.
    #[must_use]
    pub fn of(request: &RoomRequest) -> Self {
        Self { priority: request.priority, is_large: !request.is_small() }
    }
}

/// How much of one class waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// The number of streams.
    pub count: u64,
    /// The memory that they need.
    pub tokens: u64,
}

impl ClassLoad {
    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { count: self.count + other.count, tokens: self.tokens + other.tokens }
    }
}

/// What waits, by class.
pub type WaitLoads = BTreeMap<WaitClass, ClassLoad>;

/// What waits at all other daemons, as far as they have told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Elsewhere {
    loads: WaitLoads,
    told_ms: u64,
}

impl Elsewhere {
    /// What others have told by `told_ms`.
    #[must_use]
    pub fn new(loads: WaitLoads, told_ms: u64) -> Self {
        Self { loads, told_ms }
    }

    /// True if nothing waits elsewhere, as far as is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// What waits elsewhere of the class of `request` and of more urgent ones; nothing if the news are old.
    #[must_use]
    pub fn as_urgent(&self, request: &RoomRequest, now_ms: u64) -> ClassLoad {
        self.sum(now_ms, |class| class <= WaitClass::of(request))
    }

    /// True if a stream leaves the room that there is to more urgent ones elsewhere.
    #[must_use]
    pub fn must_yield(&self, request: &RoomRequest, capacity: &Capacity, now_ms: u64) -> bool {
        if now_ms >= Self::yields_until_ms(request) {
            return false;
        }
        let urgent = self.sum(now_ms, |class| class < WaitClass::of(request));
        let free_tokens = capacity.usable_tokens.saturating_sub(capacity.reserved_tokens);
        urgent.count > 0 && free_tokens < urgent.tokens + request.need_tokens
    }

    /// When a stream that yields no longer does.
    #[must_use]
    pub fn yields_until_ms(request: &RoomRequest) -> u64 {
        request.arrived_ms + request.target_latency_ms / YIELD_DIVISOR
    }

    fn sum(&self, now_ms: u64, is_counted: impl Fn(WaitClass) -> bool) -> ClassLoad {
        if now_ms.saturating_sub(self.told_ms) > MAX_NEWS_AGE_MS {
            return ClassLoad::default();
        }
        let counted = self.loads.iter().filter(|(class, _)| is_counted(**class));
        counted.fold(ClassLoad::default(), |sum, (_, load)| sum.plus(*load))
    }
}
