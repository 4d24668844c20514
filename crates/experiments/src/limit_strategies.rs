//! Three strategies to enforce an organisation's limit over all daemons, in virtual time.
//!
//! Each gets the same arrivals: bursts that a load balancer distributes unevenly over the daemons.
//! Messages take [`LATENCY_MS`]; every [`OWNER_FAILURE_INTERVAL_MS`] the daemon that owns the
//! organisation fails.

use std::collections::{BTreeSet, VecDeque};

use comfreymast_base::DaemonName;
use comfreymast_decide::limits::{Grant, Grants, HolderReport, LimitOptions, Share, owner_of};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

const ORGANISATION: &str = "estudio-norte";
const LATENCY_MS: u64 = 2;
const REPORT_INTERVAL_MS: u64 = 250;
const WAITING_REPORT_INTERVAL_MS: u64 = 20;
const OWNER_FAILURE_INTERVAL_MS: u64 = 30_000;
const FAILURE_DETECTION_MS: u64 = 2_000;
const RUN_MS: u64 = 300_000;
const MEAN_SERVICE_MS: f64 = 2_000.0;
const MEAN_BURST_GAP_MS: f64 = 800.0;
const MAX_BURST_REQUESTS: u32 = 40;

/// How the limit is enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each daemon has an equal share.
    StaticSplit,
    /// Each daemon sends its use to all others.
    Gossip,
    /// An owner, chosen by rendezvous hashing, leases slots.
    Leases,
    /// One counter that every daemon reads without delay. It cannot be implemented; it is the lower
    /// bound of refusals without overshoot.
    SharedCounter,
}

/// The outcome of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitOutcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests refused while fewer slots than the limit were in use.
    pub refused_while_free: u64,
    /// Requests refused in all.
    pub refused: u64,
    /// Maximum number of slots in use above the limit.
    pub overshoot: u32,
    /// Messages between daemons for this organisation.
    pub messages: u64,
}

/// Parameters of one run: a fleet and an organisation.
#[derive(Clone, Copy, Debug)]
pub struct LimitRun {
    /// How the limit is enforced.
    pub strategy: Strategy,
    /// How many daemons there are.
    pub daemons: usize,
    /// The organisation's limit of concurrent requests.
    pub limit_slots: u32,
    /// The seed of arrivals.
    pub seed: u64,
}

enum Message {
    Use { from: usize, in_use: u32 },
    Report { from: usize, sent_ms: u64, report: HolderReport },
    Grant { sent_ms: u64, grant: Grant },
}

struct DaemonState {
    name: DaemonName,
    share: Share,
    /// The last use that each peer sent.
    peer_use: Vec<u32>,
    completions_ms: Vec<u64>,
    /// Requests that wait for a slot.
    waiting: VecDeque<Waiting>,
    last_report_ms: u64,
}

struct Waiting {
    until_ms: u64,
    service_ms: u64,
}

struct Simulation {
    run: LimitRun,
    rng: SmallRng,
    now_ms: u64,
    daemons: Vec<DaemonState>,
    in_flight: VecDeque<(u64, usize, Message)>,
    owner: usize,
    grants: Grants,
    takeover_ms: u64,
    outcome: LimitOutcome,
}

impl Strategy {
    /// All strategies.
    pub const ALL: [Self; 4] = [Self::StaticSplit, Self::Gossip, Self::Leases, Self::SharedCounter];

    fn name(self) -> &'static str {
        match self {
            Self::StaticSplit => "static split",
            Self::Gossip => "gossip of usage",
            Self::Leases => "leases from an owner",
            Self::SharedCounter => "one counter (bound)",
        }
    }
}

/// The table of all strategies in Markdown, for a fleet of the present size and a larger one.
#[must_use]
pub fn limits_table(first_seed: u64, seeds: u64) -> String {
    const FLEETS: [(usize, u32); 3] = [(9, 64), (9, 16), (40, 64)];
    let mut text = String::from(
        "| daemons | slots | way | refused while free, % | refused, % | overshoot, slots | messages/s |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for (daemons, limit_slots) in FLEETS {
        for strategy in Strategy::ALL {
            let run = |seed| LimitRun { strategy, daemons, limit_slots, seed }.simulate();
            let outcomes: Vec<_> = (first_seed..first_seed + seeds).map(run).collect();
            text.push_str(&row(daemons, limit_slots, strategy, &outcomes));
        }
    }
    text
}

fn row(daemons: usize, limit_slots: u32, strategy: Strategy, outcomes: &[LimitOutcome]) -> String {
    const MS_PER_S: u64 = 1_000;
    let percent = |part: u64, total: u64| 100.0 * part as f64 / total.max(1) as f64;
    let free = spread(outcomes, |outcome| percent(outcome.refused_while_free, outcome.offered));
    let refused = spread(outcomes, |outcome| percent(outcome.refused, outcome.offered));
    let overshoot = spread(outcomes, |outcome| f64::from(outcome.overshoot));
    let messages = spread(outcomes, |outcome| (outcome.messages * MS_PER_S / RUN_MS) as f64);
    let name = strategy.name();
    format!(
        "| {daemons} | {limit_slots} | {name} | {free} | {refused} | {overshoot} | {messages} |\n"
    )
}

