//! Guards against fleets that crash a cold upstream, or leave its rate unused, whatever their size and state.

use std::collections::VecDeque;

use comfreymast_decide::cold_rate::{
    ColdBound, ColdUntil, FleetView, KnownDaemons, MAX_DAEMONS, Membership, ToldRequests, Turns,
    own_rate_per_s,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HEARTBEAT_MS: u64 = 150;
const STEP_MS: u64 = 5;
const SPAN_MS: u64 = 1_800;
/// Requests that a daemon counts for its heartbeats are those of this time.
const WINDOW_MS: u64 = 10_000;
const MS_PER_S: u64 = 1_000;
const BOUND: ColdBound = ColdBound { per_s: 26.0, over: 1.5, slack: 5.0 };

/// What happens to a fleet whose upstream is cold all the time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// One half does not hear the other from here on.
    Halves(u64),
    /// All daemons start again at this time.
    Restart(u64),
    /// Nobody hears the first daemon from here on, which hears all others.
    Unheard(u64),
    /// A daemon in eight starts again every second.
    Churn,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    daemons: usize,
    demand_per_s: f64,
    /// Which daemon has all the work from a time on; before the first, all have.
    work: [(u64, Option<usize>); 2],
    trouble: Trouble,
    /// Nobody asks for anything until then.
    idle_ms: u64,
    seed: u64,
}

struct Daemon {
    started_ms: u64,
    known: KnownDaemons,
    told: ToldRequests,
    turns: Turns,
    requests: VecDeque<u64>,
    /// Of each other daemon: requests, the most daemons it knew, those it hears; and when that was heard.
    heard: Vec<Option<(u64, u64, u64, u64)>>,
}

impl Daemon {
    fn new(daemons: usize, now_ms: u64, rng: &mut SmallRng) -> Self {
        Self {
            started_ms: now_ms,
            known: KnownDaemons::default(),
            told: ToldRequests::default(),
            turns: Turns::new(rng.random(), now_ms),
            requests: VecDeque::new(),
            heard: vec![None; daemons],
        }
    }

    fn rate(&mut self, now_ms: u64) -> (f64, u64, u64) {
        let live = self.heard.iter().flatten().filter(|heard| now_ms - heard.3 < 1_500);
        let live: Vec<_> = live.copied().collect();
        let heard = live.len() as u64 + 1;
        let told = live.iter().map(|heard| heard.1).max().unwrap_or(0);
        let membership = Membership { heard, told, has_seeds: self.heard.len() > 1 };
        self.known.record(&membership, now_ms - self.started_ms);
        let view = FleetView {
            daemons: self.known.count(&membership),
            heard,
            own: self.told.fewest(SPAN_MS, now_ms),
            others: live.iter().map(|heard| heard.0).sum(),
            may_borrow: live.iter().all(|peer| peer.2 == 0 || peer.2 >= heard),
        };
        (own_rate_per_s(&BOUND, &view), self.known.told(), heard)
    }
}

