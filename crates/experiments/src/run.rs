//! One run of one policy, in virtual time.

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
use crate::summary::{Record, Seen, histogram};
use crate::workload::{Demand, Deployment, requests};

const US_PER_MS: u64 = 1_000;
const TICK_MS: u64 = 50;
const TICKS_PER_PROGRESS: u64 = 2;
const TICKS_PER_REPORT: u64 = 4;
/// How long answers may go on after the last request has come.
const DRAIN_MS: u64 = 900_000;
const MODEL: &str = "m";

/// An engine that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Which one.
    pub engine: usize,
    /// When the VM list says that it leaves; the same as `at_ms` for a death without notice.
    pub notice_ms: u64,
    /// When it is gone.
    pub at_ms: u64,
    /// When it is back, empty.
    pub back_ms: u64,
}

/// What one run is made of.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The engines and the work.
    pub deployment: Deployment,
    /// How daemons choose.
    pub policy: Policy,
    /// How much work comes.
    pub demand: Demand,
    /// Requests before this moment are not counted.
    pub warm_up_ms: u64,
    /// How old load reports are.
    pub report_lag_ms: u64,
    /// How often daemons tell each other what they run; `None` for never.
    pub exchange_ms: Option<u64>,
    /// How old cache events are when they come; each second one is lost. `None`: there are none.
    pub cache_event_lag_ms: Option<u64>,
    /// Engines that are lost.
    pub losses: Vec<Loss>,
    /// Settles all that is random.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd { engine: usize, life: u32 },
    Tick,
    Leaving(usize),
    Lost(usize),
    Back(usize),
}

struct SimDaemon {
    name: DaemonName,
    admission: Admission,
    tickets: HashMap<Ticket, usize>,
    outstanding: Vec<u32>,
}

struct Run {
    options: RunOptions,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    engines: Vec<SimEngine>,
    daemons: Vec<SimDaemon>,
    /// The engine and the ticket of each request that runs.
    running: HashMap<usize, (usize, Option<Ticket>)>,
    turn: usize,
    random: SmallRng,
    record: Record,
    open: usize,
}

/// Runs until every answer has ended.
#[must_use]
pub fn run(options: RunOptions) -> Record {
    let mut run = Run::new(options);
    let end_us = (run.options.demand.duration_ms + DRAIN_MS) * US_PER_MS;
    while let Some(Reverse((at_us, _, event))) = run.events.pop() {
        if at_us > end_us || (run.open == 0 && at_us > run.options.demand.duration_ms * US_PER_MS) {
            break;
        }
        run.now_us = at_us;
        run.handle(event);
    }
    run.record
}

