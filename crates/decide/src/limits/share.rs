use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Slots leased to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Increases with each grant of an organisation's slots.
    pub generation: u64,
    /// Number of leased slots.
    pub slots: u32,
    /// Duration of the lease, counted from when the holder sent the report that this grant answers.
    /// A grant that takes longer, in transit or because its owner was paused, arrives expired.
    pub lease_ms: u64,
}

/// How long after a request one spare slot is kept.
const SPARE_MS: u64 = 1_000;

/// The share of an organisation's slots that this daemon may use now. Lock-free.
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
    last_used_ms: AtomicU64,
}

impl Share {
    /// Acquires a slot: one of `floor_slots`, or a leased one. Returns false if all are in use.
    pub fn try_acquire(&self, floor_slots: u32, now_ms: u64) -> bool {
        self.last_used_ms.fetch_max(now_ms, Ordering::AcqRel);
        let slots = floor_slots + self.leased(now_ms);
        let increment = |in_use: u32| (in_use < slots).then_some(in_use + 1);
        let acquired =
            self.in_use.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment).is_ok();
        // The lease may have been reduced between the two steps above.
        let exceeds_slots =
            || self.in_use.load(Ordering::SeqCst) > floor_slots + self.leased(now_ms);
        if acquired && exceeds_slots() {
            self.release();
            return false;
        }
        acquired
    }

    /// Releases an acquired slot.
    pub fn release(&self) {
        self.in_use.fetch_sub(1, Ordering::AcqRel);
    }

    /// Applies the grant that answers the report sent at `sent_ms`. A grant with a lower generation
    /// than the last one is ignored, and false is returned.
    pub fn accept(&self, grant: Grant, sent_ms: u64) -> bool {
        if self.generation.fetch_max(grant.generation, Ordering::AcqRel) > grant.generation {
            return false;
        }
        self.leased.store(grant.slots, Ordering::Release);
        self.expires_ms.store(sent_ms + grant.lease_ms, Ordering::Release);
        true
    }

    /// Number of slots leased at `now_ms`.
    #[must_use]
    pub fn leased(&self, now_ms: u64) -> u32 {
        if now_ms < self.expires_ms.load(Ordering::Acquire) {
            self.leased.load(Ordering::SeqCst)
        } else {
            0
        }
    }

    /// Number of slots in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Acquire)
    }

    /// The generation of the last grant.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Number of slots that the owner must count as held: leased, or in use beyond the floor,
    /// whichever is more.
    #[must_use]
    pub fn slots_held(&self, floor_slots: u32, now_ms: u64) -> u32 {
        self.leased(now_ms).max(self.in_use().saturating_sub(floor_slots))
    }

    /// Number of slots needed now beyond the floor: those in use and those that requests wait for,
    /// or one spare slot if none waits and a request arrived recently.
    #[must_use]
    pub fn slots_wanted(&self, floor_slots: u32, now_ms: u64) -> u32 {
        let spare = u32::from(now_ms < self.last_used_ms() + SPARE_MS);
        let additional = self.waiting.load(Ordering::Acquire).max(spare);
        self.in_use().saturating_add(additional).saturating_sub(floor_slots)
    }

    /// Reduces the lease to at most `slots`, so that the next report can offer the rest to others.
    ///
    /// Otherwise the owner would count those slots as held until a second report.
    pub fn reduce_lease(&self, slots: u32) {
        self.leased.fetch_min(slots, Ordering::SeqCst);
    }

    /// Counts a request as waiting for a slot until the guard is dropped.
    pub fn start_waiting(&self) -> WaitGuard<'_> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        WaitGuard { share: self }
    }

    /// When a slot was last requested.
    #[must_use]
    pub fn last_used_ms(&self) -> u64 {
        self.last_used_ms.load(Ordering::Acquire)
    }
}

/// Counts a request as waiting for a slot until it is dropped.
#[derive(Debug)]
pub struct WaitGuard<'a> {
    share: &'a Share,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.share.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
