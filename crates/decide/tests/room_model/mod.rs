//! Engines of one service and the daemons in front of them, in virtual time.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use comfreymast_decide::placement::{EngineView, PlacementOptions, choose_engine};
use comfreymast_decide::room::engine_priority::PriorityLevels;
use comfreymast_decide::room::forecast::{Capacity, HoldingTime};
use comfreymast_decide::room::order::RoomRequest;
use comfreymast_decide::room::peers::{ClassLoad, Elsewhere, WaitClass, WaitLoads};
use comfreymast_decide::room::queue::{Ahead, Attempt, RoomQueue, Ticket};
use comfreymast_decide::room::turn_away::{Verdict, judge};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;
const MEMORY_TOKENS: u64 = 10_000;
const SLOTS: u32 = 24;
/// How old the news of other daemons' reservations is.
const NEWS_AGE_MS: u64 = 150;

/// How a daemon decides which waiting stream starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The wait queue of the gateway.
    Room,
    /// The code before: each stream polls each 40 ms, in no order, for 0.6 of its target latency.
    Polling,
    /// First come, first served, until the caller gives up.
    Fifo,
    /// By priority, then first come, first served.
    Strict,
}

/// A stream that a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Job {
    pub(crate) request: RoomRequest,
    pub(crate) daemon: usize,
    pub(crate) has_retried: bool,
    /// When it was first asked for.
    pub(crate) asked_ms: u64,
}

/// What became of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// It started, this long after it was asked for.
    Started { wait_ms: u64 },
    /// It was rejected after this wait, and its caller does not come back.
    Rejected { wait_ms: u64 },
    /// Its caller gave up.
    GaveUp,
    /// It waited at an engine that failed.
    Lost,
}

/// A stream at an engine, which waits there while the memory that really is free does not suffice.
struct Run {
    engine: usize,
    daemon: usize,
    job: Job,
    engine_priority: u8,
    placed_ms: u64,
    ends_ms: Option<u64>,
}

#[derive(Default)]
struct Daemon {
    queue: RoomQueue,
    jobs: BTreeMap<Ticket, Job>,
    fifo: VecDeque<Job>,
    holding: HoldingTime,
    elsewhere: Elsewhere,
    /// What it told last.
    told: WaitLoads,
    paused_until_ms: u64,
}

/// The fleet.
pub(crate) struct Model {
    policy: Policy,
    engines: Vec<bool>,
    daemons: Vec<Daemon>,
    runs: Vec<Run>,
    /// Streams that ended, of which other daemons do not know yet.
    untold_ends: Vec<Run>,
    arrivals: BTreeMap<u64, Vec<Job>>,
    pub(crate) ended: Vec<(Job, End)>,
    /// Rejections within 100 ms, and all.
    pub(crate) early_rejections: (usize, usize),
    random: StdRng,
    pub(crate) now_ms: u64,
}

impl Model {
    pub(crate) fn new(policy: Policy, engines: usize, daemons: usize, seed: u64) -> Self {
        Self {
            policy,
            engines: vec![true; engines],
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            runs: Vec::new(),
            untold_ends: Vec::new(),
            arrivals: BTreeMap::new(),
            ended: Vec::new(),
            early_rejections: (0, 0),
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
        }
    }

    pub(crate) fn add(&mut self, request: RoomRequest, daemon: usize) {
        let asked_ms = request.arrived_ms;
        let job = Job { request, daemon, has_retried: false, asked_ms };
        self.arrivals.entry(asked_ms).or_default().push(job);
    }

    /// Ends `count` engines and what runs on them.
    pub(crate) fn fail_engines(&mut self, count: usize) {
        self.engines[..count].fill(false);
        for run in self.runs.extract_if(.., |run| run.engine < count) {
            if run.ends_ms.is_none() {
                self.ended.push((run.job, End::Lost));
            }
        }
    }

    pub(crate) fn pause_daemon(&mut self, daemon: usize, until_ms: u64) {
        self.daemons[daemon].paused_until_ms = until_ms;
    }

