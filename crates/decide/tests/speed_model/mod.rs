//! Daemons and engines in virtual time, in steps of a millisecond.

use std::collections::VecDeque;

use comfreymast_decide::placement::{EngineView, PlacementOptions, choose_engine};
use comfreymast_decide::speed::{
    SpeedEstimate, SpeedReport, UsualEngine, combine, relative_slowness,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 24;
const MEMORY_TOKENS: u64 = 30_000;
const CHUNK_TOKENS: u64 = 56;
const STRIDE: u64 = 4;
const SPAN_MS: u64 = 80;
const NOISE: f64 = 0.03;
/// Requests that arrive earlier do not count.
const WARM_UP_MS: u64 = 2_000;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    Speed,
    Before,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// Two engines drawn by their estimated speed; the one that `Speed` prefers.
    TwoByWeight,
    /// The least expected completion from the true and current state.
    Oracle,
}

/// The fleet and its load.
#[derive(Clone)]
pub(crate) struct Setup {
    pub(crate) daemons: usize,
    /// How slow engine `.0` is at time `.1`.
    pub(crate) slowness: fn(usize, u64) -> f64,
    pub(crate) engines: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) span_ms: u64,
    /// Age of what daemons know of each other, besides the heartbeat interval.
    pub(crate) lag_ms: u64,
    pub(crate) interval_ms: u64,
    pub(crate) seed: u64,
}

/// The times of all requests, and what the daemons knew.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) done_ms: Vec<u64>,
    pub(crate) first_ms: Vec<u64>,
    /// The relative slowness that daemons assumed, at each heartbeat.
    pub(crate) assumed: Vec<(u64, Vec<f64>)>,
    /// When each request was sent, and to which engine.
    pub(crate) starts: Vec<(u64, usize)>,
    pub(crate) unfinished: usize,
}

pub(crate) fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

pub(crate) fn p99(values: &[u64]) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0)
}

struct Request {
    arrived_ms: u64,
    daemon: usize,
    prompt: u64,
    output: u64,
    generated: u64,
    first_ms: u64,
    span_since_ms: u64,
    span_usual_ms: f64,
}

impl Request {
    fn need(&self) -> u64 {
        self.prompt + self.output * 115 / 100
    }
}

/// The load of one daemon, or of all, on one engine.
#[derive(Clone, Copy, Default)]
struct Load {
    runs: i64,
    reserved: i64,
    prefill: i64,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<usize>,
    /// Prompts that are read, with what is left of them.
    reading: VecDeque<(usize, u64)>,
    running: Vec<usize>,
    left_ms: f64,
    is_step: bool,
}

struct Model<'a> {
    setup: &'a Setup,
    policy: Policy,
    random: SmallRng,
    requests: Vec<Request>,
    engines: Vec<Engine>,
    own: Vec<Vec<Load>>,
    told: VecDeque<(u64, Vec<Vec<Load>>, Vec<f64>)>,
    known: (Vec<Vec<Load>>, Vec<Load>, Vec<f64>),
    estimates: Vec<Vec<SpeedEstimate>>,
    waiting: VecDeque<usize>,
    turn: usize,
    outcome: Outcome,
}

pub(crate) fn simulate(setup: &Setup, policy: Policy) -> Outcome {
    let loads = vec![vec![Load::default(); setup.engines]; setup.daemons];
    let totals = vec![Load::default(); setup.engines];
    let mut model = Model {
        setup,
        policy,
        random: SmallRng::seed_from_u64(setup.seed),
        requests: Vec::new(),
        engines: (0..setup.engines).map(|_| Engine::default()).collect(),
        own: loads.clone(),
        told: VecDeque::new(),
        known: (loads, totals, vec![1.0; setup.engines]),
        estimates: vec![vec![SpeedEstimate::default(); setup.engines]; setup.daemons],
        waiting: VecDeque::new(),
        turn: 0,
        outcome: Outcome::default(),
    };
    // The same arrivals for each policy.
    let mut arrivals = SmallRng::seed_from_u64(setup.seed + 1);
    let mut next_ms = 0.0;
    for now_ms in 0..setup.span_ms * 2 {
        while next_ms <= now_ms as f64 && now_ms < setup.span_ms {
            next_ms -= (1.0 - arrivals.random::<f64>()).ln() / setup.requests_per_s * 1_000.0;
            model.arrive(&mut arrivals, now_ms);
        }
        if now_ms % setup.interval_ms == 0 {
            model.exchange(now_ms);
        }
        model.place_waiting(now_ms);
        for engine in 0..setup.engines {
            model.advance(engine, now_ms);
        }
    }
    let ended = model.requests.iter().filter(|request| request.generated >= request.output);
    model.outcome.unfinished = model.requests.len() - ended.count();
    model.outcome
}

