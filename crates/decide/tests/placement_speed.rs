//! Placement on engines of uneven speed, in a model of engines and daemons in virtual time. Run with
//! `--nocapture` for the figures.

mod speed_model;

use comfreymast_decide::placement::{EngineView, PlacementOptions, choose_engine};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use speed_model::{Outcome, Policy, Setup, mean, p99, simulate};

const ENGINES: usize = 12;
const SEEDS: [u64; 3] = [1, 11, 21];
const SLOW_FROM_MS: u64 = 6_000;
const SLOW_UNTIL_MS: u64 = 18_000;
const SLOW_ENGINES: usize = 2;

/// A small fleet at moderate load, whose daemons tell each other of each start.
fn setup(slowness: fn(usize, u64) -> f64) -> Setup {
    Setup {
        daemons: 9,
        slowness,
        engines: ENGINES,
        requests_per_s: 50.0,
        span_ms: 12_000,
        lag_ms: 1,
        interval_ms: 20,
        seed: 0,
    }
}

fn uneven(engine: usize, _now_ms: u64) -> f64 {
    const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
    1.0 / SPEEDS[engine % SPEEDS.len()]
}

fn slow_for_a_while(engine: usize, now_ms: u64) -> f64 {
    let is_slow = engine < SLOW_ENGINES && (SLOW_FROM_MS..SLOW_UNTIL_MS).contains(&now_ms);
    if is_slow { 4.0 } else { 1.0 }
}

/// A sixth of the engines takes 2.5 times as long, for 600 ms each.
fn noisy(engine: usize, now_ms: u64) -> f64 {
    if (now_ms / 600 + engine as u64 * 5).is_multiple_of(6) { 2.5 } else { 1.0 }
}

fn all_slow(_engine: usize, now_ms: u64) -> f64 {
    if now_ms < SLOW_FROM_MS { 1.0 } else { 4.0 }
}

/// The mean times and 99th percentiles of all seeds: to the end, and to the first event.
struct Figures {
    mean_ms: f64,
    p99_ms: f64,
    unfinished: usize,
}

fn figures(name: &str, setup: &Setup, policy: Policy) -> Figures {
    let outcomes: Vec<_> =
        SEEDS.iter().map(|&seed| simulate(&Setup { seed, ..setup.clone() }, policy)).collect();
    let average =
        |figure: fn(&Outcome) -> f64| outcomes.iter().map(figure).sum::<f64>() / SEEDS.len() as f64;
    let mean_ms = average(|outcome| mean(&outcome.done_ms));
    let p99_ms = average(|outcome| p99(&outcome.done_ms) as f64);
    let first_ms = average(|outcome| mean(&outcome.first_ms));
    let first_p99_ms = average(|outcome| p99(&outcome.first_ms) as f64);
    println!(
        "{name} {} daemons {}/s {policy:?}: end {mean_ms:.0} p99 {p99_ms:.0}, \
         first event {first_ms:.0} p99 {first_p99_ms:.0}",
        setup.daemons, setup.requests_per_s
    );
    let unfinished = outcomes.iter().map(|outcome| outcome.unfinished).sum();
    Figures { mean_ms, p99_ms, unfinished }
}

/// Guards against fast engines that idle while slow ones have work, at any load.
#[test]
fn engines_of_uneven_speed_are_used_by_speed() {
    for requests_per_s in [15.0, 35.0, 55.0, 75.0, 95.0] {
        let setup = Setup { requests_per_s, ..setup(uneven) };
        let speed = figures("uneven", &setup, Policy::Speed);
        let before = figures("uneven", &setup, Policy::Before);
        figures("uneven", &setup, Policy::Oracle);
        assert_eq!(speed.unfinished, 0, "none starves");
        assert!(speed.mean_ms < before.mean_ms, "{requests_per_s} a second: mean");
        assert!(speed.p99_ms < before.p99_ms, "{requests_per_s} a second: p99");
    }
}

/// Guards against a cost that a simpler rule beats.
#[test]
fn simpler_rules_serve_uneven_engines_worse() {
    let setup = Setup { requests_per_s: 35.0, ..setup(uneven) };
    let speed = figures("rules", &setup, Policy::Speed);
    let others =
        [Policy::RoundRobin, Policy::LeastOutstanding, Policy::TwoChoices, Policy::TwoByWeight];
    for policy in others {
        let other = figures("rules", &setup, policy);
        assert!(speed.mean_ms < other.mean_ms, "{policy:?}");
        assert!(speed.p99_ms < other.p99_ms, "{policy:?}");
    }
}