    pub(crate) fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.end_runs();
            self.begin_runs();
            if self.now_ms.is_multiple_of(NEWS_AGE_MS) {
                self.exchange();
            }
            while let Some(entry) = self.arrivals.first_entry().filter(|e| *e.key() <= self.now_ms)
            {
                entry.remove().into_iter().for_each(|job| self.arrive(job));
            }
            let first = self.random.random_range(0..self.daemons.len());
            for offset in 0..self.daemons.len() {
                let daemon = (first + offset) % self.daemons.len();
                if self.daemons[daemon].paused_until_ms <= self.now_ms {
                    self.serve(daemon);
                }
            }
        }
    }

    /// Gives each daemon what all others told an interval ago.
    fn exchange(&mut self) {
        let mut all = WaitLoads::new();
        add_loads(&mut all, self.daemons.iter().flat_map(|daemon| &daemon.told));
        for daemon in &mut self.daemons {
            let mut others = all.clone();
            for (class, told) in &daemon.told {
                if let Some(load) = others.get_mut(class) {
                    load.count -= told.count;
                    load.tokens -= told.tokens;
                }
            }
            others.retain(|_, load| load.count > 0);
            daemon.elsewhere = Elsewhere::new(others, self.now_ms);
            daemon.told = daemon.queue.loads();
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let is_over =
            |run: &mut Run, age_ms: u64| run.ends_ms.is_some_and(|at_ms| at_ms + age_ms <= now_ms);
        for run in self.runs.extract_if(.., |run| is_over(run, 0)) {
            let held_ms = now_ms - run.placed_ms;
            let work_ms = run.job.request.work_ms();
            self.daemons[run.daemon].holding.observe_end(work_ms, held_ms);
            self.untold_ends.push(run);
        }
        self.untold_ends.retain_mut(|run| !is_over(run, NEWS_AGE_MS));
    }

    /// Starts what waits at engines, the lowest priority number first.
    fn begin_runs(&mut self) {
        let mut free = vec![(MEMORY_TOKENS, SLOTS); self.engines.len()];
        for run in self.runs.iter().filter(|run| run.ends_ms.is_some()) {
            free[run.engine].0 = free[run.engine].0.saturating_sub(run.job.request.need_tokens);
            free[run.engine].1 -= 1;
        }
        let mut waiting: Vec<_> =
            self.runs.iter_mut().filter(|run| run.ends_ms.is_none()).collect();
        waiting.sort_by_key(|run| (run.engine_priority, run.placed_ms));
        for run in waiting {
            let request = &run.job.request;
            let (tokens, slots) = &mut free[run.engine];
            if *tokens < request.need_tokens || *slots == 0 {
                // What comes later waits for it.
                *tokens = 0;
                continue;
            }
            *tokens -= request.need_tokens;
            *slots -= 1;
            run.ends_ms = Some(self.now_ms + request.work_ms().max(STEP_MS));
            let wait_ms = self.now_ms - run.job.asked_ms;
            self.ended.push((run.job.clone(), End::Started { wait_ms }));
        }
    }

    fn arrive(&mut self, job: Job) {
        let daemon = &mut self.daemons[job.daemon];
        if self.policy == Policy::Room {
            let ticket = daemon.queue.push(job.request.clone());
            daemon.jobs.insert(ticket, job);
        } else {
            daemon.fifo.push_back(job);
        }
    }

    fn serve(&mut self, daemon: usize) {
        match self.policy {
            Policy::Room => self.serve_room(daemon),
            Policy::Polling if !self.now_ms.is_multiple_of(40) => {}
            _ => self.serve_in_turn(daemon),
        }
    }

    fn serve_room(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let mut daemon = std::mem::take(&mut self.daemons[index]);
        let (jobs, mut holding) = (&mut daemon.jobs, daemon.holding);
        let elsewhere = daemon.elsewhere.clone();
        daemon.queue.walk(now_ms, |ticket, request, ahead| {
            let held = ahead.held_tokens.and_then(|_| self.freest(index));
            let must_yield = elsewhere.must_yield(request, &self.capacity(index), now_ms);
            if !must_yield && self.start(index, &jobs[&ticket], held) {
                holding.observe_start(request.need_tokens, request.work_ms());
                jobs.remove(&ticket);
                return Attempt::Started;
            }
            match self.judge(index, request, ahead, (&holding, &elsewhere)) {
                Verdict::Wait => Attempt::Waits,
                Verdict::TurnAway { retry_after_ms } => {
                    let job = jobs.remove(&ticket).expect("a job");
                    self.reject(job, retry_after_ms);
                    Attempt::Left
                }
            }
        });
        daemon.holding = holding;
        self.daemons[index] = daemon;
    }

    fn judge(
        &mut self,
        daemon: usize,
        request: &RoomRequest,
        ahead: Ahead,
        (holding, elsewhere): (&HoldingTime, &Elsewhere),
    ) -> Verdict {
        let capacity = self.capacity(daemon);
        let is_new = self.now_ms - request.arrived_ms <= STEP_MS;
        let own = ClassLoad { count: ahead.count, tokens: ahead.tokens };
        let own = if is_new { ahead.backlog } else { own };
        let ahead = own.plus(elsewhere.as_urgent(request, self.now_ms));
        let wait_ms = holding.wait_ms(&capacity, ahead, request.need_tokens);
        judge(request, wait_ms, is_new, self.now_ms, self.random.random())
    }

    fn capacity(&self, daemon: usize) -> Capacity {
        let views = self.views(daemon);
        let free = |view: &EngineView| usable().saturating_sub(view.reserved_tokens);
        Capacity {
            usable_tokens: usable() * views.len() as u64,
            reserved_tokens: views.iter().map(|view| view.reserved_tokens).sum(),
            largest_free_tokens: views.iter().map(free).max().unwrap_or(0),
            slots: u64::from(SLOTS) * views.len() as u64,
            runs: views.iter().map(|view| u64::from(view.runs)).sum(),
        }
    }

    fn serve_in_turn(&mut self, index: usize) {
        let mut waiting: Vec<_> = self.daemons[index].fifo.drain(..).collect();
        if self.policy == Policy::Strict {
            waiting.sort_by_key(|job| (job.request.priority, job.request.arrived_ms));
        }
        let mut is_blocked = false;
        for job in waiting {
            let request = &job.request;
            let is_polling = self.policy == Policy::Polling;
            let waited_ms = self.now_ms - request.arrived_ms;
            if (is_polling || !is_blocked) && self.start(index, &job, None) {
                continue;
            }
            if is_polling && waited_ms as f64 >= request.target_latency_ms as f64 * 0.6 {
                self.reject(job, 700);
            } else if self.now_ms >= request.timeout_at_ms {
                self.ended.push((job, End::GaveUp));
            } else {
                is_blocked = true;
                self.daemons[index].fifo.push_back(job);
            }
        }
    }

    fn start(&mut self, daemon: usize, job: &Job, held: Option<usize>) -> bool {
        let request = &job.request;
        let mut views = self.views(daemon);
        let noise: Vec<f64> = views.iter().map(|_| self.random.random::<f64>() * 0.03).collect();
        if let Some(held) = held {
            views[held].slots = 0;
        }
        let options = PlacementOptions::default();
        let chosen = choose_engine(&views, request.need_tokens, &options, |at| noise[at]);
        let Some(engine) = chosen else { return false };
        let levels = PriorityLevels::of([0, 1]);
        let engine_priority = match self.policy {
            Policy::Room => levels.engine_priority(request, false),
            _ => request.priority,
        };
        let (job, placed_ms) = (job.clone(), self.now_ms);
        self.runs.push(Run { engine, daemon, job, engine_priority, placed_ms, ends_ms: None });
        true
    }

    /// The engines as a daemon sees them: others' streams only once news of them has arrived.
    fn views(&self, daemon: usize) -> Vec<EngineView> {
        let engine = |is_up: &bool| EngineView {
            memory_tokens: MEMORY_TOKENS,
            slots: if *is_up { SLOTS } else { 0 },
            is_near: true,
            has_neighbour: true,
            ..EngineView::default()
        };
        let mut views: Vec<_> = self.engines.iter().map(engine).collect();
        let is_known =
            |run: &&Run| run.daemon == daemon || run.placed_ms + NEWS_AGE_MS <= self.now_ms;
        let is_of_others = |run: &&Run| run.daemon != daemon;
        let ended = self.untold_ends.iter().filter(is_of_others);
        for run in self.runs.iter().chain(ended).filter(is_known) {
            views[run.engine].reserved_tokens += run.job.request.need_tokens;
            views[run.engine].runs += 1;
        }
        views
    }

    fn freest(&self, daemon: usize) -> Option<usize> {
        let views = self.views(daemon);
        let up = views.iter().enumerate().filter(|(_, view)| view.slots > 0);
        up.min_by_key(|(_, view)| view.reserved_tokens).map(|(index, _)| index)
    }

    fn reject(&mut self, job: Job, retry_after_ms: u64) {
        let is_early = self.now_ms - job.request.arrived_ms <= 100;
        self.early_rejections.0 += usize::from(is_early);
        self.early_rejections.1 += 1;
        let left_ms = job.request.timeout_at_ms.saturating_sub(self.now_ms);
        if job.has_retried || retry_after_ms > left_ms / 3 {
            let wait_ms = self.now_ms - job.asked_ms;
            return self.ended.push((job, End::Rejected { wait_ms }));
        }
        let mut retry = Job { has_retried: true, ..job };
        retry.request.arrived_ms = self.now_ms + retry_after_ms;
        retry.daemon = self.random.random_range(0..self.daemons.len());
        self.arrivals.entry(retry.request.arrived_ms).or_default().push(retry);
    }
}

