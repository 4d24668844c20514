//! When the next part of what a daemon hands on is sent.

use comfreymast_decide::send_pacer::{PacerOptions, SendPacer};
use proptest::prelude::*;

const OPTIONS: PacerOptions = PacerOptions { bytes_per_s: 100_000, burst_bytes: 8_000 };

#[test]
fn a_burst_is_sent_at_once_and_more_at_the_rate() {
    let mut pacer = SendPacer::new(OPTIONS);
    assert_eq!(pacer.delay_ms(4_000, 1_000), 0);
    assert_eq!(pacer.delay_ms(4_000, 1_000), 0);
    assert_eq!(pacer.delay_ms(4_000, 1_000), 0);
    assert_eq!(pacer.delay_ms(4_000, 1_000), 40);
    assert_eq!(pacer.delay_ms(4_000, 10_000), 0);
}

proptest! {
    #[test]
    fn no_more_is_sent_than_the_rate_and_one_burst_allow(
        parts in prop::collection::vec((1u64..5_000, 0u64..200), 1..200),
    ) {
        let mut pacer = SendPacer::new(OPTIONS);
        let (mut now_ms, mut sent_bytes) = (0, 0);
        for (bytes, pause_ms) in parts {
            now_ms += pause_ms;
            // One part after the other, as each peer gets them.
            now_ms += pacer.delay_ms(bytes, now_ms);
            sent_bytes += bytes;
            let allowed_bytes = OPTIONS.burst_bytes + now_ms * OPTIONS.bytes_per_s / 1_000;
            // The part that is sent now, and a millisecond of rounding.
            prop_assert!(sent_bytes <= allowed_bytes + bytes + OPTIONS.bytes_per_s / 1_000);
        }
    }
}
