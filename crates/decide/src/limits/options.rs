/// How slots are leased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitOptions {
    /// How long a grant lasts. A longer lease needs fewer messages, and a new owner waits longer
    /// before it grants what a silent daemon may still hold.
    pub lease_ms: u64,
    /// Each daemon may use `limit / (floor_divisor * daemons)` slots without a lease, so that a
    /// large organisation is served also while its owner changes.
    pub floor_divisor: u32,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self { lease_ms: 2_000, floor_divisor: 4 }
    }
}

impl LimitOptions {
    /// Slots that each of `daemons` may use without a lease.
    ///
    /// ```
    /// let options = comfreymast_decide::limits::LimitOptions::default();
    /// assert_eq!(options.floor_slots(64, 9), 1);
    /// assert_eq!(options.floor_slots(64, 320), 0);
    /// ```
    #[must_use]
    pub fn floor_slots(&self, limit_slots: u32, daemons: u32) -> u32 {
        limit_slots / self.floor_divisor.saturating_mul(daemons).max(1)
    }

    /// Slots that the owner may lease: those not kept aside as floors.
    ///
    /// Daemons on the VM list that the owner does not hear may be on the other side of a cut with
    /// an owner of their own, so their part is left to them.
    #[must_use]
    pub fn pool_slots(&self, limit_slots: u32, listed: u32, heard: u32) -> u32 {
        let listed = listed.max(1);
        let rest = limit_slots - self.floor_slots(limit_slots, listed) * listed;
        let part = u64::from(rest) * u64::from(heard.min(listed)) / u64::from(listed);
        u32::try_from(part).unwrap_or(rest)
    }
}
