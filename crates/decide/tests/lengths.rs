//! Estimates of answer lengths.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_base::{Kind, Organisation};
use comfreymast_decide::lengths::{LengthOptions, Lengths};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const MAX_TOKENS: u32 = 20_000;

fn report() -> Kind {
    Kind::from("report")
}

fn lengths_from(observations: &[(&str, u32, usize)]) -> Lengths {
    let mut lengths = Lengths::new(LengthOptions::default());
    for (organisation, tokens, count) in observations {
        (0..*count).for_each(|_| {
            lengths.observe(&Organisation::from(*organisation), &report(), *tokens);
        });
    }
    lengths
}

fn expected(lengths: &Lengths, organisation: &str) -> f64 {
    lengths.curve(&Organisation::from(organisation), &report(), MAX_TOKENS).expected_remaining(0.0)
}

#[test]
fn an_unknown_organisation_gets_the_estimate_of_its_kind() {
    let lengths = lengths_from(&[("a", 1_000, 300)]);
    let unknown = expected(&lengths, "new");
    assert!((500.0..2_500.0).contains(&unknown), "{unknown}");
}

#[test]
fn own_observations_outweigh_the_kind_after_some_answers() {
    let lengths = lengths_from(&[("long", 4_000, 300), ("short", 50, 300)]);
    let (long, short) = (expected(&lengths, "long"), expected(&lengths, "short"));
    assert!(long > 5.0 * short, "{long} and {short}");
}

#[test]
fn the_estimate_follows_an_organisation_whose_answers_become_ten_times_longer() {
    let mut lengths = lengths_from(&[("a", 200, 400), ("b", 200, 400)]);
    let before = expected(&lengths, "a");
    (0..200).for_each(|_| lengths.observe(&Organisation::from("a"), &report(), 2_000));
    assert!(expected(&lengths, "a") > 3.0 * before);
    assert!(expected(&lengths, "b") < 2.0 * before);
}

#[test]
fn an_answer_longer_than_any_observed_one_is_expected_to_continue() {
    let lengths = lengths_from(&[("a", 100, 1_000)]);
    let curve = lengths.curve(&Organisation::from("a"), &report(), MAX_TOKENS);
    assert!(curve.expected_remaining(5_000.0) > 500.0);
}

#[test]
fn survival_never_increases_and_stays_a_probability() {
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let observed = proptest::collection::vec(1_u32..MAX_TOKENS, 0..50);
    let strategy = (observed, 0.0..30_000.0_f64, 0.0..30_000.0_f64);
    let checked = runner.run(&strategy, |(observed, done, more)| {
        let mut lengths = Lengths::new(LengthOptions::default());
        for tokens in observed {
            lengths.observe(&Organisation::from("a"), &report(), tokens);
        }
        let curve = lengths.curve(&Organisation::from("a"), &report(), MAX_TOKENS);
        let (near, far) = (curve.survival(done), curve.survival(done + more));
        prop_assert!((0.0..=1.0 + 1e-9).contains(&near));
        prop_assert!(far <= near + 1e-9);
        prop_assert!((0.0..=1.0).contains(&curve.conditional_survival(done, more)));
        prop_assert!(curve.expected_remaining(done) >= 0.0);
        Ok(())
    });
    checked.unwrap();
}