/// Guards against a change that is noticed late, by some daemons only, or never forgotten.
#[test]
fn an_engine_that_becomes_slow_gets_little_work_and_recovers() {
    const KNOWN_WITHIN_MS: u64 = 2_000;
    const KNOWN_SLOWNESS: f64 = 2.0;
    let base = Setup { span_ms: 30_000, ..setup(slow_for_a_while) };
    let speed = figures("slow", &base, Policy::Speed);
    let before = figures("slow", &base, Policy::Before);
    assert!(speed.mean_ms < before.mean_ms);
    assert!(speed.p99_ms < before.p99_ms);
    let outcome = simulate(&base, Policy::Speed);
    let assumed_at = |at_ms: u64| {
        let known = outcome.assumed.iter().find(|(now_ms, _)| *now_ms >= at_ms);
        known.map(|(_, slowness)| slowness.clone()).expect("a heartbeat")
    };
    let slow = assumed_at(SLOW_FROM_MS + KNOWN_WITHIN_MS);
    for (engine, slowness) in slow.iter().enumerate() {
        assert_eq!(*slowness >= KNOWN_SLOWNESS, engine < SLOW_ENGINES, "engine {engine}: {slow:?}");
    }
    let starts = |span: std::ops::Range<u64>, engines: usize| {
        let starts = outcome.starts.iter().filter(|(at_ms, _)| span.contains(at_ms));
        starts.filter(|(_, engine)| *engine < engines).count()
    };
    let while_slow = SLOW_FROM_MS + KNOWN_WITHIN_MS..SLOW_UNTIL_MS;
    let afterwards = SLOW_UNTIL_MS + 5_000..SLOW_UNTIL_MS + 12_000;
    let [slow_then, all_then, slow_later, all_later] = [
        starts(while_slow.clone(), SLOW_ENGINES),
        starts(while_slow, ENGINES),
        starts(afterwards.clone(), SLOW_ENGINES),
        starts(afterwards, ENGINES),
    ];
    println!(
        "starts at slow engines: {slow_then} of {all_then}, later {slow_later} of {all_later}"
    );
    assert!(slow_then * ENGINES * 2 < all_then * SLOW_ENGINES, "less than half a share");
    assert!(slow_later * ENGINES * 2 > all_later * SLOW_ENGINES, "then more than half a share");
    let recovered = assumed_at(SLOW_UNTIL_MS + 10_000);
    assert!(recovered.iter().all(|slowness| *slowness < KNOWN_SLOWNESS), "{recovered:?}");
}

/// Guards against daemons that follow noise which is over before it is known.
#[test]
fn noise_of_some_hundred_ms_costs_no_more_than_without_estimates() {
    const MAX_LOSS: f64 = 1.05;
    let speed = figures("noise", &setup(noisy), Policy::Speed);
    let before = figures("noise", &setup(noisy), Policy::Before);
    assert!(speed.mean_ms < before.mean_ms * MAX_LOSS);
    assert!(speed.p99_ms < before.p99_ms * MAX_LOSS);
}

/// Guards against a service that excludes all of its engines.
#[test]
fn a_service_whose_engines_are_all_slow_uses_all_of_them() {
    let base = Setup { requests_per_s: 20.0, span_ms: 16_000, ..setup(all_slow) };
    let outcome = simulate(&base, Policy::Speed);
    let (_, assumed) = outcome.assumed.iter().rfind(|known| known.0 <= base.span_ms).expect("one");
    println!("all slow: {assumed:?}");
    assert!(assumed.iter().all(|slowness| *slowness < 1.8), "{assumed:?}");
    for engine in 0..ENGINES {
        let is_used =
            |&(at_ms, used): &(u64, usize)| used == engine && at_ms > SLOW_FROM_MS + 4_000;
        assert!(outcome.starts.iter().any(is_used), "engine {engine} is used");
    }
}

/// Guards against daemons that all rush to the engine that looks best in the same old report.
#[test]
fn many_daemons_with_old_reports_do_no_worse_than_before() {
    for (daemons, lag_ms) in [(9, 150), (76, 150), (300, 1_000)] {
        let setup = Setup { daemons, lag_ms, interval_ms: 150, ..setup(uneven) };
        let speed = figures("old reports", &setup, Policy::Speed);
        let before = figures("old reports", &setup, Policy::Before);
        figures("old reports", &setup, Policy::TwoByWeight);
        assert!(speed.mean_ms < before.mean_ms, "{daemons} daemons");
        assert!(speed.p99_ms < before.p99_ms, "{daemons} daemons");
    }
}

/// Guards against a change of placement where engines are even: the cost is that of free memory,
/// prompts, distance, warm-up and failures alone.
#[test]
fn engines_of_equal_speed_are_chosen_as_before() {
    const CASES: usize = 2_000;
    let options = PlacementOptions::default();
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..CASES {
        let mut engine = |_| EngineView {
            memory_tokens: 34_000,
            reserved_tokens: random.random_range(0..20_000),
            prefill_tokens: random.random_range(0..5_000),
            runs: random.random_range(1..20),
            slots: 24,
            is_near: random.random(),
            has_neighbour: random.random(),
            cold_ms: random.random_range(0..1_000),
            failure_rate: random.random(),
            ..EngineView::default()
        };
        let engines: [EngineView; 5] = std::array::from_fn(&mut engine);
        let cost = |engine: &EngineView| {
            let filled = engine.reserved_tokens as f64 / engine.memory_tokens as f64;
            let weight = if engine.has_neighbour { 1.0 } else { options.isolated_weight };
            filled * weight
                + engine.prefill_tokens as f64 / 1_000.0 * options.prefill_cost
                + if engine.is_near { 0.0 } else { options.far_cost }
                + engine.cold_ms as f64 / 1_000.0 * options.cold_cost
                + engine.failure_rate * options.failure_cost
        };
        let expected = (0..engines.len())
            .min_by(|&left, &right| cost(&engines[left]).total_cmp(&cost(&engines[right])));
        assert_eq!(choose_engine(&engines, 1_000, &options, |_| 0.0), expected);
    }
}

/// Guards against speeds that are no numbers and would make an engine always or never the choice.
#[test]
fn an_odd_speed_counts_as_usual() {
    let engine = |reserved_tokens, speed| EngineView {
        memory_tokens: 34_000,
        reserved_tokens,
        slots: 24,
        runs: 1,
        speed,
        ..EngineView::default()
    };
    for speed in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let engines = [engine(9_000, speed), engine(3_000, 1.0), engine(6_000, speed)];
        let options = PlacementOptions::default();
        assert_eq!(choose_engine(&engines, 1_000, &options, |_| 0.0), Some(1), "{speed}");
    }
}