impl Run {
    fn new(options: RunOptions) -> Self {
        let arrivals = requests(&options.deployment, &options.demand, options.seed);
        let engines: Vec<_> = (0..options.deployment.engines)
            .map(|index| SimEngine::new(index, &options.deployment.engine))
            .collect();
        let daemons = (0..options.deployment.daemons)
            .map(|index| SimDaemon::new(index, &options, engines.len()))
            .collect();
        let mut run = Self {
            now_us: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            engines,
            daemons,
            running: HashMap::new(),
            turn: 0,
            random: SmallRng::seed_from_u64(options.seed),
            open: arrivals.len(),
            record: Record {
                requests: Vec::new(),
                gaps: BTreeMap::new(),
                from_ms: options.warm_up_ms,
                to_ms: options.demand.duration_ms,
            },
            options,
        };
        for (index, request) in arrivals.iter().enumerate() {
            run.schedule(request.at_ms * US_PER_MS, Event::Arrival(index));
        }
        run.record.requests =
            arrivals.into_iter().map(|request| (request, Seen::default())).collect();
        for loss in run.options.losses.clone() {
            run.schedule(loss.notice_ms * US_PER_MS, Event::Leaving(loss.engine));
            run.schedule(loss.at_ms * US_PER_MS, Event::Lost(loss.engine));
            run.schedule(loss.back_ms * US_PER_MS, Event::Back(loss.engine));
        }
        run.tell_engines();
        run.schedule(0, Event::Tick);
        run
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
            Event::Arrival(index) => self.arrive(index),
            Event::StepEnd { engine, life } => self.end_step(engine, life),
            Event::Tick => self.tick(),
            Event::Leaving(engine) => {
                self.engines[engine].leaving = true;
                self.tell_engines();
            }
            Event::Lost(engine) => self.lose(engine),
            Event::Back(engine) => {
                self.engines[engine].alive = true;
                self.engines[engine].leaving = false;
                self.tell_engines();
            }
        }
    }

    // ------------------------------------------------------------------------------------------
    // Daemons

    fn arrive(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let daemon = self.record.requests[index].0.daemon;
        if matches!(self.options.policy, Policy::Admission(_)) {
            let work = self.work(index);
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

    fn work(&self, index: usize) -> Work {
        let (request, seen) = &self.record.requests[index];
        let kind = &self.options.deployment.kinds[request.kind];
        Work {
            organisation: Organisation::from(format!("o{}", request.organisation)),
            kind: Kind::from(kind.name),
            model: Model::from(MODEL),
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            prefix: Some(request.prefix.hash),
            done_tokens: seen.tokens,
            max_tokens: kind.output_tokens.1 as u32,
            deadline_ms: request.deadline_ms,
            avoid: Vec::new(),
        }
    }

    fn choose(&mut self, daemon: usize) -> Option<usize> {
        let (now_ms, lag_ms) = (self.now_ms(), self.options.report_lag_ms);
        let data_centres = self.options.deployment.data_centres;
        let open: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].alive && !self.engines[*engine].leaving)
            .collect();
        let candidates: Vec<_> = open
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
        open.get(chosen).copied()
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
        self.open -= 1;
        let seen = &mut self.record.requests[index].1;
        seen.refused_us = Some(self.now_us);
        seen.retry_after_ms = retry_after_ms;
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        let tick = now_ms / TICK_MS;
        for engine in &mut self.engines {
            engine.note_load(now_ms);
        }
        if matches!(self.options.policy, Policy::Admission(_)) {
            if tick.is_multiple_of(TICKS_PER_PROGRESS) {
                self.note_progress();
            }
            if self.options.exchange_ms.is_some_and(|every_ms| now_ms.is_multiple_of(every_ms)) {
                self.exchange(now_ms);
            }
            if tick.is_multiple_of(TICKS_PER_REPORT) {
                self.report(now_ms);
            }
            for daemon in 0..self.daemons.len() {
                if self.daemons[daemon].admission.waiting() > 0 {
                    self.decide(daemon);
                }
            }
        }
        self.schedule(self.now_us + TICK_MS * US_PER_MS, Event::Tick);
    }

    fn note_progress(&mut self) {
        for (index, (_, ticket)) in &self.running {
            let (request, seen) = &self.record.requests[*index];
            if let Some(ticket) = ticket {
                self.daemons[request.daemon].admission.progress(*ticket, seen.tokens);
            }
        }
    }

    fn exchange(&mut self, now_ms: u64) {
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

    fn report(&mut self, now_ms: u64) {
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
                // A gap: half of the events never come.
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

    fn tell_engines(&mut self) {
        let data_centres = self.options.deployment.data_centres;
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let alive = self.engines.iter().enumerate().filter(|(_, engine)| engine.alive);
            let facts = alive.map(|(at, engine)| EngineFacts {
                name: engine.name.clone(),
                models: vec![Model::from(MODEL)],
                is_near: at % data_centres == index % data_centres,
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
        let (request, seen) = &self.record.requests[index];
        let job = Job {
            generation: GenerationId::from_bytes((index as u128).to_be_bytes()),
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            prefix: Some(request.prefix),
            done_tokens: seen.tokens,
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
        let (at_us, life) = (self.now_us + step.duration_us, engine.life);
        engine.step = Some(step);
        self.schedule(at_us, Event::StepEnd { engine: index, life });
    }

    fn end_step(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life != life {
            return;
        }
        let Some(step) = self.engines[engine].step.take() else { return };
        for generation in step.preempted {
            self.record.requests[index_of(generation)].1.preemptions += 1;
        }
        for (generation, _) in step.produced {
            self.see_token(index_of(generation));
        }
        self.begin_step(engine);
        for generation in step.finished {
            self.finish(index_of(generation));
        }
    }

    fn see_token(&mut self, index: usize) {
        let (request, seen) = &mut self.record.requests[index];
        seen.tokens += 1;
        if seen.first_us.is_none() {
            seen.first_us = Some(self.now_us);
        } else {
            let gap_us = self.now_us - seen.last_us;
            seen.longest_gap_us = seen.longest_gap_us.max(gap_us);
            if request.at_ms >= self.record.from_ms {
                let key = (request.organisation, request.kind);
                let gaps = self.record.gaps.entry(key).or_insert_with(histogram);
                gaps.saturating_record(gap_us);
            }
        }
        seen.last_us = self.now_us;
    }

    fn finish(&mut self, index: usize) {
        self.open -= 1;
        let (request, seen) = &mut self.record.requests[index];
        seen.whole_us = Some(self.now_us);
        let (daemon, tokens) = (request.daemon, seen.tokens);
        let Some((engine, ticket)) = self.running.remove(&index) else { return };
        self.daemons[daemon].outstanding[engine] -= 1;
        if let Some(ticket) = ticket {
            self.end(daemon, ticket, End::Completed { tokens });
            self.decide(daemon);
        }
    }

    fn end(&mut self, daemon: usize, ticket: Ticket, end: End) {
        let now_ms = self.now_ms();
        self.daemons[daemon].admission.finish(ticket, end, now_ms);
        self.daemons[daemon].tickets.remove(&ticket);
    }

    /// An engine dies; what ran there continues elsewhere from the tokens already seen.
    fn lose(&mut self, lost: usize) {
        self.engines[lost].lose(&self.options.deployment.engine);
        self.tell_engines();
        let mut cut: Vec<_> = self
            .running
            .iter()
            .filter(|(_, (engine, _))| *engine == lost)
            .map(|(index, (_, ticket))| (*index, *ticket))
            .collect();
        cut.sort_unstable();
        for (index, ticket) in cut {
            self.running.remove(&index);
            let daemon = self.record.requests[index].0.daemon;
            self.daemons[daemon].outstanding[lost] -= 1;
            if let Some(ticket) = ticket {
                self.end(daemon, ticket, End::Aborted);
            }
            self.arrive(index);
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

fn index_of(generation: GenerationId) -> usize {
    let bytes = generation.to_vec();
    let low: [u8; 8] = bytes[8..].try_into().unwrap_or_default();
    usize::try_from(u64::from_be_bytes(low)).unwrap_or(usize::MAX)
}
