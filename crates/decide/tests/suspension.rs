//! Detection of VM suspensions by the boot clock.

use comfreymast_decide::suspension::{ClockPair, suspended_ms};

#[test]
fn time_counted_only_by_the_boot_clock_is_a_suspension() {
    let before = ClockPair { monotonic_ms: 1_000, boot_ms: 5_000 };
    let now = ClockPair { monotonic_ms: 1_200, boot_ms: 9_200 };
    assert_eq!(suspended_ms(before, now), Some(4_000));
}

#[test]
fn a_pause_counted_by_both_clocks_or_a_small_difference_is_no_suspension() {
    let before = ClockPair { monotonic_ms: 1_000, boot_ms: 5_000 };
    let paused = ClockPair { monotonic_ms: 5_000, boot_ms: 9_000 };
    assert_eq!(suspended_ms(before, paused), None);
    let skewed = ClockPair { monotonic_ms: 1_200, boot_ms: 5_210 };
    assert_eq!(suspended_ms(before, skewed), None);
    assert_eq!(suspended_ms(paused, before), None, "clocks that go backwards show no suspension");
}
