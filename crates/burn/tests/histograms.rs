//! Merged histograms are exact to the width of a bucket, and encoding keeps every count.

use comfreymast_burn::{DaemonCounts, DurationHistogram, Recorder, Sample, SeriesKey};
use comfreymast_wire::peer;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const SEED: u64 = 9_001;
/// With two significant digits, a bucket's width is at most 1% of its value.
const RELATIVE_BUCKET_WIDTH: f64 = 0.01;

fn config() -> Config {
    Config {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn durations_ms() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(prop_oneof![0u64..200, 0u64..600_000], 0..300)
}

fn histogram(durations_ms: &[u64]) -> DurationHistogram {
    let mut histogram = DurationHistogram::default();
    for duration_ms in durations_ms {
        histogram.record_ms(*duration_ms);
    }
    histogram
}

fn buckets(histogram: &DurationHistogram) -> Vec<(u64, u32)> {
    histogram.buckets().collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_merge_equals_one_histogram_of_everything(left in durations_ms(), right in durations_ms()) {
        let mut merged = histogram(&left);
        merged.merge(&histogram(&right));
        let all_ms: Vec<_> = left.iter().chain(&right).copied().collect();
        prop_assert_eq!(buckets(&merged), buckets(&histogram(&all_ms)));
    }

    #[test]
    fn a_quantile_is_off_by_no_more_than_its_bucket(
        parts in prop::collection::vec(durations_ms(), 1..6),
        quantile in 0.01f64..1.0,
    ) {
        let mut merged = DurationHistogram::default();
        for part in &parts {
            merged.merge(&histogram(part));
        }
        let mut all: Vec<_> = parts.concat();
        prop_assume!(!all.is_empty());
        all.sort_unstable();
        let rank = ((quantile * all.len() as f64).ceil() as usize).clamp(1, all.len());
        let exact_ms = all[rank - 1];
        let estimate_ms = merged.quantile_ms(quantile);
        let width_ms = exact_ms as f64 * RELATIVE_BUCKET_WIDTH;
        prop_assert!(estimate_ms >= exact_ms, "{} is below {}", estimate_ms, exact_ms);
        prop_assert!(
            (estimate_ms - exact_ms) as f64 <= width_ms,
            "{} against {}",
            estimate_ms,
            exact_ms
        );
    }

    #[test]
    fn counts_are_unchanged_after_encoding_and_decoding(
        waits_ms in prop::collection::vec(0u32..600_000, 0..50),
        gaps_ms in prop::collection::vec(0u32..600_000, 0..50),
    ) {
        let mut recorder = Recorder::default();
        let key = SeriesKey::new("o", "report");
        for wait_ms in waits_ms {
            recorder.record(Sample::first_token(key.clone(), wait_ms, 560), 1_000);
        }
        recorder.record(Sample::gaps(key, gaps_ms, 57), 1_000);
        let counts = recorder.counts("d0", 1_000);
        let message = peer::BurnCounts::from(&counts);
        prop_assert_eq!(DaemonCounts::from(message), counts);
    }
}
