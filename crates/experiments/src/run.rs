//! The simulation of one run with one policy, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use comfreymast_base::{DaemonName, GenerationId, Kind, Model, Organisation, Upstream};
use comfreymast_decide::admission::{
    Admission, Decision, End, EngineFacts, EngineReport, Ticket, Work,
};
use comfreymast_decide::routing::Candidate;
use comfreymast_fakes::engine::batch::Job;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::engines::SimEngine;
use crate::policy::Policy;
use crate::summary::{RequestOutcome, RunRecord, histogram};
use crate::workload::{Demand, Deployment, generate_requests};

const US_PER_MS: u64 = 1_000;
const TICK_MS: u64 = 50;
const TICKS_PER_PROGRESS: u64 = 2;
const TICKS_PER_REPORT: u64 = 4;
/// Maximum time for answers to end after the last arrival.
const DRAIN_MS: u64 = 900_000;
const MODEL: &str = "m";

/// The failure of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineFailure {
    /// The index of the engine.
    pub engine: usize,
    /// When the VM list marks it as leaving; equal to `at_ms` for a failure without notice.
    pub notice_ms: u64,
    /// When it fails.
    pub at_ms: u64,
    /// When it is available again, with an empty batch.
    pub recovered_ms: u64,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The engines, the daemons and the kinds of work.
    pub deployment: Deployment,
    /// How daemons choose engines.
    pub policy: Policy,
    /// How much work is requested.
    pub demand: Demand,
    /// Requests that arrive before this time are not counted.
    pub warm_up_ms: u64,
    /// Age of load reports when daemons receive them.
    pub report_lag_ms: u64,
    /// Interval at which daemons exchange their use of engines; `None` for never.
    pub exchange_interval_ms: Option<u64>,
    /// Age of cache events when daemons receive them; half of them are lost. `None` for no events.
    pub cache_event_lag_ms: Option<u64>,
    /// Engine failures.
    pub failures: Vec<EngineFailure>,
    /// The seed of all random numbers.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd { engine: usize, incarnation: u32 },
    Tick,
    Leaving(usize),
    Failed(usize),
    Recovered(usize),
}

struct SimDaemon {
    name: DaemonName,
    admission: Admission,
    tickets: HashMap<Ticket, usize>,
    outstanding: Vec<u32>,
}

struct Simulation {
    options: RunOptions,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    engines: Vec<SimEngine>,
    daemons: Vec<SimDaemon>,
    /// The engine and the admission ticket of each running request, by its index.
    running: HashMap<usize, (usize, Option<Ticket>)>,
    turn: usize,
    random: SmallRng,
    record: RunRecord,
    open_requests: usize,
}

/// Simulates a run until every answer has ended or the time for the last answers is over.
#[must_use]
pub fn run(options: RunOptions) -> RunRecord {
    let mut simulation = Simulation::new(options);
    let end_us = (simulation.options.demand.duration_ms + DRAIN_MS) * US_PER_MS;
    while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
        if at_us > end_us
            || (simulation.open_requests == 0
                && at_us > simulation.options.demand.duration_ms * US_PER_MS)
        {
            break;
        }
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.record
}