fn add_loads<'a>(sum: &mut WaitLoads, loads: impl Iterator<Item = (&'a WaitClass, &'a ClassLoad)>) {
    for (class, load) in loads {
        let sum = sum.entry(*class).or_default();
        *sum = sum.plus(*load);
    }
}

fn usable() -> u64 {
    (MEMORY_TOKENS as f64 * PlacementOptions::default().memory_share) as u64
}

/// Tokens in plus ten times the tokens out.
fn size(request: &RoomRequest) -> f64 {
    (request.prompt_tokens + 10 * request.output_tokens) as f64
}

/// The part of the worth of `jobs` that was lost. A stream that starts late is worth half of one on time.
pub(crate) fn loss(ended: &[(Job, End)], of: impl Fn(&RoomRequest) -> bool) -> f64 {
    let jobs: Vec<_> = ended.iter().filter(|(job, _)| of(&job.request)).collect();
    let mean = jobs.iter().map(|(job, _)| size(&job.request)).sum::<f64>() / jobs.len() as f64;
    let worth = |job: &Job| 0.3 + 0.7 * size(&job.request) / mean;
    let kept = |(job, end): &&(Job, End)| match end {
        End::Started { wait_ms } => {
            let first_ms = wait_ms + job.request.first_event_ms();
            let is_done =
                job.asked_ms + wait_ms + job.request.work_ms() <= job.request.timeout_at_ms;
            let on_time = if first_ms <= job.request.target_latency_ms { 1.0 } else { 0.5 };
            worth(job) * if is_done { on_time } else { 0.0 }
        }
        End::Rejected { .. } | End::GaveUp | End::Lost => 0.0,
    };
    let all: f64 = jobs.iter().map(|(job, _)| worth(job)).sum();
    1.0 - jobs.iter().map(kept).sum::<f64>() / all
}

/// A short stream of priority 0.
pub(crate) fn short(at_ms: u64) -> RoomRequest {
    request(at_ms, 0, (100, 40), (1_000, 6_000))
}

/// A long stream of priority 1.
pub(crate) fn long(at_ms: u64) -> RoomRequest {
    request(at_ms, 1, (2_000, 600), (2_000, 15_000))
}

pub(crate) fn request(
    at_ms: u64,
    priority: u8,
    (prompt_tokens, output_tokens): (u64, u64),
    (target_latency_ms, timeout_ms): (u64, u64),
) -> RoomRequest {
    RoomRequest {
        priority,
        organisation: Some("a".into()),
        arrived_ms: at_ms,
        target_latency_ms,
        timeout_at_ms: at_ms + timeout_ms,
        prompt_tokens,
        output_tokens,
        need_tokens: prompt_tokens + output_tokens * 115 / 100,
    }
}
