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
    /// Slot number and counts, oldest first.
    slots: Vec<(u64, Counts)>,
}

impl<const WINDOW_MS: u64, const SLOT_MS: u64> Slots<WINDOW_MS, SLOT_MS> {
    fn add(&mut self, counts: Counts, now_ms: u64) {
        let now_slot = now_ms / SLOT_MS;
        match self.slots.last_mut() {
            Some((slot, known)) if *slot >= now_slot => *known += counts,
            _ => {
                self.slots.retain(|(slot, _)| is_within::<WINDOW_MS, SLOT_MS>(*slot, now_slot));
                self.slots.push((now_slot, counts));
            }
        }
    }

    fn sum(&self, now_ms: u64) -> Counts {
        let now_slot = now_ms / SLOT_MS;
        let mut sum = Counts::default();
        for (slot, counts) in &self.slots {
            if is_within::<WINDOW_MS, SLOT_MS>(*slot, now_slot) {
                sum += *counts;
            }
        }
        sum
    }
}

fn is_within<const WINDOW_MS: u64, const SLOT_MS: u64>(slot: u64, now_slot: u64) -> bool {
    slot + WINDOW_MS / SLOT_MS > now_slot
}
