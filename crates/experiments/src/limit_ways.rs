//! Three ways to hold an organisation's limit over all daemons, in virtual time.
//!
//! Each gets the same arrivals: bursts that a balancer sends unevenly over the daemons. Messages
//! take [`LATENCY_MS`]; every [`OWNER_DEATH_MS`] the daemon that owns the organisation dies.

use std::collections::{BTreeSet, VecDeque};

use comfreymast_base::DaemonName;
use comfreymast_decide::limits::{Grant, Grants, HolderReport, LimitOptions, Share, owner_of};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

const ORGANISATION: &str = "estudio-norte";
const LATENCY_MS: u64 = 2;
const REPORT_INTERVAL_MS: u64 = 250;
const ASK_INTERVAL_MS: u64 = 20;
const OWNER_DEATH_MS: u64 = 30_000;
const HEAR_DEATH_MS: u64 = 2_000;
const RUN_MS: u64 = 300_000;
const MEAN_SERVICE_MS: f64 = 2_000.0;
const MEAN_BURST_GAP_MS: f64 = 800.0;
const MOST_IN_BURST: u32 = 40;

/// How the limit is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each daemon has the same part.
    StaticSplit,
    /// Each daemon tells all others what it uses.
    Gossip,
    /// A rendezvous owner leases slots.
    Leases,
    /// One counter that every daemon reads at once, which nobody can build: the least refusals
    /// without overshoot.
    OneCounter,
}

/// What one run showed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitOutcome {
    /// Requests that came.
    pub offered: u64,
    /// Requests refused while fewer than the limit were in use.
    pub refused_while_free: u64,
    /// Requests refused in all.
    pub refused: u64,
    /// The most in use above the limit.
    pub overshoot: u32,
    /// Messages between daemons for this organisation.
    pub messages: u64,
}

/// One fleet and one organisation.
#[derive(Clone, Copy, Debug)]
pub struct LimitRun {
    /// How the limit is held.
    pub way: Way,
    /// How many daemons there are.
    pub daemons: usize,
    /// The organisation's concurrent requests.
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
    /// What other daemons said they use.
    others: Vec<u32>,
    ends_ms: Vec<u64>,
    /// Requests that wait for a slot.
    waiting: VecDeque<Waiting>,
    asked_ms: u64,
}

struct Waiting {
    until_ms: u64,
    service_ms: u64,
}

struct World {
    run: LimitRun,
    rng: SmallRng,
    now_ms: u64,
    daemons: Vec<DaemonState>,
    mail: VecDeque<(u64, usize, Message)>,
    owner: usize,
    grants: Grants,
    owner_back_ms: u64,
    outcome: LimitOutcome,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 4] = [Self::StaticSplit, Self::Gossip, Self::Leases, Self::OneCounter];

    fn name(self) -> &'static str {
        match self {
            Self::StaticSplit => "static split",
            Self::Gossip => "gossip of usage",
            Self::Leases => "leases from an owner",
            Self::OneCounter => "one counter (bound)",
        }
    }
}

/// The table of all ways as Markdown, for a fleet of today and for a larger one.
#[must_use]
pub fn limits_table(first_seed: u64, seeds: u64) -> String {
    const FLEETS: [(usize, u32); 3] = [(9, 64), (9, 16), (40, 64)];
    let mut text = String::from(
        "| daemons | slots | way | refused while free, % | refused, % | overshoot, slots | messages/s |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for (daemons, limit_slots) in FLEETS {
        for way in Way::ALL {
            let run = |seed| LimitRun { way, daemons, limit_slots, seed }.outcome();
            let outcomes: Vec<_> = (first_seed..first_seed + seeds).map(run).collect();
            text.push_str(&row(daemons, limit_slots, way, &outcomes));
        }
    }
    text
}

fn row(daemons: usize, limit_slots: u32, way: Way, outcomes: &[LimitOutcome]) -> String {
    const MS_PER_S: u64 = 1_000;
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    let free = spread(outcomes, |outcome| percent(outcome.refused_while_free, outcome.offered));
    let refused = spread(outcomes, |outcome| percent(outcome.refused, outcome.offered));
    let overshoot = spread(outcomes, |outcome| f64::from(outcome.overshoot));
    let messages = spread(outcomes, |outcome| (outcome.messages * MS_PER_S / RUN_MS) as f64);
    let name = way.name();
    format!(
        "| {daemons} | {limit_slots} | {name} | {free} | {refused} | {overshoot} | {messages} |\n"
    )
}

/// The median, with the least and the most.
fn spread(outcomes: &[LimitOutcome], measure: impl Fn(&LimitOutcome) -> f64) -> String {
    let mut values: Vec<_> = outcomes.iter().map(measure).collect();
    values.sort_by(f64::total_cmp);
    let value = |index: usize| values.get(index).copied().unwrap_or_default();
    let last = values.len().saturating_sub(1);
    format!("{:.1} [{:.1}–{:.1}]", value(values.len() / 2), value(0), value(last))
}

impl LimitRun {
    /// Runs it.
    #[must_use]
    pub fn outcome(self) -> LimitOutcome {
        let mut world = World::new(self);
        let mut next_burst_ms = 0;
        while world.now_ms < RUN_MS {
            world.deliver();
            world.finish();
            if world.now_ms >= next_burst_ms {
                next_burst_ms = world.now_ms + world.exponential(MEAN_BURST_GAP_MS);
                world.burst();
            }
            if world.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
                world.report_all();
            }
            if world.now_ms.is_multiple_of(OWNER_DEATH_MS) && world.now_ms > 0 {
                world.kill_owner();
            }
            if world.now_ms == world.owner_back_ms && world.now_ms > 0 {
                world.report_to_new_owner();
            }
            world.serve_waiting();
            world.now_ms += 1;
        }
        world.outcome
    }
}

