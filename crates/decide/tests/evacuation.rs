//! A wave of leaving engines, each with several long answers: their copies take turns.

use comfreymast_decide::evacuation::{
    EvacuationOptions, NextCopy, RunView, next_copy, turn_wait_ms,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 11;
const TOKENS_PER_MS: u64 = 18;
/// The shortest stay of an engine after its notice.
const STAY_MS: u64 = 1_500;

fn run(key: u32, started_unix_ms: u64) -> RunView {
    RunView { key, tokens: 3_600, started_unix_ms }
}

fn copy_ms(tokens: u64) -> u64 {
    tokens / TOKENS_PER_MS
}

#[test]
fn the_oldest_goes_first_and_waits_for_nobody() {
    let options = EvacuationOptions::default();
    let runs = [run(7, 300), run(8, 100), run(9, 200)];
    assert_eq!(turn_wait_ms(&runs, 8, copy_ms, &options), 0);
    assert!(turn_wait_ms(&runs, 9, copy_ms, &options) < turn_wait_ms(&runs, 7, copy_ms, &options));
}

#[test]
fn a_generation_that_nobody_lists_waits_for_nobody() {
    assert_eq!(turn_wait_ms(&[run(1, 1)], 2, copy_ms, &EvacuationOptions::default()), 0);
}

/// Plays the copies of one engine on its one link: each first copy in its turn, then a short last.
fn played_ms(runs: usize) -> Vec<u64> {
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
fn six_long_answers_leave_within_the_shortest_stay() {
    let done_ms = played_ms(6);
    assert!(done_ms.iter().all(|ms| *ms < STAY_MS), "{done_ms:?}");
}

#[test]
fn a_slow_copy_is_repeated_and_a_quick_one_is_the_last_but_one() {
    let options = EvacuationOptions::default();
    assert_eq!(next_copy(400, 500, &options), NextCopy::Again);
    assert_eq!(next_copy(8, 600, &options), NextCopy::Last);
    assert_eq!(next_copy(400, 1_100, &options), NextCopy::Last, "the engine is about to go");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Every daemon orders the same list alike, whatever the order in which it heard of it.
    #[test]
    fn all_daemons_order_alike(
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
