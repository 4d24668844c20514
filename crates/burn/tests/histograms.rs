//! Histograms merge without loss beyond the width of a bucket.

use comfreymast_burn::{DaemonCounts, Durations, Recorder, Sample, SeriesKey};
use comfreymast_wire::peer;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const SEED: u64 = 9_001;
/// A bucket of two significant digits is at most a hundredth of its value wide.
const BUCKET_SHARE: f64 = 0.01;

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

fn histogram(durations_ms: &[u64]) -> Durations {
    let mut durations = Durations::default();
    for duration_ms in durations_ms {
        durations.record_ms(*duration_ms);
    }
    durations
}

fn buckets(durations: &Durations) -> Vec<(u64, u32)> {
    durations.buckets().collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_merge_equals_one_histogram_of_everything(one in durations_ms(), other in durations_ms()) {
        let mut merged = histogram(&one);
        merged.merge(&histogram(&other));
        let together: Vec<_> = one.iter().chain(&other).copied().collect();
        prop_assert_eq!(buckets(&merged), buckets(&histogram(&together)));
    }

    #[test]
    fn a_quantile_is_off_by_no_more_than_its_bucket(
        parts in prop::collection::vec(durations_ms(), 1..6),
        quantile in 0.01f64..1.0,
    ) {
        let mut merged = Durations::default();
        for part in &parts {
            merged.merge(&histogram(part));
        }
        let mut all: Vec<_> = parts.concat();
        prop_assume!(!all.is_empty());
        all.sort_unstable();
        let rank = ((quantile * all.len() as f64).ceil() as usize).clamp(1, all.len());
        let exact_ms = all[rank - 1];
        let found_ms = merged.quantile_ms(quantile);
        let width_ms = exact_ms as f64 * BUCKET_SHARE;
        prop_assert!(found_ms >= exact_ms, "{} is below {}", found_ms, exact_ms);
        prop_assert!((found_ms - exact_ms) as f64 <= width_ms, "{} against {}", found_ms, exact_ms);
    }

    #[test]
    fn counts_survive_the_way_to_another_daemon(
        waits_ms in prop::collection::vec(0u32..600_000, 0..50),
        gaps_ms in prop::collection::vec(0u32..600_000, 0..50),
    ) {
        let mut recorder = Recorder::default();
        let key = SeriesKey::new("o", "report");
        for wait_ms in waits_ms {
            recorder.take(Sample::first_token(key.clone(), wait_ms, 560), 1_000);
        }
        recorder.take(Sample::gaps(key, gaps_ms, 57), 1_000);
        let counts = recorder.counts("d0", 1_000);
        let message = peer::BurnCounts::from(&counts);
        prop_assert_eq!(DaemonCounts::from(message), counts);
    }
}
