//! Admission control: which engine runs a generation, when it starts, and what is refused.
//!
//! The length of an answer is unknown when it starts, and an engine that runs out of memory
//! preempts a running generation. So [`Admission`] starts a generation only on an engine whose
//! expected peak memory use stays below a bound. Other requests wait at the daemon, ordered by
//! priority, then by their organisation's recent service, then by deadline. Requests that cannot
//! start in time are refused immediately.
//!
//! The use of an engine is the sum of what this daemon runs there, what its peers report to run
//! there, and what the engine's delayed report shows beyond both.
//!
//! Each daemon has one [`Admission`]. Its inputs are [`Admission::report`],
//! [`Admission::peer_use`], [`Admission::progress`] and [`Admission::finish`];
//! [`Admission::decide`] returns the actions to take.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use comfreymast_base::{DaemonName, Upstream};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission_engine::{Engine, PeerUse};
pub use crate::admission_engine::{EngineFacts, EngineReport};
pub use crate::admission_options::AdmissionOptions;
use crate::admission_profile::MemoryProfile;
use crate::admission_throughput::Throughput;
pub use crate::admission_work::{Decision, End, EngineUse, Ticket, Work};
use crate::fairness::FairShares;
use crate::lengths::{LengthCurve, Lengths};
use crate::prefix::PrefixHints;
use crate::queue::{WaitQueue, Waiting};

/// Increase of the reserve for each start that waited too long.
const RESERVE_STEP: f64 = 0.03;

#[derive(Clone, Debug)]
struct Running {
    work: Work,
    engine: Upstream,
    curve: Arc<LengthCurve>,
    /// The profile that is included in the use of its engine.
    profile: MemoryProfile,
    started_ms: u64,
    done_tokens: u32,
    charged_tokens: f64,
}

/// The admission control of one daemon.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    engines: BTreeMap<Upstream, Engine>,
    running: HashMap<Ticket, Running>,
    queue: WaitQueue,
    lengths: Lengths,
    shares: FairShares,
    prefixes: PrefixHints,
    throughput: Throughput,
    /// The share of memory that lower priorities currently leave free.
    reserve: f64,
    /// When each peer last reported, and how many requests waited there.
    peers_waiting: HashMap<DaemonName, (u64, u32)>,
    next_ticket: u64,
    profiles_at_ms: Option<u64>,
    /// True when a peer reported since the profiles were computed.
    peers_changed: bool,
    random: SmallRng,
}

impl Admission {
    /// Creates an admission without engines or work. `seed` initialises the random choices.
    #[must_use]
    pub fn new(options: AdmissionOptions, seed: u64) -> Self {
        Self {
            engines: BTreeMap::new(),
            running: HashMap::new(),
            queue: WaitQueue::default(),
            lengths: Lengths::new(options.lengths),
            shares: FairShares::new(options.fairness),
            prefixes: PrefixHints::new(options.prefix),
            throughput: Throughput::default(),
            reserve: 0.0,
            peers_waiting: HashMap::new(),
            next_ticket: 0,
            profiles_at_ms: None,
            peers_changed: false,
            random: SmallRng::seed_from_u64(seed),
            options,
        }
    }

    // ------------------------------------------------------------------------------------------
    // Inputs

    /// Replaces the set of engines. State of engines that remain is kept.
    pub fn set_engines(&mut self, engines: Vec<EngineFacts>) {
        let mut known = std::mem::take(&mut self.engines);
        for facts in engines {
            let name = facts.name.clone();
            let engine = known.remove(&name).unwrap_or_default().with_facts(facts);
            self.engines.insert(name, engine);
        }
        self.profiles_at_ms = None;
    }