/// Plays `duration_ms`; returns the most requests in any second, and the share of the rate used from `from_ms` on.
fn play(fleet: &Fleet, duration_ms: u64, from_ms: u64) -> (usize, f64) {
    let mut rng = SmallRng::seed_from_u64(fleet.seed);
    let count = fleet.daemons;
    let mut daemons: Vec<_> = (0..count).map(|_| Daemon::new(count, 0, &mut rng)).collect();
    let mut rates = vec![0.0; count];
    let mut sends = Vec::new();
    let mut last = Vec::new();
    for now_ms in (0..duration_ms).step_by(STEP_MS as usize) {
        let restarts = |index: usize| match fleet.trouble {
            Trouble::Restart(at_ms) => now_ms == at_ms,
            Trouble::Churn => {
                now_ms > 0
                    && now_ms % 1_000 == 0
                    && (index as u64 + now_ms / 1_000).is_multiple_of(8)
            }
            _ => false,
        };
        for (index, daemon) in daemons.iter_mut().enumerate() {
            if restarts(index) {
                *daemon = Daemon::new(count, now_ms, &mut rng);
            }
        }
        if now_ms % HEARTBEAT_MS == 0 {
            // A heartbeat arrives when the next one is sent.
            let arrived = std::mem::take(&mut last);
            for (index, daemon) in daemons.iter_mut().enumerate() {
                for (from, told) in arrived.iter().enumerate() {
                    let is_cut = match fleet.trouble {
                        Trouble::Halves(at_ms) => now_ms >= at_ms && from % 2 != index % 2,
                        Trouble::Unheard(at_ms) => now_ms >= at_ms && from == 0,
                        _ => false,
                    };
                    if from != index && !is_cut {
                        let (requests, known, heard) = *told;
                        daemon.heard[from] = Some((requests, known, heard, now_ms));
                    }
                }
            }
            for (daemon, rate) in daemons.iter_mut().zip(&mut rates) {
                let (per_s, known, heard) = daemon.rate(now_ms);
                *rate = per_s;
                while daemon.requests.front().is_some_and(|ms| ms + WINDOW_MS < now_ms) {
                    daemon.requests.pop_front();
                }
                let requests = daemon.requests.len() as u64;
                daemon.told.record(requests, now_ms);
                last.push((requests, known, heard));
            }
        }
        let worker = fleet.work.iter().rev().find(|work| now_ms >= work.0).and_then(|work| work.1);
        let arrivals = fleet.demand_per_s * STEP_MS as f64 / MS_PER_S as f64;
        let arrivals = arrivals as u64 + u64::from(rng.random_bool(arrivals.fract()));
        let arrivals = if now_ms < fleet.idle_ms { 0 } else { arrivals };
        for _ in 0..arrivals {
            let index = worker.unwrap_or_else(|| rng.random_range(0..count));
            let daemon = &mut daemons[index];
            daemon.requests.push_back(now_ms);
            if daemon.turns.take(rates[index], now_ms) {
                sends.push(now_ms);
            }
        }
    }
    let in_second = |(index, at_ms): (usize, &u64)| {
        sends[index..].iter().take_while(|later| **later < at_ms + MS_PER_S).count()
    };
    let most = sends.iter().enumerate().map(in_second).max().unwrap_or(0);
    let counted = sends.iter().filter(|at_ms| **at_ms >= from_ms).count();
    let allowed = BOUND.per_s * (duration_ms - from_ms) as f64 / MS_PER_S as f64;
    (most, counted as f64 / allowed)
}

/// Prints the table of the design note with `-- --nocapture`.
#[test]
fn no_fleet_exceeds_the_bound_whatever_happens_to_it() {
    const DURATION_MS: u64 = 40_000;
    println!("| daemons | trouble | work | most in a second | allowed | used |");
    let troubles = [
        Trouble::None,
        Trouble::Halves(15_000),
        Trouble::Restart(15_000),
        Trouble::Unheard(15_000),
        Trouble::Churn,
    ];
    for daemons in [1, 9, 76, 300] {
        for trouble in troubles {
            let works = [
                ("all", [(0, None), (0, None)]),
                ("one", [(0, Some(0)), (0, Some(0))]),
                ("one after all", [(0, None), (20_000, Some(0))]),
                ("another", [(0, Some(0)), (20_000, Some(daemons - 1))]),
            ];
            for (name, work) in works {
                let seeds = if daemons == 300 { 2 } else { 4 };
                for seed in 0..seeds {
                    let (demand_per_s, idle_ms) = (600.0, 0);
                    let fleet = Fleet { daemons, demand_per_s, work, trouble, idle_ms, seed };
                    let (most, used) = play(&fleet, DURATION_MS, 10_000);
                    let allowed = BOUND.max_in_second() as usize;
                    if seed == 0 {
                        println!(
                            "| {daemons} | {trouble:?} | {name} | {most} | {allowed} | {used:.2} |"
                        );
                    }
                    assert!(most <= allowed, "{fleet:?}: {most} in a second");
                }
            }
        }
    }
}

#[test]
fn a_daemon_with_all_the_work_uses_most_of_the_rate() {
    const MIN_USED: f64 = 0.8;
    for daemons in [1, 9, 76, 300] {
        let work = [(0, Some(0)), (0, Some(0))];
        let (trouble, demand_per_s, idle_ms) = (Trouble::None, 300.0, 0);
        let fleet = Fleet { daemons, demand_per_s, work, trouble, idle_ms, seed: 7 };
        let (_, used) = play(&fleet, 30_000, 10_000);
        assert!(used > MIN_USED, "{daemons} daemons: {used:.2}");
    }
}

/// Turns that idle daemons hold would all be used at once.
#[test]
fn daemons_that_find_an_upstream_cold_at_the_same_moment_do_not_all_send() {
    for daemons in [9, 76, 300] {
        for seed in 0..4 {
            let work = [(0, None), (0, None)];
            let (trouble, demand_per_s, idle_ms) = (Trouble::None, 6_000.0, 8_000);
            let fleet = Fleet { daemons, demand_per_s, work, trouble, idle_ms, seed };
            let (most, used) = play(&fleet, 16_000, 12_000);
            println!("| {daemons} | idle for 8 s | all | {most} | {used:.2} |");
            assert!(most as f64 <= BOUND.max_in_second(), "{fleet:?}: {most} in a second");
        }
    }
}

