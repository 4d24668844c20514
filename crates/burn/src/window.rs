use crate::Counts;

/// Short window, 5 minutes: shows whether the error budget is burning now.
pub const SHORT_WINDOW_MS: u64 = 300_000;
/// Long window, 1 hour: shows whether the burn is significant.
pub const LONG_WINDOW_MS: u64 = 3_600_000;

const SHORT_SLOT_MS: u64 = SHORT_WINDOW_MS / 10;
const LONG_SLOT_MS: u64 = LONG_WINDOW_MS / 12;

/// Counts of both windows. Counts expire by whole slots, so a window covers up to one slot less
/// than its length.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Window {
    short: SlidingCounts<SHORT_WINDOW_MS, SHORT_SLOT_MS>,
    long: SlidingCounts<LONG_WINDOW_MS, LONG_SLOT_MS>,
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

/// Counts over a sliding window, in slots of `SLOT_MS`. Slots without a measurement take no memory.
#[derive(Clone, Debug, Default, PartialEq)]
struct SlidingCounts<const WINDOW_MS: u64, const SLOT_MS: u64> {
    /// Oldest first.
    slots: Vec<Slot>,
}

/// Counts of one slot. Uses `u32` to save memory, as there are many slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Slot {
    number: u32,
    total: u32,
    bad: u32,
}

impl Slot {
    fn add(&mut self, counts: Counts) {
        let saturate = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        self.total = self.total.saturating_add(saturate(counts.total));
        self.bad = self.bad.saturating_add(saturate(counts.bad));
    }
}

impl<const WINDOW_MS: u64, const SLOT_MS: u64> SlidingCounts<WINDOW_MS, SLOT_MS> {
    fn add(&mut self, counts: Counts, now_ms: u64) {
        let now_slot = Self::slot_number(now_ms);
        if self.slots.last().is_none_or(|slot| slot.number < now_slot) {
            self.slots.retain(|slot| Self::is_in_window(*slot, now_slot));
            self.slots.push(Slot { number: now_slot, ..Slot::default() });
        }
        if let Some(slot) = self.slots.last_mut() {
            slot.add(counts);
        }
    }

    fn sum(&self, now_ms: u64) -> Counts {
        let now_slot = Self::slot_number(now_ms);
        let mut sum = Counts::default();
        for slot in self.slots.iter().filter(|slot| Self::is_in_window(**slot, now_slot)) {
            sum += Counts { total: u64::from(slot.total), bad: u64::from(slot.bad) };
        }
        sum
    }

    fn slot_number(now_ms: u64) -> u32 {
        u32::try_from(now_ms / SLOT_MS).unwrap_or(u32::MAX)
    }

    fn is_in_window(slot: Slot, now_slot: u32) -> bool {
        u64::from(slot.number) + WINDOW_MS / SLOT_MS > u64::from(now_slot)
    }
}
