//! Many engines shut down together, each with several long answers whose copies take turns.

use comfreymast_decide::evacuation::{
    EvacuationOptions, NextCopy, RunView, next_copy, turn_wait_ms,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 11;
const TOKENS_PER_MS: u64 = 18;
/// The shortest time between an engine's notice and its end.
const MIN_NOTICE_MS: u64 = 1_500;

fn run(key: u32, started_unix_ms: u64) -> RunView {
    RunView { key, tokens: 3_600, started_unix_ms }
}

fn copy_ms(tokens: u64) -> u64 {
    tokens / TOKENS_PER_MS
}

#[test]
fn the_oldest_generation_is_copied_first_without_a_wait() {
    let options = EvacuationOptions::default();
    let runs = [run(7, 300), run(8, 100), run(9, 200)];
    assert_eq!(turn_wait_ms(&runs, 8, copy_ms, &options), 0);
    assert!(turn_wait_ms(&runs, 9, copy_ms, &options) < turn_wait_ms(&runs, 7, copy_ms, &options));
}

#[test]
fn a_generation_that_is_not_listed_does_not_wait() {
    assert_eq!(turn_wait_ms(&[run(1, 1)], 2, copy_ms, &EvacuationOptions::default()), 0);
}

/// Simulates the copies of one engine over its only link: for each generation a first copy in its
/// turn, then a short last copy. Returns when each generation has been moved.
fn simulated_end_ms(runs: usize) -> Vec<u64> {
    const LAST_COPY_MS: u64 = 10;
    const QUICK_COPY_MS: u64 = 10;
    let mut link_free_ms = 0;
    (0..runs)
        .map(|_| {
            link_free_ms += copy_ms(3_600) + QUICK_COPY_MS + LAST_COPY_MS;
            link_free_ms
        })
        .collect()
}

#[test]
fn six_long_answers_are_moved_within_the_shortest_notice() {
    let end_ms = simulated_end_ms(6);
    assert!(end_ms.iter().all(|ms| *ms < MIN_NOTICE_MS), "{end_ms:?}");
}

#[test]
fn a_slow_copy_is_followed_by_another_and_a_quick_one_by_the_last() {
    let options = EvacuationOptions::default();
    assert_eq!(next_copy(400, 500, &options), NextCopy::Again);
    assert_eq!(next_copy(8, 600, &options), NextCopy::Last);
    assert_eq!(next_copy(400, 1_100, &options), NextCopy::Last, "the engine is about to go");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Every daemon derives the same order from a list, in whatever order it received the entries.
    #[test]
    fn all_daemons_derive_the_same_order(
        mut starts in prop::collection::vec(0_u64..50, 1..12),
        rotation in 0_usize..12,
    ) {
        let options = EvacuationOptions::default();
        let runs: Vec<_> = starts.drain(..).zip(0..).map(|(start, key)| run(key, start)).collect();
        let mut rotated = runs.clone();
        rotated.rotate_left(rotation % runs.len());
        let order = |runs: &[RunView]| {
            let mut keys: Vec<_> = runs.iter().map(|run| run.key).collect();
            keys.sort_by_key(|key| turn_wait_ms(runs, *key, copy_ms, &options));
            keys
        };
        prop_assert_eq!(order(&runs), order(&rotated));
        let first = runs.iter().filter(|run| turn_wait_ms(&runs, run.key, copy_ms, &options) == 0);
        prop_assert_eq!(first.count(), 1);
    }
}
