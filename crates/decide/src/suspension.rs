//! Whether the VM was suspended: the steady clock stands still meanwhile, the boot clock does not.
//!
//! Load pattern: a VM that wakes after seconds and takes its news to be fresh.

/// Two clocks, read at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockPair {
    /// Time that leaves out suspensions.
    pub steady_ms: u64,
    /// Time that counts them.
    pub boot_ms: u64,
}

/// Shorter differences come from reading one clock after the other.
const LEAST_SUSPENSION_MS: u64 = 250;

/// How long the VM was suspended between two readings; `None` when it was not.
#[must_use]
pub fn suspended_ms(before: ClockPair, now: ClockPair) -> Option<u64> {
    let steady_ms = now.steady_ms.saturating_sub(before.steady_ms);
    let boot_ms = now.boot_ms.saturating_sub(before.boot_ms);
    let suspended_ms = boot_ms.saturating_sub(steady_ms);
    (suspended_ms >= LEAST_SUSPENSION_MS).then_some(suspended_ms)
}