impl World {
    fn new(run: LimitRun) -> Self {
        let daemon = |index: usize| DaemonState {
            name: DaemonName::from(format!("d{index}")),
            share: Share::default(),
            others: vec![0; run.daemons],
            ends_ms: Vec::new(),
            waiting: VecDeque::new(),
            asked_ms: 0,
        };
        let daemons: Vec<_> = (0..run.daemons).map(daemon).collect();
        let owner = owner_among(&daemons, None);
        Self {
            run,
            rng: SmallRng::seed_from_u64(run.seed),
            now_ms: 0,
            daemons,
            mail: VecDeque::new(),
            owner,
            grants: Grants::take_over(LimitOptions::default(), 1, BTreeSet::new(), 0),
            owner_back_ms: 0,
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
        self.mail.push_back((self.now_ms + LATENCY_MS, to, message));
    }

    /// Most callers of a burst come through one daemon.
    fn burst(&mut self) {
        let near = self.rng.random_range(0..self.daemons.len());
        for _ in 0..self.rng.random_range(1..=MOST_IN_BURST) {
            let anywhere = self.rng.random_range(0..self.daemons.len());
            let daemon = if self.rng.random_bool(0.7) { near } else { anywhere };
            let service_ms = self.exponential(MEAN_SERVICE_MS);
            self.arrive(daemon, service_ms);
        }
    }

    fn arrive(&mut self, index: usize, service_ms: u64) {
        const GRANT_WAIT_MS: u64 = 250;
        self.outcome.offered += 1;
        if self.admits(index) {
            self.begin(index, service_ms);
        } else if self.run.way == Way::Leases {
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

    /// Takes a slot if this daemon may.
    fn admits(&mut self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let slots = match self.run.way {
            Way::StaticSplit => self.run.limit_slots / daemons,
            Way::Gossip => self.run.limit_slots.saturating_sub(daemon.others.iter().sum()),
            Way::OneCounter => self.run.limit_slots - (self.in_use() - daemon.share.in_use()),
            Way::Leases => LimitOptions::default().floor_slots(self.run.limit_slots, daemons),
        };
        daemon.share.try_acquire(slots, self.now_ms)
    }

    fn begin(&mut self, index: usize, service_ms: u64) {
        let end_ms = self.now_ms + service_ms;
        self.daemons[index].ends_ms.push(end_ms);
        self.outcome.overshoot =
            self.outcome.overshoot.max(self.in_use().saturating_sub(self.run.limit_slots));
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        for daemon in &mut self.daemons {
            let before = daemon.ends_ms.len();
            daemon.ends_ms.retain(|end_ms| *end_ms > now_ms);
            for _ in daemon.ends_ms.len()..before {
                daemon.share.release();
            }
        }
    }

    fn serve_waiting(&mut self) {
        for index in 0..self.daemons.len() {
            while let Some(first) = self.daemons[index].waiting.front() {
                let Waiting { until_ms, service_ms } = *first;
                if self.admits(index) {
                    self.begin(index, service_ms);
                } else if self.now_ms >= until_ms {
                    self.refuse();
                } else {
                    break;
                }
                self.daemons[index].waiting.pop_front();
            }
            let daemon = &self.daemons[index];
            if !daemon.waiting.is_empty() && self.now_ms >= daemon.asked_ms + ASK_INTERVAL_MS {
                self.report(index);
            }
        }
    }

    fn report_all(&mut self) {
        for index in 0..self.daemons.len() {
            match self.run.way {
                Way::StaticSplit | Way::OneCounter => {}
                Way::Gossip => self.gossip(index),
                Way::Leases if self.daemons[index].share.last_used_ms() + 10_000 > self.now_ms => {
                    self.report(index);
                }
                Way::Leases => {}
            }
        }
    }

    /// After a change of membership every daemon reports, also one that holds nothing.
    fn report_to_new_owner(&mut self) {
        if self.run.way == Way::Leases {
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
        daemon.asked_ms = sent_ms;
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
        while self.mail.front().is_some_and(|(at_ms, ..)| *at_ms <= self.now_ms) {
            let Some((_, to, message)) = self.mail.pop_front() else { return };
            match message {
                Message::Use { from, in_use } => self.daemons[to].others[from] = in_use,
                Message::Grant { sent_ms, grant } => {
                    self.daemons[to].share.accept(grant, sent_ms);
                }
                Message::Report { from, sent_ms, report } => self.answer(from, sent_ms, report),
            }
        }
    }

    fn answer(&mut self, from: usize, sent_ms: u64, report: HolderReport) {
        if self.now_ms < self.owner_back_ms {
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

    /// The owner's requests go on (callers re-attach elsewhere); its grants are forgotten, and
    /// reports go nowhere until the others have noticed.
    fn kill_owner(&mut self) {
        self.owner = owner_among(&self.daemons, Some(self.owner));
        self.owner_back_ms = self.now_ms + HEAR_DEATH_MS;
        let names = self.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        let generation = self.grants.generation() + 1;
        self.grants =
            Grants::take_over(LimitOptions::default(), generation, names, self.owner_back_ms);
    }
}

fn owner_among(daemons: &[DaemonState], lost: Option<usize>) -> usize {
    let lost = lost.map(|index| daemons[index].name.clone());
    let names =
        daemons.iter().map(|daemon| &daemon.name).filter(|name| Some(*name) != lost.as_ref());
    let owner = owner_of(ORGANISATION, names);
    daemons.iter().position(|daemon| Some(&daemon.name) == owner).unwrap_or(0)
}