impl Simulation {
    fn new(options: RunOptions) -> Self {
        let arrivals = generate_requests(&options.deployment, &options.demand, options.seed);
        let engines: Vec<_> = (0..options.deployment.engines)
            .map(|index| SimEngine::new(index, &options.deployment.engine))
            .collect();
        let daemons = (0..options.deployment.daemons)
            .map(|index| SimDaemon::new(index, &options, engines.len()))
            .collect();
        let mut simulation = Self {
            now_us: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            engines,
            daemons,
            running: HashMap::new(),
            turn: 0,
            random: SmallRng::seed_from_u64(options.seed),
            open_requests: arrivals.len(),
            record: RunRecord {
                requests: Vec::new(),
                gaps: BTreeMap::new(),
                from_ms: options.warm_up_ms,
                to_ms: options.demand.duration_ms,
            },
            options,
        };
        for (index, request) in arrivals.iter().enumerate() {
            simulation.schedule(request.at_ms * US_PER_MS, Event::Arrival(index));
        }
        simulation.record.requests =
            arrivals.into_iter().map(|request| (request, RequestOutcome::default())).collect();
        for failure in simulation.options.failures.clone() {
            simulation.schedule(failure.notice_ms * US_PER_MS, Event::Leaving(failure.engine));
            simulation.schedule(failure.at_ms * US_PER_MS, Event::Failed(failure.engine));
            simulation.schedule(failure.recovered_ms * US_PER_MS, Event::Recovered(failure.engine));
        }
        simulation.update_engines();
        simulation.schedule(0, Event::Tick);
        simulation
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.dispatch(index),
            Event::StepEnd { engine, incarnation } => self.end_step(engine, incarnation),
            Event::Tick => self.tick(),
            Event::Leaving(engine) => {
                self.engines[engine].leaving = true;
                self.update_engines();
            }
            Event::Failed(engine) => self.fail_engine(engine),
            Event::Recovered(engine) => {
                self.engines[engine].alive = true;
                self.engines[engine].leaving = false;
                self.update_engines();
            }
        }
    }

    // ------------------------------------------------------------------------------------------
    // Daemons

    fn dispatch(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let daemon = self.record.requests[index].0.daemon;
        if matches!(self.options.policy, Policy::Admission(_)) {
            let work = self.admission_work(index);
            let daemon_state = &mut self.daemons[daemon];
            let ticket = daemon_state.admission.enqueue(work, now_ms);
            daemon_state.tickets.insert(ticket, index);
            self.decide(daemon);
        } else if let Some(engine) = self.choose(daemon) {
            self.start(index, engine, None);
        } else {
            self.refuse(index, 1_000);
        }
    }

    fn admission_work(&self, index: usize) -> Work {
        let (request, outcome) = &self.record.requests[index];
        let kind = &self.options.deployment.kinds[request.kind];
        Work {
            organisation: Organisation::from(format!("o{}", request.organisation)),
            kind: Kind::from(kind.name),
            model: Model::from(MODEL),
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            prefix: Some(request.prefix.hash),
            done_tokens: outcome.tokens,
            max_tokens: kind.output_tokens.1 as u32,
            deadline_ms: request.deadline_ms,
            avoid: Vec::new(),
        }
    }

    fn choose(&mut self, daemon: usize) -> Option<usize> {
        let (now_ms, lag_ms) = (self.now_ms(), self.options.report_lag_ms);
        let data_centres = self.options.deployment.data_centres;
        let available: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].alive && !self.engines[*engine].leaving)
            .collect();
        let candidates: Vec<_> = available
            .iter()
            .map(|engine| {
                let load = self.engines[*engine].lagged_load(now_ms, lag_ms);
                Candidate {
                    outstanding: self.daemons[daemon].outstanding[*engine],
                    reported: load.running + load.waiting,
                    is_near: engine % data_centres == daemon % data_centres,
                }
            })
            .collect();
        self.turn += 1;
        let chosen = self.options.policy.choose(&candidates, self.turn, &mut self.random)?;
        available.get(chosen).copied()
    }

    fn decide(&mut self, daemon: usize) {
        let now_ms = self.now_ms();
        for decision in self.daemons[daemon].admission.decide(now_ms) {
            match decision {
                Decision::Start { ticket, engine } => {
                    let index = self.daemons[daemon].tickets[&ticket];
                    let engine = self.engine_index(&engine);
                    self.start(index, engine, Some(ticket));
                }
                Decision::Refuse { ticket, retry_after_ms } => {
                    if let Some(index) = self.daemons[daemon].tickets.remove(&ticket) {
                        self.refuse(index, retry_after_ms);
                    }
                }
            }
        }
    }

    fn refuse(&mut self, index: usize, retry_after_ms: u64) {
        self.open_requests -= 1;
        let outcome = &mut self.record.requests[index].1;
        outcome.refused_us = Some(self.now_us);
        outcome.retry_after_ms = retry_after_ms;
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        let tick = now_ms / TICK_MS;
        for engine in &mut self.engines {
            engine.record_load(now_ms);
        }
        if matches!(self.options.policy, Policy::Admission(_)) {
            if tick.is_multiple_of(TICKS_PER_PROGRESS) {
                self.report_progress();
            }
            if self
                .options
                .exchange_interval_ms
                .is_some_and(|interval_ms| now_ms.is_multiple_of(interval_ms))
            {
                self.exchange_use(now_ms);
            }
            if tick.is_multiple_of(TICKS_PER_REPORT) {
                self.report_load(now_ms);
            }
            for daemon in 0..self.daemons.len() {
                if self.daemons[daemon].admission.waiting() > 0 {
                    self.decide(daemon);
                }
            }
        }
        self.schedule(self.now_us + TICK_MS * US_PER_MS, Event::Tick);
    }

    fn report_progress(&mut self) {
        for (index, (_, ticket)) in &self.running {
            let (request, outcome) = &self.record.requests[*index];
            if let Some(ticket) = ticket {
                self.daemons[request.daemon].admission.progress(*ticket, outcome.tokens);
            }
        }
    }

    fn exchange_use(&mut self, now_ms: u64) {
        for from in 0..self.daemons.len() {
            let uses = self.daemons[from].admission.own_use(now_ms);
            let waiting = u32::try_from(self.daemons[from].admission.waiting()).unwrap_or(u32::MAX);
            let name = self.daemons[from].name.clone();
            for (to, daemon) in self.daemons.iter_mut().enumerate() {
                if to != from {
                    daemon.admission.peer_use(&name, &uses, waiting, now_ms);
                }
            }
        }
    }

    fn report_load(&mut self, now_ms: u64) {
        for engine in &self.engines {
            let load = engine.lagged_load(now_ms, self.options.report_lag_ms);
            if !engine.alive || load.memory_tokens == 0 {
                continue;
            }
            let report = EngineReport {
                used_tokens: load.memory_used_tokens,
                memory_tokens: load.memory_tokens,
                waiting: load.waiting,
            };
            for daemon in &mut self.daemons {
                daemon.admission.report(&engine.name, report);
            }
        }
        self.send_cache_events(now_ms);
    }

    fn send_cache_events(&mut self, now_ms: u64) {
        let Some(lag_ms) = self.options.cache_event_lag_ms else { return };
        for engine in &self.engines {
            for prefix in engine.batch.cached_prefixes() {
                // Half of the events are lost.
                if rand::Rng::random_bool(&mut self.random, 0.5) {
                    continue;
                }
                let at_ms = now_ms.saturating_sub(lag_ms);
                for daemon in &mut self.daemons {
                    daemon.admission.cache_event(&engine.name, prefix, true, at_ms);
                }
            }
        }
    }

    fn update_engines(&mut self) {
        let data_centres = self.options.deployment.data_centres;
        for (daemon_index, daemon) in self.daemons.iter_mut().enumerate() {
            let alive = self.engines.iter().enumerate().filter(|(_, engine)| engine.alive);
            let facts = alive.map(|(engine_index, engine)| EngineFacts {
                name: engine.name.clone(),
                models: vec![Model::from(MODEL)],
                is_near: engine_index % data_centres == daemon_index % data_centres,
                leaving: engine.leaving,
            });
            daemon.admission.set_engines(facts.collect());
        }
    }

    // ------------------------------------------------------------------------------------------
    // Engines

    fn engine_index(&self, name: &Upstream) -> usize {
        self.engines.iter().position(|engine| engine.name == *name).unwrap_or_default()
    }

    fn start(&mut self, index: usize, engine: usize, ticket: Option<Ticket>) {
        let (request, outcome) = &self.record.requests[index];
        let job = Job {
            generation: GenerationId::from_bytes((index as u128).to_be_bytes()),
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            prefix: Some(request.prefix),
            done_tokens: outcome.tokens,
            total_tokens: request.output_tokens,
        };
        self.daemons[request.daemon].outstanding[engine] += 1;
        self.running.insert(index, (engine, ticket));
        self.engines[engine].batch.submit(job);
        self.begin_step(engine);
    }

    fn begin_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.step.is_some() || !engine.alive || engine.batch.is_idle() {
            return;
        }
        let step = engine.batch.step();
        let (at_us, incarnation) = (self.now_us + step.duration_us, engine.incarnation);
        engine.step = Some(step);
        self.schedule(at_us, Event::StepEnd { engine: index, incarnation });
    }

    fn end_step(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let Some(step) = self.engines[engine].step.take() else { return };
        for generation in step.preempted {
            self.record.requests[request_index(generation)].1.preemptions += 1;
        }
        for (generation, _) in step.produced {
            self.record_token(request_index(generation));
        }
        self.begin_step(engine);
        for generation in step.finished {
            self.finish_request(request_index(generation));
        }
    }

    fn record_token(&mut self, index: usize) {
        let (request, outcome) = &mut self.record.requests[index];
        outcome.tokens += 1;
        if outcome.first_token_us.is_none() {
            outcome.first_token_us = Some(self.now_us);
        } else {
            let gap_us = self.now_us - outcome.last_token_us;
            outcome.longest_gap_us = outcome.longest_gap_us.max(gap_us);
            if request.at_ms >= self.record.from_ms {
                let key = (request.organisation, request.kind);
                let gaps = self.record.gaps.entry(key).or_insert_with(histogram);
                gaps.saturating_record(gap_us);
            }
        }
        outcome.last_token_us = self.now_us;
    }

    fn finish_request(&mut self, index: usize) {
        self.open_requests -= 1;
        let (request, outcome) = &mut self.record.requests[index];
        outcome.completed_us = Some(self.now_us);
        let (daemon, tokens) = (request.daemon, outcome.tokens);
        let Some((engine, ticket)) = self.running.remove(&index) else { return };
        self.daemons[daemon].outstanding[engine] -= 1;
        if let Some(ticket) = ticket {
            self.finish_ticket(daemon, ticket, End::Completed { tokens });
            self.decide(daemon);
        }
    }

    fn finish_ticket(&mut self, daemon: usize, ticket: Ticket, end: End) {
        let now_ms = self.now_ms();
        self.daemons[daemon].admission.finish(ticket, end, now_ms);
        self.daemons[daemon].tickets.remove(&ticket);
    }

    /// Fails an engine. Its requests continue on other engines after the tokens already received.
    fn fail_engine(&mut self, failed: usize) {
        self.engines[failed].fail(&self.options.deployment.engine);
        self.update_engines();
        let mut interrupted: Vec<_> = self
            .running
            .iter()
            .filter(|(_, (engine, _))| *engine == failed)
            .map(|(index, (_, ticket))| (*index, *ticket))
            .collect();
        interrupted.sort_unstable();
        for (index, ticket) in interrupted {
            self.running.remove(&index);
            let daemon = self.record.requests[index].0.daemon;
            self.daemons[daemon].outstanding[failed] -= 1;
            if let Some(ticket) = ticket {
                self.finish_ticket(daemon, ticket, End::Aborted);
            }
            self.dispatch(index);
        }
    }
}

impl SimDaemon {
    fn new(index: usize, options: &RunOptions, engines: usize) -> Self {
        let admission_options = match &options.policy {
            Policy::Admission(admission_options) => admission_options.as_ref().clone(),
            _ => comfreymast_decide::admission::AdmissionOptions::default(),
        };
        Self {
            name: DaemonName::from(format!("d{index}")),
            admission: Admission::new(admission_options, options.seed + index as u64),
            tickets: HashMap::new(),
            outstanding: vec![0; engines],
        }
    }
}

fn request_index(generation: GenerationId) -> usize {
    let bytes = generation.to_vec();
    let low: [u8; 8] = bytes[8..].try_into().unwrap_or_default();
    usize::try_from(u64::from_be_bytes(low)).unwrap_or(usize::MAX)
}
