use std::sync::atomic::{AtomicU64, Ordering};

/// Measures the recent demand in units per second, including refused units. Lock-free.
///
/// Counts the current second and remembers the previous one.
///
/// ```
/// let demand = comfreymast_decide::limits::Demand::default();
/// demand.add(30, 100);
/// assert_eq!(demand.per_s(100), 30);
/// assert_eq!(demand.per_s(3_000), 0);
/// ```
#[derive(Debug, Default)]
pub struct Demand {
    second: AtomicU64,
    current: AtomicU64,
    previous: AtomicU64,
}

const MS_PER_S: u64 = 1_000;

impl Demand {
    /// Counts `units` requested at `now_ms`.
    pub fn add(&self, units: u64, now_ms: u64) {
        self.advance_to(now_ms / MS_PER_S);
        self.current.fetch_add(units, Ordering::AcqRel);
    }

    /// Units requested in the current or the previous second, whichever is more.
    #[must_use]
    pub fn per_s(&self, now_ms: u64) -> u64 {
        self.advance_to(now_ms / MS_PER_S);
        self.current.load(Ordering::Acquire).max(self.previous.load(Ordering::Acquire))
    }

    /// Starts a new second. Units that are counted concurrently may go to either second.
    fn advance_to(&self, second: u64) {
        let last_second = self.second.fetch_max(second, Ordering::AcqRel);
        if last_second < second {
            let current = self.current.swap(0, Ordering::AcqRel);
            let is_next = last_second + 1 == second;
            self.previous.store(if is_next { current } else { 0 }, Ordering::Release);
        }
    }
}
