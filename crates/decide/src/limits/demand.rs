use std::sync::atomic::{AtomicU64, Ordering};

/// How many units a second were asked for lately, refused ones included. Lock-free.
///
/// It counts the present second and remembers the one before.
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
    present: AtomicU64,
    before: AtomicU64,
}

const MS_PER_S: u64 = 1_000;

impl Demand {
    /// Counts `units` at `now_ms`.
    pub fn add(&self, units: u64, now_ms: u64) {
        self.turn(now_ms / MS_PER_S);
        self.present.fetch_add(units, Ordering::AcqRel);
    }

    /// Units asked for in the present second or the one before, whichever is more.
    #[must_use]
    pub fn per_s(&self, now_ms: u64) -> u64 {
        self.turn(now_ms / MS_PER_S);
        self.present.load(Ordering::Acquire).max(self.before.load(Ordering::Acquire))
    }

    /// Starts a new second. A unit counted at the same moment may fall into either.
    fn turn(&self, second: u64) {
        let known = self.second.fetch_max(second, Ordering::AcqRel);
        if known < second {
            let present = self.present.swap(0, Ordering::AcqRel);
            let is_next = known + 1 == second;
            self.before.store(if is_next { present } else { 0 }, Ordering::Release);
        }
    }
}