impl Model<'_> {
    fn arrive(&mut self, arrivals: &mut SmallRng, now_ms: u64) {
        let is_long = arrivals.random::<f64>() < 0.2;
        let (prompt, output) = if is_long {
            (arrivals.random_range(1_000..2_500), arrivals.random_range(300..600))
        } else {
            (arrivals.random_range(200..600), arrivals.random_range(20..60))
        };
        let daemon = arrivals.random_range(0..self.setup.daemons);
        self.waiting.push_back(self.requests.len());
        self.requests.push(Request {
            arrived_ms: now_ms,
            daemon,
            prompt,
            output,
            generated: 0,
            first_ms: 0,
            span_since_ms: 0,
            span_usual_ms: 0.0,
        });
    }

    /// Daemons tell each other what they run and have observed.
    fn exchange(&mut self, now_ms: u64) {
        let slowness = (0..self.setup.engines).map(|engine| {
            let reports = self.estimates.iter().filter_map(|own| own[engine].report());
            let reports: Vec<SpeedReport> = reports.collect();
            combine(&reports, now_ms).map(|report| report.aged(now_ms))
        });
        let relative = relative_slowness(&slowness.collect::<Vec<_>>());
        self.told.push_back((now_ms, self.own.clone(), relative));
        while self.told.front().is_some_and(|told| told.0 + self.setup.lag_ms <= now_ms) {
            let (_, loads, relative) = self.told.pop_front().expect("one");
            let mut totals = vec![Load::default(); self.setup.engines];
            for load in &loads {
                for (total, own) in totals.iter_mut().zip(load) {
                    total.runs += own.runs;
                    total.reserved += own.reserved;
                    total.prefill += own.prefill;
                }
            }
            self.known = (loads, totals, relative);
        }
        self.outcome.assumed.push((now_ms, self.known.2.clone()));
    }

    fn place_waiting(&mut self, now_ms: u64) {
        for _ in 0..self.waiting.len() {
            let Some(index) = self.waiting.pop_front() else { return };
            let Some(engine) = self.choose(index, now_ms) else {
                self.waiting.push_back(index);
                continue;
            };
            let request = &self.requests[index];
            let own = &mut self.own[request.daemon][engine];
            own.runs += 1;
            own.reserved += request.need() as i64;
            own.prefill += request.prompt as i64;
            self.engines[engine].queue.push_back(index);
            self.outcome.starts.push((now_ms, engine));
        }
    }

    fn views(&self, daemon: usize) -> Vec<EngineView> {
        let (loads, totals, relative) = &self.known;
        let views = (0..self.setup.engines).map(|engine| {
            let (own, then) = (self.own[daemon][engine], loads[daemon][engine]);
            let total = totals[engine];
            let sum = |own: i64, then: i64, total: i64| (total - then + own).max(0) as u64;
            let speed = match self.policy {
                Policy::Speed | Policy::TwoByWeight => 1.0 / relative[engine],
                _ => 1.0,
            };
            EngineView {
                memory_tokens: MEMORY_TOKENS,
                reserved_tokens: sum(own.reserved, then.reserved, total.reserved),
                prefill_tokens: sum(own.prefill, then.prefill, total.prefill),
                runs: sum(own.runs, then.runs, total.runs) as u32,
                slots: SLOTS,
                is_near: true,
                has_neighbour: true,
                speed,
                ..EngineView::default()
            }
        });
        views.collect()
    }

    fn choose(&mut self, index: usize, now_ms: u64) -> Option<usize> {
        let need = self.requests[index].need();
        let views = self.views(self.requests[index].daemon);
        let options = PlacementOptions::default();
        let noises: Vec<f64> = views.iter().map(|_| self.random.random::<f64>() * NOISE).collect();
        let mut candidates: Vec<usize> =
            (0..views.len()).filter(|&engine| views[engine].runs < SLOTS).collect();
        match self.policy {
            Policy::Speed | Policy::Before => {
                choose_engine(&views, need, &options, |engine| noises[engine])
            }
            Policy::RoundRobin => {
                self.turn += 1;
                (!candidates.is_empty()).then(|| candidates[self.turn % candidates.len()])
            }
            Policy::LeastOutstanding => {
                let runs = |engine: &usize| views[*engine].runs as f64 + noises[*engine];
                candidates.into_iter().min_by(|left, right| runs(left).total_cmp(&runs(right)))
            }
            Policy::TwoChoices | Policy::TwoByWeight => {
                let drawn =
                    [self.draw(&mut candidates, &views)?, self.draw(&mut candidates, &views)?];
                if self.policy == Policy::TwoByWeight {
                    let two = drawn.map(|engine| views[engine]);
                    return choose_engine(&two, need, &options, |_| 0.0)
                        .map(|chosen| drawn[chosen]);
                }
                drawn.into_iter().min_by_key(|&engine| views[engine].runs)
            }
            Policy::Oracle => {
                let cost = |engine: &usize| self.completion_ms(*engine, index, now_ms);
                let free = (0..views.len()).filter(|&engine| self.active(engine) < SLOTS as usize);
                free.min_by(|left, right| cost(left).total_cmp(&cost(right)))
            }
        }
    }

    /// Draws one engine, by speed; puts it aside unless it is the last.
    fn draw(&mut self, candidates: &mut Vec<usize>, views: &[EngineView]) -> Option<usize> {
        let total: f64 = candidates.iter().map(|&engine| views[engine].speed).sum();
        let mut left = self.random.random::<f64>() * total;
        let position = candidates.iter().position(|&engine| {
            left -= views[engine].speed;
            left <= 0.0
        });
        let position = position.or(candidates.len().checked_sub(1))?;
        Some(if candidates.len() > 1 { candidates.remove(position) } else { candidates[position] })
    }

    fn active(&self, engine: usize) -> usize {
        let engine = &self.engines[engine];
        engine.queue.len() + engine.reading.len() + engine.running.len()
    }

    fn completion_ms(&self, engine: usize, index: usize, now_ms: u64) -> f64 {
        let request = &self.requests[index];
        let state = &self.engines[engine];
        let queued: u64 = state.queue.iter().map(|&queued| self.requests[queued].prompt).sum();
        let read: u64 = state.reading.iter().map(|(_, left)| left).sum();
        let runs = self.active(engine) as u32 + 1;
        let usual = UsualEngine::default();
        let prompts = queued + read + request.prompt;
        let usual_ms = usual.first_event_ms(request.output as u32, runs, prompts);
        usual_ms * (self.setup.slowness)(engine, now_ms)
    }

    /// Lets an engine work for a millisecond.
    fn advance(&mut self, engine: usize, now_ms: u64) {
        let mut budget_ms = 1.0 / (self.setup.slowness)(engine, now_ms);
        loop {
            let state = &mut self.engines[engine];
            while state.reading.len() + state.running.len() < SLOTS as usize {
                let Some(index) = state.queue.pop_front() else { break };
                state.reading.push_back((index, self.requests[index].prompt));
            }
            if state.left_ms <= 0.0 {
                let usual = UsualEngine::default();
                let runs = state.running.len();
                let can_read = !state.reading.is_empty();
                if runs == 0 && !can_read {
                    return;
                }
                state.is_step = runs > 0 && (!state.is_step || !can_read);
                state.left_ms = if state.is_step {
                    usual.step_ms + usual.run_ms * runs as f64
                } else {
                    CHUNK_TOKENS as f64 / usual.read_tokens_per_ms
                };
            }
            let used_ms = budget_ms.min(state.left_ms);
            state.left_ms -= used_ms;
            budget_ms -= used_ms;
            if state.left_ms <= 0.0 {
                if state.is_step { self.step(engine, now_ms) } else { self.read(engine) }
            }
            if budget_ms <= 0.0 {
                return;
            }
        }
    }

    fn read(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some((index, left)) = state.reading.front_mut() else { return };
        *left = left.saturating_sub(CHUNK_TOKENS);
        if *left == 0 {
            let index = *index;
            state.reading.pop_front();
            state.running.push(index);
        }
    }

    fn step(&mut self, engine: usize, now_ms: u64) {
        for index in std::mem::take(&mut self.engines[engine].running) {
            let request = &mut self.requests[index];
            request.generated += 1;
            let is_done = request.generated >= request.output;
            if request.generated.is_multiple_of(STRIDE) || is_done {
                self.event(engine, index, now_ms);
            }
            if !is_done {
                self.engines[engine].running.push(index);
                continue;
            }
            let request = &self.requests[index];
            let own = &mut self.own[request.daemon][engine];
            own.runs -= 1;
            own.reserved -= request.need() as i64;
            if request.arrived_ms >= WARM_UP_MS {
                let took_ms = now_ms - request.arrived_ms;
                self.outcome.done_ms.push(took_ms);
            }
        }
    }

    /// An event reaches the daemon, which observes the engine as a relay does.
    fn event(&mut self, engine: usize, index: usize, now_ms: u64) {
        let daemon = self.requests[index].daemon;
        let view = self.views(daemon)[engine];
        let request = &mut self.requests[index];
        if request.first_ms == 0 {
            request.first_ms = now_ms;
            request.span_since_ms = now_ms;
            self.own[daemon][engine].prefill -= request.prompt as i64;
            if request.arrived_ms >= WARM_UP_MS {
                self.outcome.first_ms.push(now_ms - request.arrived_ms);
            }
            return;
        }
        let usual = UsualEngine::default();
        request.span_usual_ms += usual.event_ms(STRIDE as u32, view.runs, view.prefill_tokens);
        let took_ms = now_ms - request.span_since_ms;
        if took_ms >= SPAN_MS {
            let estimate = &mut self.estimates[daemon][engine];
            estimate.record(took_ms as f64, request.span_usual_ms, now_ms);
            request.span_since_ms = now_ms;
            request.span_usual_ms = 0.0;
        }
    }
}
