//! A VM that was suspended notices it by the boot clock.

use comfreymast_decide::suspension::{ClockPair, suspended_ms};

#[test]
fn time_that_only_the_boot_clock_counts_was_a_suspension() {
    let before = ClockPair { steady_ms: 1_000, boot_ms: 5_000 };
    let now = ClockPair { steady_ms: 1_200, boot_ms: 9_200 };
    assert_eq!(suspended_ms(before, now), Some(4_000));
}

#[test]
fn a_freeze_that_both_clocks_count_and_a_small_difference_are_none() {
    let before = ClockPair { steady_ms: 1_000, boot_ms: 5_000 };
    let frozen = ClockPair { steady_ms: 5_000, boot_ms: 9_000 };
    assert_eq!(suspended_ms(before, frozen), None);
    let uneven = ClockPair { steady_ms: 1_200, boot_ms: 5_210 };
    assert_eq!(suspended_ms(before, uneven), None);
    assert_eq!(suspended_ms(frozen, before), None, "clocks that go back tell nothing");
}
