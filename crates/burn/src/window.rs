use crate::Counts;

/// The window that tells whether it burns now: 5 minutes.
pub const SHORT_WINDOW_MS: u64 = 300_000;
/// The window that tells whether it matters: an hour.
pub const LONG_WINDOW_MS: u64 = 3_600_000;

const SHORT_SLOT_MS: u64 = SHORT_WINDOW_MS / 10;
const LONG_SLOT_MS: u64 = LONG_WINDOW_MS / 12;

/// Counts of both windows. A window forgets slot by slot, so it covers up to a slot less.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Window {
    short: Slots<SHORT_WINDOW_MS, SHORT_SLOT_MS>,
    long: Slots<LONG_WINDOW_MS, LONG_SLOT_MS>,
}

impl Window {
    pub(crate) fn add(&mut self, counts: Counts, now_ms: u64) {
        self.short.add(counts, now_ms);
        self.long.add(counts, now_ms);
    }

    pub(crate) fn short(&self, now_ms: u64) -> Counts {
        self.short.sum(now_ms)
    }

    pub(crate) fn long(&self, now_ms: u64) -> Counts {
        self.long.sum(now_ms)
    }
}

/// Counts in slots of `SLOT_MS`. Slots without a measurement take no memory.
#[derive(Clone, Debug, Default, PartialEq)]
struct Slots<const WINDOW_MS: u64, const SLOT_MS: u64> {
    /// Oldest first.
    slots: Vec<Slot>,
}

/// The counts of one slot, kept small: there are many slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Slot {
    number: u32,
    total: u32,
    bad: u32,
}

impl Slot {
    fn add(&mut self, counts: Counts) {
        let saturated = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        self.total = self.total.saturating_add(saturated(counts.total));
        self.bad = self.bad.saturating_add(saturated(counts.bad));
    }
}

impl<const WINDOW_MS: u64, const SLOT_MS: u64> Slots<WINDOW_MS, SLOT_MS> {
    fn add(&mut self, counts: Counts, now_ms: u64) {
        let now_slot = Self::number(now_ms);
        if self.slots.last().is_none_or(|slot| slot.number < now_slot) {
            self.slots.retain(|slot| Self::is_within(*slot, now_slot));
            self.slots.push(Slot { number: now_slot, ..Slot::default() });
        }
        if let Some(slot) = self.slots.last_mut() {
            slot.add(counts);
        }
    }

    fn sum(&self, now_ms: u64) -> Counts {
        let now_slot = Self::number(now_ms);
        let mut sum = Counts::default();
        for slot in self.slots.iter().filter(|slot| Self::is_within(**slot, now_slot)) {
            sum += Counts { total: u64::from(slot.total), bad: u64::from(slot.bad) };
        }
        sum
    }

    fn number(now_ms: u64) -> u32 {
        u32::try_from(now_ms / SLOT_MS).unwrap_or(u32::MAX)
    }

    fn is_within(slot: Slot, now_slot: u32) -> bool {
        u64::from(slot.number) + WINDOW_MS / SLOT_MS > u64::from(now_slot)
    }
}
