/// Options for leasing slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitOptions {
    /// Duration of a lease. A longer lease needs fewer messages, but makes a new owner wait longer
    /// before it grants slots that a silent daemon may still hold.
    pub lease_ms: u64,
    /// Each daemon may use `limit / (floor_divisor * daemons)` slots without a lease, so that a
    /// large organisation is served even while its owner changes.
    pub floor_divisor: u32,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self { lease_ms: 2_000, floor_divisor: 4 }
    }
}

impl LimitOptions {
    /// Number of slots that each of `daemons` may use without a lease.
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

    /// Number of slots that the owner may lease: those not reserved as floors.
    ///
    /// Daemons on the VM list that the owner does not hear may be on the other side of a network
    /// partition, with an owner of their own. Their share is left to them.
    #[must_use]
    pub fn pool_slots(&self, limit_slots: u32, listed_daemons: u32, heard_daemons: u32) -> u32 {
        let listed_daemons = listed_daemons.max(1);
        let unreserved =
            limit_slots - self.floor_slots(limit_slots, listed_daemons) * listed_daemons;
        let share = u64::from(unreserved) * u64::from(heard_daemons.min(listed_daemons))
            / u64::from(listed_daemons);
        u32::try_from(share).unwrap_or(unreserved)
    }
}
