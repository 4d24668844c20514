//! Whether the VM was suspended: the monotonic clock stops meanwhile, the boot clock does not.
//!
//! Guards against a VM that resumes after seconds and treats its outdated state as fresh.

/// Two clocks, read at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockPair {
    /// Time without suspensions.
    pub monotonic_ms: u64,
    /// Time including suspensions.
    pub boot_ms: u64,
}

/// Smaller differences come from reading the two clocks one after the other.
const MIN_SUSPENSION_MS: u64 = 250;

/// How long the VM was suspended between two readings; `None` if it was not.
#[must_use]
pub fn suspended_ms(before: ClockPair, now: ClockPair) -> Option<u64> {
    let monotonic_ms = now.monotonic_ms.saturating_sub(before.monotonic_ms);
    let boot_ms = now.boot_ms.saturating_sub(before.boot_ms);
    let suspended_ms = boot_ms.saturating_sub(monotonic_ms);
    (suspended_ms >= MIN_SUSPENSION_MS).then_some(suspended_ms)
}