/// A daemon that cannot know how many others there are would else take the whole rate.
#[test]
fn a_daemon_that_has_not_met_others_assumes_the_largest_fleet() {
    let mut known = KnownDaemons::default();
    let cut = Membership { heard: 1, told: 0, has_seeds: true };
    known.record(&cut, 60_000);
    assert_eq!((known.count(&cut), known.told()), (MAX_DAEMONS, 0));
    let told = Membership { heard: 3, told: 40, has_seeds: true };
    known.record(&told, 60_100);
    assert_eq!((known.count(&told), known.told()), (40, 3));
    let mut alone = KnownDaemons::default();
    let without_seeds = Membership { heard: 1, told: 0, has_seeds: false };
    alone.record(&without_seeds, 0);
    assert_eq!(alone.count(&without_seeds), 1);
}

#[test]
fn daemons_that_are_no_longer_heard_count_for_minutes() {
    let mut known = KnownDaemons::default();
    known.record(&Membership { heard: 76, told: 0, has_seeds: true }, 10_000);
    let half = Membership { heard: 38, told: 0, has_seeds: true };
    known.record(&half, 200_000);
    assert_eq!(known.count(&half), 76);
    known.record(&half, 400_000);
    assert_eq!(known.count(&half), 38);
}

/// Others would else still divide the rate among themselves while the daemon takes it.
#[test]
fn requests_count_once_others_must_have_heard_of_them() {
    let mut told = ToldRequests::default();
    for now_ms in (0..3_000).step_by(150) {
        told.record(if now_ms < 1_000 { 0 } else { 50 }, now_ms);
    }
    assert_eq!(told.fewest(1_800, 2_950), 0);
    for now_ms in (3_000..6_000).step_by(150) {
        told.record(50, now_ms);
    }
    assert_eq!(told.fewest(1_800, 5_900), 50);
    assert_eq!(told.fewest(1_800, 9_000), 0, "silent for too long");
}

#[test]
fn a_turn_lapses_and_one_that_was_not_used_is_given_back() {
    let mut turns = Turns::new(0.0, 0);
    assert!(!turns.take(1.0, 900));
    assert!(turns.take(1.0, 1_000));
    assert!(!turns.is_free(1.0, 1_050));
    turns.give_back(1_000);
    assert!(turns.is_free(1.0, 1_060));
    assert!(!turns.is_free(1.0, 1_300), "held too long");
    turns.owe(1.0, 1_300);
    assert!(!turns.take(1.0, 2_050), "owed");
    assert!(turns.take(1.0, 3_050));
}

/// Guards against cold upstreams that no daemon of a large fleet uses, as its turns have lapsed when requests come.
#[test]
fn daemons_with_few_turns_have_them_when_a_request_comes() {
    const PER_S: f64 = 0.3;
    const DAEMONS: u32 = 1_000;
    let draws = (0..DAEMONS).map(|number| f64::from(number) / f64::from(DAEMONS));
    let mut daemons: Vec<_> = draws.map(|draw| Turns::new(draw, 0)).collect();
    let mut free = |now_ms| {
        let is_free = daemons.iter_mut().map(|turns| turns.is_free(PER_S, now_ms));
        is_free.filter(|is_free| *is_free).count()
    };
    assert_eq!((free(0), free(500)), (300, 300));
    let mut turns = Turns::new(0.2, 0);
    assert!(turns.take(PER_S, 100) && !turns.take(PER_S, 1_099) && turns.take(PER_S, 1_100));
    turns.give_back(1_100);
    assert!(turns.is_free(PER_S, 1_150), "given back");
    turns.owe(PER_S, 1_200);
    turns.owe(PER_S, 1_300);
    assert!(!turns.take(PER_S, 3_199) && turns.take(PER_S, 3_200), "owed");
}

/// An entry that is read again must not make a warm upstream cold, and one that rises must.
#[test]
fn only_a_risen_time_makes_an_upstream_cold_again() {
    let mut cold = ColdUntil::new(1_000, 0);
    assert_eq!(cold.left_ms(400), 600);
    assert!(!cold.apply_entry(1_000, 2_000));
    assert!(!cold.apply_entry(0, 2_100));
    assert_eq!(cold.left_ms(2_100), 0);
    assert!(cold.apply_entry(800, 3_000));
    assert_eq!(cold.left_ms(3_000), 800);
    assert!(!cold.extend(3_100));
    assert!(cold.extend(4_000));
}