/// The median, with the minimum and the maximum.
fn spread(outcomes: &[LimitOutcome], measure: impl Fn(&LimitOutcome) -> f64) -> String {
    let mut values: Vec<_> = outcomes.iter().map(measure).collect();
    values.sort_by(f64::total_cmp);
    let value = |index: usize| values.get(index).copied().unwrap_or_default();
    let last = values.len().saturating_sub(1);
    format!("{:.1} [{:.1}–{:.1}]", value(values.len() / 2), value(0), value(last))
}

impl LimitRun {
    /// Simulates the run.
    #[must_use]
    pub fn simulate(self) -> LimitOutcome {
        let mut simulation = Simulation::new(self);
        let mut next_burst_ms = 0;
        while simulation.now_ms < RUN_MS {
            simulation.deliver();
            simulation.release_finished();
            if simulation.now_ms >= next_burst_ms {
                next_burst_ms = simulation.now_ms + simulation.exponential(MEAN_BURST_GAP_MS);
                simulation.burst();
            }
            if simulation.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
                simulation.report_all();
            }
            if simulation.now_ms.is_multiple_of(OWNER_FAILURE_INTERVAL_MS) && simulation.now_ms > 0
            {
                simulation.fail_owner();
            }
            if simulation.now_ms == simulation.takeover_ms && simulation.now_ms > 0 {
                simulation.report_to_new_owner();
            }
            simulation.retry_waiting();
            simulation.now_ms += 1;
        }
        simulation.outcome
    }
}

impl Simulation {
    fn new(run: LimitRun) -> Self {
        let daemon = |index: usize| DaemonState {
            name: DaemonName::from(format!("d{index}")),
            share: Share::default(),
            peer_use: vec![0; run.daemons],
            completions_ms: Vec::new(),
            waiting: VecDeque::new(),
            last_report_ms: 0,
        };
        let daemons: Vec<_> = (0..run.daemons).map(daemon).collect();
        let owner = choose_owner(&daemons, None);
        Self {
            run,
            rng: SmallRng::seed_from_u64(run.seed),
            now_ms: 0,
            daemons,
            in_flight: VecDeque::new(),
            owner,
            grants: Grants::take_over(LimitOptions::default(), 1, BTreeSet::new(), 0),
            takeover_ms: 0,
            outcome: LimitOutcome::default(),
        }
    }

    fn exponential(&mut self, mean_ms: f64) -> u64 {
        let distribution = Exp::new(1.0 / mean_ms).unwrap_or_else(|_| unreachable!("mean > 0"));
        (distribution.sample(&mut self.rng) as u64).max(1)
    }

    fn in_use(&self) -> u32 {
        self.daemons.iter().map(|daemon| daemon.share.in_use()).sum()
    }

    fn send(&mut self, to: usize, message: Message) {
        self.outcome.messages += 1;
        self.in_flight.push_back((self.now_ms + LATENCY_MS, to, message));
    }

    /// Adds a burst of requests, most of which arrive at one daemon.
    fn burst(&mut self) {
        let preferred = self.rng.random_range(0..self.daemons.len());
        for _ in 0..self.rng.random_range(1..=MAX_BURST_REQUESTS) {
            let random = self.rng.random_range(0..self.daemons.len());
            let daemon = if self.rng.random_bool(0.7) { preferred } else { random };
            let service_ms = self.exponential(MEAN_SERVICE_MS);
            self.arrive(daemon, service_ms);
        }
    }

    fn arrive(&mut self, index: usize, service_ms: u64) {
        const GRANT_WAIT_MS: u64 = 250;
        self.outcome.offered += 1;
        if self.try_acquire(index) {
            self.start(index, service_ms);
        } else if self.run.strategy == Strategy::Leases {
            let until_ms = self.now_ms + GRANT_WAIT_MS;
            self.daemons[index].waiting.push_back(Waiting { until_ms, service_ms });
        } else {
            self.refuse();
        }
    }

    fn refuse(&mut self) {
        self.outcome.refused += 1;
        if self.in_use() < self.run.limit_slots {
            self.outcome.refused_while_free += 1;
        }
    }

    /// Takes a slot if the strategy allows it at this daemon.
    fn try_acquire(&mut self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let slots = match self.run.strategy {
            Strategy::StaticSplit => self.run.limit_slots / daemons,
            Strategy::Gossip => self.run.limit_slots.saturating_sub(daemon.peer_use.iter().sum()),
            Strategy::SharedCounter => {
                self.run.limit_slots - (self.in_use() - daemon.share.in_use())
            }
            Strategy::Leases => LimitOptions::default().floor_slots(self.run.limit_slots, daemons),
        };
        daemon.share.try_acquire(slots, self.now_ms)
    }