    /// Records an engine's report of its memory use, which may be delayed.
    pub fn report(&mut self, engine: &Upstream, report: EngineReport) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.report = Some(report);
        }
    }

    /// Records a peer's report of what it runs on engines and how many of its requests wait.
    pub fn peer_use(&mut self, peer: &DaemonName, uses: &[EngineUse], waiting: u32, now_ms: u64) {
        self.peers_waiting.insert(peer.clone(), (now_ms, waiting));
        for engine in self.engines.values_mut() {
            engine.peers.remove(peer);
        }
        for EngineUse { engine, requests, profile } in uses {
            if let Some(engine) = self.engines.get_mut(engine) {
                let running = usize::try_from(*requests).unwrap_or(usize::MAX);
                let profile = profile.clone();
                engine
                    .peers
                    .insert(peer.clone(), PeerUse { reported_ms: now_ms, running, profile });
            }
        }
        self.peers_changed = true;
    }

    /// What this daemon runs on each engine, to be reported to its peers.
    #[must_use]
    pub fn own_use(&mut self, now_ms: u64) -> Vec<EngineUse> {
        self.refresh_profiles(now_ms);
        let used = self.engines.iter().filter(|(_, engine)| engine.own_running > 0);
        used.map(|(name, engine)| EngineUse {
            engine: name.clone(),
            requests: u32::try_from(engine.own_running).unwrap_or(u32::MAX),
            profile: engine.own.clone(),
        })
        .collect()
    }

    /// Records that an engine cached or evicted a prefix at `at_ms`, which may be well in the past.
    pub fn cache_event(&mut self, engine: &Upstream, prefix: u64, is_cached: bool, at_ms: u64) {
        if is_cached {
            self.prefixes.record_cached(prefix, engine, at_ms);
        } else {
            self.prefixes.record_evicted(prefix, engine, at_ms);
        }
    }

    /// Records the number of tokens that a running generation has so far.
    pub fn progress(&mut self, ticket: Ticket, done_tokens: u32) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.done_tokens = running.done_tokens.max(done_tokens);
        }
    }

    /// Records the end of a running generation.
    pub fn finish(&mut self, ticket: Ticket, end: End, now_ms: u64) {
        let Some(running) = self.running.remove(&ticket) else { return };
        let Running { work, .. } = &running;
        if let Some(engine) = self.engines.get_mut(&running.engine) {
            engine.end(&running.profile);
        }
        let generated_tokens = match end {
            End::Completed { tokens } => {
                self.lengths.observe(&work.organisation, &work.kind, tokens);
                let generated = tokens.saturating_sub(work.done_tokens);
                self.throughput.record_finish(generated, now_ms.saturating_sub(running.started_ms));
                generated
            }
            End::Aborted => running.done_tokens.saturating_sub(work.done_tokens),
        };
        let uncharged_tokens = f64::from(generated_tokens) - running.charged_tokens;
        self.shares.charge(&work.organisation, uncharged_tokens, now_ms);
    }

    // ------------------------------------------------------------------------------------------
    // Decisions

    /// Adds a request to the queue. [`Admission::decide`] starts or refuses it.
    pub fn enqueue(&mut self, work: Work, now_ms: u64) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let curve = self.lengths.curve(&work.organisation, &work.kind, work.max_tokens);
        let expected_tokens = curve.expected_remaining(f64::from(work.done_tokens));
        let profile = MemoryProfile::of_generation(&curve, work.prompt_tokens, work.done_tokens);
        let arrived_ms = now_ms;
        self.queue.push(Waiting { ticket, work, arrived_ms, expected_tokens, curve, profile });
        ticket
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Starts requests that fit and refuses those that cannot finish in time. Call it after each
    /// arrival and each end, and every 50 ms while requests wait.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Decision> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        self.refresh_profiles(now_ms);
        let equal_share_tokens = self.shares.equal_share_tokens(now_ms);
        let order = self.queue.order(&self.shares, self.options.fair, now_ms);
        let mut decisions = Vec::new();
        let mut without_room = 0;
        for ticket in order {
            let room = if without_room > self.options.lookahead {
                None
            } else {
                self.find_room(ticket, equal_share_tokens, now_ms)
            };
            if let Some(engine) = room {
                self.start(ticket, &engine, now_ms);
                decisions.push(Decision::Start { ticket, engine });
                continue;
            }
            without_room += 1;
            if let Some(retry_after_ms) = self.refusal(ticket, now_ms) {
                self.queue.remove(ticket);
                decisions.push(Decision::Refuse { ticket, retry_after_ms });
            }
        }
        decisions
    }

    fn find_room(
        &mut self,
        ticket: Ticket,
        equal_share_tokens: f64,
        now_ms: u64,
    ) -> Option<Upstream> {
        let waiting = self.queue.get(ticket)?;
        let Waiting { work, profile, .. } = waiting;
        let bound_share = self.bound_share(waiting, equal_share_tokens, now_ms);
        let options = &self.options;
        let is_waiting = |(reported_ms, waiting): &&(u64, u32)| {
            *waiting > 0 && now_ms.saturating_sub(*reported_ms) <= options.peer_use_ms
        };
        let competitors = self.peers_waiting.values().filter(is_waiting).count();
        let score = |(name, engine): (&Upstream, &Engine)| {
            let used_share = engine.share_with(profile, bound_share, competitors, options)?;
            let cached =
                work.prefix.map_or(0.0, |prefix| self.prefixes.likelihood(prefix, name, now_ms));
            let near_bonus = if engine.facts.is_near { options.near_bonus } else { 0.0 };
            let running = engine.running as f64 * options.running_cost;
            Some((used_share + running - cached * options.prefix_bonus - near_bonus, name.clone()))
        };
        let eligible = self.engines.iter().filter(|(name, engine)| may_run(work, name, engine));
        let mut with_room: Vec<_> = eligible.filter_map(score).collect();
        // Comparing a random subset keeps daemons with equal views from choosing the same engine.
        while with_room.len() > options.choices.max(1) {
            with_room.swap_remove(self.random.random_range(0..with_room.len()));
        }
        let best = with_room.into_iter().min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, name)| name)
    }

    /// The bound on the memory use of an engine that runs this work, as a share of its memory.
    fn bound_share(&self, waiting: &Waiting, equal_share_tokens: f64, now_ms: u64) -> f64 {
        let options = &self.options;
        let Waiting { work, expected_tokens, .. } = waiting;
        if work.done_tokens > 0 {
            return options.continued_share;
        }
        let is_highest = work.priority >= self.throughput.highest_priority(now_ms);
        let reserve_factor = (expected_tokens / options.reserve_tokens).min(1.0);
        let priority_reserve = if is_highest { 0.0 } else { self.reserve * reserve_factor };
        let served_tokens = self.shares.served_tokens(&work.organisation, now_ms);
        let excess_share = served_tokens / equal_share_tokens.max(1.0) - 1.0;
        let share_reserve = options.share_reserve * excess_share.clamp(0.0, 1.0);
        let share_reserve = if options.fair { share_reserve } else { 0.0 };
        options.memory_share - priority_reserve - share_reserve
    }

    fn start(&mut self, ticket: Ticket, engine_name: &Upstream, now_ms: u64) {
        let Some(waiting) = self.queue.remove(ticket) else { return };
        let Waiting { work, arrived_ms, expected_tokens, curve, profile, .. } = waiting;
        self.adapt_reserve(work.priority, now_ms.saturating_sub(arrived_ms), now_ms);
        if let Some(engine) = self.engines.get_mut(engine_name) {
            engine.start(&profile);
        }
        if let Some(prefix) = work.prefix {
            self.prefixes.record_cached(prefix, engine_name, now_ms);
        }
        self.shares.charge(&work.organisation, expected_tokens, now_ms);
        self.throughput.record_start(work.priority, expected_tokens, now_ms);
        let running = Running {
            engine: engine_name.clone(),
            curve,
            profile,
            started_ms: now_ms,
            done_tokens: work.done_tokens,
            charged_tokens: expected_tokens,
            work,
        };
        self.running.insert(ticket, running);
    }

    /// Grows the reserve while too much work of the highest priority waits too long.
    ///
    /// The steps balance when the share of such work that waits too long is `long_wait_share`.
    fn adapt_reserve(&mut self, priority: u8, waited_ms: u64, now_ms: u64) {
        let options = &self.options;
        if priority < self.throughput.highest_priority(now_ms) {
            return;
        }
        let step = if waited_ms > options.long_wait_ms {
            RESERVE_STEP
        } else {
            -RESERVE_STEP * options.long_wait_share / (1.0 - options.long_wait_share)
        };
        self.reserve = (self.reserve + step).clamp(0.0, options.priority_reserve);
    }

    /// The retry delay for a request that is to be refused; `None` when it keeps waiting.
    fn refusal(&self, ticket: Ticket, now_ms: u64) -> Option<u64> {
        const MIN_RETRY_MS: u64 = 1_000;
        const MAX_RETRY_MS: u64 = 120_000;
        let waiting = self.queue.get(ticket)?;
        let work = &waiting.work;
        if !self.engines.iter().any(|(name, engine)| may_run(work, name, engine)) {
            return Some(MIN_RETRY_MS);
        }
        let waited_ms = now_ms.saturating_sub(waiting.arrived_ms);
        // The work ahead is estimated only on arrival; later only the elapsed time counts.
        let ahead_ms = if waited_ms == 0 {
            let others_tokens = self.queue.tokens_before(work.priority) - waiting.expected_tokens;
            self.throughput.wait_ms(work.priority, others_tokens.max(0.0), now_ms)
        } else {
            0
        };
        let is_fresh = work.done_tokens == 0;
        let knows_length = is_fresh && waiting.curve.is_learned;
        let run_ms = if knows_length { self.throughput.run_ms(waiting.curve.median()) } else { 0 };
        let too_late = now_ms + ahead_ms + run_ms > work.deadline_ms;
        let too_long = is_fresh && waited_ms + ahead_ms > self.options.max_wait_ms;
        if !too_late && !too_long {
            return None;
        }
        let excess_ms = (waited_ms + ahead_ms).saturating_sub(self.options.max_wait_ms / 2);
        Some(excess_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS))
    }

    fn refresh_profiles(&mut self, now_ms: u64) {
        let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < self.options.profile_ms;
        if self.profiles_at_ms.is_some_and(is_fresh) {
            return;
        }
        self.profiles_at_ms = Some(now_ms);
        for engine in self.engines.values_mut() {
            engine.own = MemoryProfile::default();
            engine.own_running = 0;
        }
        for running in self.running.values_mut() {
            let Running { curve, work, done_tokens, .. } = running;
            running.profile = MemoryProfile::of_generation(curve, work.prompt_tokens, *done_tokens);
            if let Some(engine) = self.engines.get_mut(&running.engine) {
                engine.own.add(&running.profile);
                engine.own_running += 1;
            }
        }
        let peers_changed = std::mem::take(&mut self.peers_changed);
        for engine in self.engines.values_mut() {
            engine.refresh(&self.options, now_ms);
            if peers_changed {
                engine.reset_shared_room(self.random.random());
            }
        }
    }
}

fn may_run(work: &Work, name: &Upstream, engine: &Engine) -> bool {
    engine.accepts(&work.model) && !work.avoid.contains(name)
}
