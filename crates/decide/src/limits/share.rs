use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Slots leased to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Rises with each grant of an organisation's slots.
    pub generation: u64,
    /// How many.
    pub slots: u32,
    /// For how long, from when the holder sent the report that this grant answers. A grant that
    /// was long on its way, or whose owner was frozen, has lapsed when it arrives.
    pub lease_ms: u64,
}

/// How long after a request one slot is kept to spare.
const SPARE_MS: u64 = 1_000;

/// What one daemon may use of an organisation's slots, here and now. Lock-free.
///
/// ```
/// use comfreymast_decide::limits::{Grant, Share};
/// let share = Share::default();
/// share.accept(Grant { generation: 1, slots: 1, lease_ms: 100 }, 0);
/// assert!(share.try_acquire(0, 50));
/// assert!(!share.try_acquire(0, 50));
/// ```
#[derive(Debug, Default)]
pub struct Share {
    leased: AtomicU32,
    generation: AtomicU64,
    expires_ms: AtomicU64,
    in_use: AtomicU32,
    waiting: AtomicU32,
    used_ms: AtomicU64,
}

impl Share {
    /// Takes a slot: one of `floor_slots`, or a leased one. Returns false when all are in use.
    pub fn try_acquire(&self, floor_slots: u32, now_ms: u64) -> bool {
        self.used_ms.fetch_max(now_ms, Ordering::AcqRel);
        let slots = floor_slots + self.leased(now_ms);
        let more = |in_use: u32| (in_use < slots).then_some(in_use + 1);
        let taken = self.in_use.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).is_ok();
        // Slots may have been given back between the two steps above.
        let exceeds = || self.in_use.load(Ordering::SeqCst) > floor_slots + self.leased(now_ms);
        if taken && exceeds() {
            self.release();
            return false;
        }
        taken
    }

    /// Gives a slot back.
    pub fn release(&self) {
        self.in_use.fetch_sub(1, Ordering::AcqRel);
    }

    /// Takes in the grant that answers the report sent at `sent_ms`. One with a lower generation
    /// than the last is ignored and returns false.
    pub fn accept(&self, grant: Grant, sent_ms: u64) -> bool {
        if self.generation.fetch_max(grant.generation, Ordering::AcqRel) > grant.generation {
            return false;
        }
        self.leased.store(grant.slots, Ordering::Release);
        self.expires_ms.store(sent_ms + grant.lease_ms, Ordering::Release);
        true
    }

    /// Slots leased at `now_ms`.
    #[must_use]
    pub fn leased(&self, now_ms: u64) -> u32 {
        if now_ms < self.expires_ms.load(Ordering::Acquire) {
            self.leased.load(Ordering::SeqCst)
        } else {
            0
        }
    }

    /// Slots in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Acquire)
    }

    /// The generation of the last grant.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Slots that the owner must count: leased or in use beyond the floor, whichever is more.
    #[must_use]
    pub fn held(&self, floor_slots: u32, now_ms: u64) -> u32 {
        self.leased(now_ms).max(self.in_use().saturating_sub(floor_slots))
    }

    /// Slots that could be used now beyond the floor: those in use, those that requests wait for,
    /// and one to spare where a request came lately.
    #[must_use]
    pub fn wanted(&self, floor_slots: u32, now_ms: u64) -> u32 {
        let spare = u32::from(now_ms < self.used_ms() + SPARE_MS);
        let more = self.waiting.load(Ordering::Acquire).max(spare);
        self.in_use().saturating_add(more).saturating_sub(floor_slots)
    }

    /// Gives leased slots beyond `keep` back, so that the next report may offer them to others.
    ///
    /// Without it the owner would count them until a second report.
    pub fn give_back(&self, keep: u32) {
        self.leased.fetch_min(keep, Ordering::SeqCst);
    }

    /// Counts a request that waits for a slot, until the guard is dropped.
    pub fn wait(&self) -> Waiting<'_> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Waiting { share: self }
    }

    /// When a slot was last asked for.
    #[must_use]
    pub fn used_ms(&self) -> u64 {
        self.used_ms.load(Ordering::Acquire)
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiting<'a> {
    share: &'a Share,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.share.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