    fn start(&mut self, index: usize, service_ms: u64) {
        let end_ms = self.now_ms + service_ms;
        self.daemons[index].completions_ms.push(end_ms);
        self.outcome.overshoot =
            self.outcome.overshoot.max(self.in_use().saturating_sub(self.run.limit_slots));
    }

    fn release_finished(&mut self) {
        let now_ms = self.now_ms;
        for daemon in &mut self.daemons {
            let before = daemon.completions_ms.len();
            daemon.completions_ms.retain(|end_ms| *end_ms > now_ms);
            for _ in daemon.completions_ms.len()..before {
                daemon.share.release();
            }
        }
    }

    fn retry_waiting(&mut self) {
        for index in 0..self.daemons.len() {
            while let Some(first) = self.daemons[index].waiting.front() {
                let Waiting { until_ms, service_ms } = *first;
                if self.try_acquire(index) {
                    self.start(index, service_ms);
                } else if self.now_ms >= until_ms {
                    self.refuse();
                } else {
                    break;
                }
                self.daemons[index].waiting.pop_front();
            }
            let daemon = &self.daemons[index];
            if !daemon.waiting.is_empty()
                && self.now_ms >= daemon.last_report_ms + WAITING_REPORT_INTERVAL_MS
            {
                self.report(index);
            }
        }
    }

    fn report_all(&mut self) {
        for index in 0..self.daemons.len() {
            match self.run.strategy {
                Strategy::StaticSplit | Strategy::SharedCounter => {}
                Strategy::Gossip => self.gossip(index),
                Strategy::Leases
                    if self.daemons[index].share.last_used_ms() + 10_000 > self.now_ms =>
                {
                    self.report(index);
                }
                Strategy::Leases => {}
            }
        }
    }

    /// After a change of membership, every daemon reports, including those that hold no slots.
    fn report_to_new_owner(&mut self) {
        if self.run.strategy == Strategy::Leases {
            (0..self.daemons.len()).for_each(|index| self.report(index));
        }
    }

    fn gossip(&mut self, from: usize) {
        let in_use = self.daemons[from].share.in_use();
        for to in (0..self.daemons.len()).filter(|to| *to != from) {
            self.send(to, Message::Use { from, in_use });
        }
    }

    fn report(&mut self, from: usize) {
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let floor_slots = LimitOptions::default().floor_slots(self.run.limit_slots, daemons);
        let waiting = u32::try_from(self.daemons[from].waiting.len()).unwrap_or(u32::MAX);
        let sent_ms = self.now_ms;
        let daemon = &mut self.daemons[from];
        daemon.last_report_ms = sent_ms;
        let slots_wanted = (daemon.share.in_use() + waiting)
            .saturating_sub(floor_slots)
            .max(daemon.share.slots_wanted(floor_slots, sent_ms));
        daemon.share.reduce_lease(slots_wanted);
        let report = HolderReport {
            generation: daemon.share.generation(),
            slots_held: daemon.share.slots_held(floor_slots, sent_ms),
            slots_wanted,
        };
        self.send(self.owner, Message::Report { from, sent_ms, report });
    }

    fn deliver(&mut self) {
        while self.in_flight.front().is_some_and(|(at_ms, ..)| *at_ms <= self.now_ms) {
            let Some((_, to, message)) = self.in_flight.pop_front() else { return };
            match message {
                Message::Use { from, in_use } => self.daemons[to].peer_use[from] = in_use,
                Message::Grant { sent_ms, grant } => {
                    self.daemons[to].share.accept(grant, sent_ms);
                }
                Message::Report { from, sent_ms, report } => {
                    self.answer_report(from, sent_ms, report)
                }
            }
        }
    }

    fn answer_report(&mut self, from: usize, sent_ms: u64, report: HolderReport) {
        if self.now_ms < self.takeover_ms {
            return;
        }
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let options = LimitOptions::default();
        let pool_slots = options.pool_slots(self.run.limit_slots, daemons, daemons);
        let name = self.daemons[from].name.clone();
        self.grants.apply_report(&name, report, self.now_ms);
        let grant = self.grants.grant(&name, pool_slots, self.now_ms);
        self.send(from, Message::Grant { sent_ms, grant });
    }

    /// Fails the owner. Its requests continue, since callers reattach to another daemon; its grants
    /// are lost, and reports are dropped until the other daemons have detected the failure.
    fn fail_owner(&mut self) {
        self.owner = choose_owner(&self.daemons, Some(self.owner));
        self.takeover_ms = self.now_ms + FAILURE_DETECTION_MS;
        let names = self.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        let generation = self.grants.generation() + 1;
        self.grants =
            Grants::take_over(LimitOptions::default(), generation, names, self.takeover_ms);
    }
}

fn choose_owner(daemons: &[DaemonState], excluded: Option<usize>) -> usize {
    let excluded = excluded.map(|index| daemons[index].name.clone());
    let names =
        daemons.iter().map(|daemon| &daemon.name).filter(|name| Some(*name) != excluded.as_ref());
    let owner = owner_of(ORGANISATION, names);
    daemons.iter().position(|daemon| Some(&daemon.name) == owner).unwrap_or(0)
}
