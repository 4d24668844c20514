//! How many requests an upstream gets that names a limit, from fleets of several sizes.

use std::collections::VecDeque;

use comfreymast_decide::upstream_limit::{FleetNews, LimitUse, Statement, UpstreamLimit};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HEARTBEAT_MS: u64 = 150;
const LAG_MS: u64 = 2 * HEARTBEAT_MS;
const ALONE: FleetNews = FleetNews { peers: 0, lag_ms: LAG_MS };
/// The platform's rule: in any span of this length, one and a half times what the limit allows, and some
/// more, from this long after the limit was named.
const SPAN_MS: u64 = 4_000;
const CONTACT_MS: u64 = 3_000;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
const MS_PER_S: f64 = 1_000.0;

/// A fleet that sends to one upstream, which names its limit at the start.
struct Fleet {
    daemons: usize,
    per_s: f64,
    /// Requests a second, over all daemons.
    demand_per_s: f64,
    /// The share of them that comes to the first daemon; the others get the rest in equal parts.
    first_share: f64,
    /// Nobody asks for anything for this long at first.
    idle_ms: u64,
}

/// What the upstream got.
struct Result {
    most_in_span: usize,
    /// The share of the named rate that was used.
    used_share: f64,
}

fn play(fleet: &Fleet, seed: u64) -> Result {
    const DURATION_MS: u64 = 40_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut limits = vec![UpstreamLimit::default(); fleet.daemons];
    for limit in &mut limits {
        limit.apply(Statement { per_s: Some(fleet.per_s), heard_ms: 0 }, 0);
    }
    let news = FleetNews { peers: fleet.daemons as u64 - 1, lag_ms: LAG_MS };
    let mut sends = Vec::new();
    let mut heartbeats: VecDeque<Vec<LimitUse>> = VecDeque::new();
    for now_ms in 1..DURATION_MS {
        if now_ms % HEARTBEAT_MS == 0 {
            heartbeats.push_back(limits.iter_mut().map(|limit| limit.own_use(now_ms)).collect());
        }
        // What a heartbeat says arrives when the next one is sent.
        if heartbeats.len() > 1 && now_ms % HEARTBEAT_MS == 0 {
            let uses = heartbeats.pop_front().expect("a heartbeat");
            let sum = uses.iter().fold(LimitUse::default(), |sum, used| sum.plus(*used));
            for (limit, own) in limits.iter_mut().zip(&uses) {
                limit.set_others(LimitUse {
                    sends: sum.sends - own.sends,
                    wanted: sum.wanted - own.wanted,
                });
            }
        }
        if now_ms < fleet.idle_ms || !rng.random_bool((fleet.demand_per_s / MS_PER_S).min(1.0)) {
            continue;
        }
        let is_first = fleet.daemons == 1 || rng.random_bool(fleet.first_share);
        let daemon = if is_first { 0 } else { rng.random_range(1..fleet.daemons) };
        let limit = &mut limits[daemon];
        limit.record_wanted(now_ms);
        if rng.random_bool(limit.send_chance(now_ms, news)) {
            limit.record_send(now_ms);
            sends.push(now_ms);
        }
    }
    let counted: Vec<_> = sends.iter().copied().filter(|at_ms| *at_ms >= CONTACT_MS).collect();
    let in_span = |from_ms: &u64| {
        counted.iter().filter(|at_ms| (*from_ms..from_ms + SPAN_MS).contains(at_ms)).count()
    };
    Result {
        most_in_span: counted.iter().map(in_span).max().unwrap_or(0),
        used_share: sends.len() as f64
            / (fleet.per_s * (DURATION_MS - fleet.idle_ms) as f64 / MS_PER_S),
    }
}

fn allowed(per_s: f64) -> f64 {
    per_s * SPAN_MS as f64 / MS_PER_S * TOLERANCE + SLACK
}

/// Prints the table of the design note with `-- --nocapture`.
#[test]
fn fleets_of_any_size_keep_to_the_named_rate_and_use_most_of_it() {
    const SEEDS: u64 = 20;
    const MIN_USED_SHARE: f64 = 0.5;
    println!("| daemons | to the first | limit | asked for | most in 4 s | allowed | used |");
    for daemons in [1, 9, 30, 320] {
        for first_share in [1.0 / daemons as f64, 0.9] {
            for (per_s, demand_per_s) in [(0.4, 10.0), (1.5, 12.0), (3.5, 60.0), (20.0, 400.0)] {
                let fleet = Fleet { daemons, per_s, demand_per_s, first_share, idle_ms: 0 };
                let results: Vec<_> = (0..SEEDS).map(|seed| play(&fleet, seed)).collect();
                let most = results.iter().map(|result| result.most_in_span).max().unwrap_or(0);
                let used = results.iter().map(|result| result.used_share).sum::<f64>();
                let used = used / SEEDS as f64;
                println!(
                    "| {daemons} | {first_share:.2} | {per_s} | {demand_per_s} | {most} | {} | {used:.2} |",
                    allowed(per_s) as usize
                );
                assert!(most as f64 <= allowed(per_s), "{most} of {daemons} daemons at {per_s}");
                assert!(used >= MIN_USED_SHARE, "{used:.2} used of {per_s} by {daemons} daemons");
            }
        }
    }
}

#[test]
fn no_fleet_exceeds_what_is_allowed() {
    const CASES: u64 = 300;
    for seed in 0..CASES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let per_s = rng.random_range(0.05..30.0);
        let fleet = Fleet {
            daemons: rng.random_range(1..40),
            per_s,
            demand_per_s: (per_s * rng.random_range(0.5..40.0)).min(MS_PER_S),
            first_share: rng.random(),
            idle_ms: rng.random_range(0..10_000),
        };
        let most = play(&fleet, seed).most_in_span;
        assert!(most as f64 <= allowed(per_s), "seed {seed}: {most} in 4 s at {per_s}");
    }
}

#[test]
fn an_answer_without_a_limit_ends_it_only_if_its_request_was_sent_later() {
    let mut limit = UpstreamLimit::default();
    assert!(limit.record_answer(Some(2.0), 900, 1_000));
    assert!(!limit.record_answer(None, 990, 1_010), "sent before the limit was named");
    assert_eq!(limit.per_s(), Some(2.0));
    assert!(limit.record_answer(None, 1_500, 1_510));
    assert_eq!(limit.per_s(), None);
    assert_eq!(limit.send_chance(1_510, ALONE), 1.0);
}

#[test]
fn the_latest_statement_counts_whoever_heard_it() {
    let mut limit = UpstreamLimit::default();
    assert!(limit.apply(Statement { per_s: Some(2.0), heard_ms: 1_000 }, 1_100));
    assert!(!limit.apply(Statement { per_s: None, heard_ms: 900 }, 1_200));
    assert!(limit.apply(Statement { per_s: Some(4.0), heard_ms: 1_300 }, 1_400));
    assert!(limit.apply(Statement { per_s: None, heard_ms: 1_500 }, 1_600));
    assert_eq!(limit.own_statement(), None, "heard from others only");
}

#[test]
fn an_upstream_that_names_no_rate_at_all_still_gets_a_request_now_and_then() {
    let mut limit = UpstreamLimit::default();
    limit.apply(Statement { per_s: Some(0.0), heard_ms: 0 }, 0);
    assert_eq!(limit.send_chance(3_900, ALONE), 0.0);
    assert_eq!(limit.send_chance(4_000, ALONE), 1.0);
}
