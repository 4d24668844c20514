use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_base::{DaemonName, Kind, Model, Organisation, Upstream};
use comfreymast_decide::admission::{
    Admission, AdmissionOptions, Decision, End, EngineFacts, EngineReport, EngineUse, Ticket, Work,
};
use comfreymast_decide::routing::subset;
use comfreymast_wire::engine::{Load, StartGeneration};

use super::EnginePermit;
use crate::callers::CallError;
use crate::daemon::Daemon;
use crate::directory::{Directory, UpstreamState};
use crate::events;
use crate::quarantine::fingerprint;

/// The most engines of one model that one daemon uses and watches.
const MAX_ENGINES_PER_MODEL: usize = 12;
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// Bytes of a prompt that stand for one token.
const BYTES_PER_TOKEN: usize = 4;

/// What is asked of the engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineRequest<'a> {
    /// Who asks.
    pub(crate) organisation: &'a Organisation,
    /// The kind of work.
    pub(crate) kind: &'a Kind,
    /// The order for the engine.
    pub(crate) start: &'a StartGeneration,
    /// When the whole answer must be there.
    pub(crate) deadline_ms: u64,
    /// Engines that must not have it.
    pub(crate) tried: &'a [SocketAddr],
}

/// What was decided for a waiting request.
#[derive(Debug)]
enum Answer {
    Start(Upstream),
    Refuse { retry_after_ms: u64 },
}

#[derive(Debug)]
struct Known {
    /// Where to tell a request that still waits.
    waiter: Option<Sender<Answer>>,
    done_tokens: Arc<AtomicU32>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    tickets: HashMap<Ticket, Known>,
    /// The directory that the admission was told of.
    directory: Arc<Directory>,
}

/// The requests of this daemon that wait for an engine or run on one.
#[derive(Debug)]
pub(crate) struct EngineQueue {
    state: Mutex<State>,
}

impl Default for EngineQueue {
    fn default() -> Self {
        let state = State {
            admission: Admission::new(AdmissionOptions::default(), rand::random()),
            tickets: HashMap::new(),
            directory: Arc::default(),
        };
        Self { state: Mutex::new(state) }
    }
}

/// Waits until an engine has room for a generation.
///
/// # Errors
///
/// [`CallError::NoUpstream`] when no engine may run it, [`CallError::Overloaded`] when it cannot
/// be done in time. It was not run then.
pub(crate) async fn admit(
    daemon: &Arc<Daemon>,
    request: EngineRequest<'_>,
) -> Result<EnginePermit, CallError> {
    let directory = daemon.directory.load_full();
    let work = work(daemon, &directory, request).ok_or(no_upstream())?;
    let done_tokens = Arc::new(AtomicU32::new(work.done_tokens));
    let mut waiting = daemon.engine_queue.arrive(daemon, directory, work, &done_tokens);
    let answer = waiting.answers.recv().await;
    let Ok(Answer::Start(engine)) = answer else {
        let Ok(Answer::Refuse { retry_after_ms }) = answer else { return Err(no_upstream()) };
        daemon.metrics.refused_overloaded.inc();
        return Err(CallError::Overloaded { retry_after_ms });
    };
    let engine = daemon.directory.load().upstreams.get(&engine).cloned().ok_or(no_upstream())?;
    // From here on the permit frees what the request holds.
    waiting.is_taken = true;
    Ok(EnginePermit::new(daemon, waiting.ticket, engine, done_tokens))
}

fn no_upstream() -> CallError {
    CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS }
}

/// The request in the terms of the decision; `None` when there is no engine for it.
fn work(daemon: &Daemon, directory: &Directory, request: EngineRequest<'_>) -> Option<Work> {
    let EngineRequest { organisation, kind, start, deadline_ms, tried } = request;
    let now_ms = daemon.clock.now_ms();
    let fingerprint = || fingerprint(&start.model, &start.prompt);
    let suspected = daemon.quarantine.engines_to_avoid(fingerprint, now_ms);
    let is_tried = |engine: &&Arc<UpstreamState>| tried.contains(&engine.addr);
    let is_unsuited = |engine: &&Arc<UpstreamState>| {
        engine.is_avoided(now_ms) || suspected.contains(&engine.addr)
    };
    let (mut avoid, open): (Vec<_>, Vec<_>) = directory.engines(&start.model).partition(is_tried);
    if open.is_empty() {
        return None;
    }
    // An unsuited engine is better than none.
    let (unsuited, suited): (Vec<_>, Vec<_>) = open.into_iter().partition(is_unsuited);
    if !suited.is_empty() {
        avoid.extend(unsuited);
    }
    let prompt_tokens = start.prompt.len().div_ceil(BYTES_PER_TOKEN);
    Some(Work {
        organisation: organisation.clone(),
        kind: kind.clone(),
        model: start.model.clone(),
        priority: start.priority,
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        prefix: prefix_hash(&start.prompt),
        done_tokens: u32::try_from(start.resume.len()).unwrap_or(u32::MAX),
        max_tokens: start.max_tokens,
        deadline_ms,
        avoid: avoid.into_iter().map(|engine| engine.name.clone()).collect(),
    })
}

/// Prompts that begin with the same paragraph share a prefix.
fn prefix_hash(prompt: &str) -> Option<u64> {
    let (shared, _) = prompt.split_once("\n\n")?;
    Some(xxhash_rust::xxh3::xxh3_64(shared.as_bytes()))
}

/// A request that waits. Dropping it gives up its place, or what it was given meanwhile.
struct Waiting<'a> {
    daemon: &'a Arc<Daemon>,
    ticket: Ticket,
    answers: Receiver<Answer>,
    is_taken: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_taken {
            self.daemon.engine_queue.withdraw(self.ticket, self.daemon.clock.now_ms());
        }
    }
}

impl EngineQueue {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn arrive<'a>(
        &self,
        daemon: &'a Arc<Daemon>,
        directory: Arc<Directory>,
        work: Work,
        done_tokens: &Arc<AtomicU32>,
    ) -> Waiting<'a> {
        let now_ms = daemon.clock.now_ms();
        let (waiter, answers) = async_channel::bounded(1);
        let mut state = self.state();
        state.follow(daemon, directory);
        let ticket = state.admission.enqueue(work, now_ms);
        let known = Known { waiter: Some(waiter), done_tokens: done_tokens.clone() };
        state.tickets.insert(ticket, known);
        state.decide(now_ms);
        if state.tickets.get(&ticket).is_some_and(|known| known.waiter.is_some()) {
            daemon.metrics.requests_held.inc();
        }
        Waiting { daemon, ticket, answers, is_taken: false }
    }

    fn withdraw(&self, ticket: Ticket, now_ms: u64) {
        let mut state = self.state();
        state.admission.withdraw(ticket);
        state.end(ticket, End::Aborted, now_ms);
    }

    /// A generation has ended; what it held may let another start.
    pub(super) fn finish(&self, ticket: Ticket, end: End, now_ms: u64) {
        self.state().end(ticket, end, now_ms);
    }

    /// An engine said how full it was.
    pub(crate) fn report(&self, engine: &Upstream, load: &Load) {
        if load.memory_tokens == 0 {
            return;
        }
        let report = EngineReport {
            used_tokens: load.memory_used_tokens,
            memory_tokens: load.memory_tokens,
            waiting: load.waiting,
        };
        self.state().admission.report(engine, report);
    }

    /// Starts what has room now and refuses what waited too long; returns how many still wait.
    pub(super) fn pump(&self, daemon: &Daemon) -> usize {
        let mut state = self.state();
        state.follow(daemon, daemon.directory.load_full());
        state.decide(daemon.clock.now_ms());
        state.admission.waiting()
    }

    /// What runs here and how many requests wait, for peers.
    pub(super) fn own_use(&self, now_ms: u64) -> (Vec<EngineUse>, usize) {
        let mut state = self.state();
        state.note_progress();
        (state.admission.own_use(now_ms), state.admission.waiting())
    }

    /// What a peer said it runs.
    pub(super) fn peer_use(
        &self,
        peer: &DaemonName,
        uses: &[EngineUse],
        waiting: u32,
        now_ms: u64,
    ) {
        self.state().admission.peer_use(peer, uses, waiting, now_ms);
    }
}

impl State {
    /// Tells the admission of a new directory.
    fn follow(&mut self, daemon: &Daemon, directory: Arc<Directory>) {
        if Arc::ptr_eq(&self.directory, &directory) {
            return;
        }
        let facts = |engine: &Arc<UpstreamState>| EngineFacts {
            name: engine.name.clone(),
            models: engine.models.clone(),
            is_near: engine.data_centre == daemon.settings.data_centre,
            leaving: engine.leaving,
        };
        let engines = engines_used(&directory, &daemon.settings.name);
        self.admission.set_engines(engines.iter().map(facts).collect());
        self.directory = directory;
    }

    fn decide(&mut self, now_ms: u64) {
        self.note_progress();
        for decision in self.admission.decide(now_ms) {
            let (ticket, answer) = match decision {
                Decision::Start { ticket, engine } => (ticket, Answer::Start(engine)),
                Decision::Refuse { ticket, retry_after_ms } => {
                    events::REQUEST_REFUSED.log(format_args!("come back in {retry_after_ms} ms"));
                    (ticket, Answer::Refuse { retry_after_ms })
                }
            };
            let waiter = self.tickets.get_mut(&ticket).and_then(|known| known.waiter.take());
            if let Some(waiter) = waiter {
                let _ = waiter.try_send(answer);
            }
        }
    }

    fn note_progress(&mut self) {
        for (ticket, known) in &self.tickets {
            self.admission.progress(*ticket, known.done_tokens.load(Ordering::Acquire));
        }
    }

    fn end(&mut self, ticket: Ticket, end: End, now_ms: u64) {
        if let Some(known) = self.tickets.remove(&ticket) {
            self.admission.progress(ticket, known.done_tokens.load(Ordering::Acquire));
        }
        self.admission.finish(ticket, end, now_ms);
        self.decide(now_ms);
    }
}

/// The engines that this daemon uses: all of a model, or its subset of many.
pub(crate) fn engines_used(directory: &Directory, daemon: &DaemonName) -> Vec<Arc<UpstreamState>> {
    let engines = directory.upstreams.values().filter(|up| up.service.is_none());
    let (leaving, open): (Vec<_>, Vec<_>) = engines.cloned().partition(|engine| engine.leaving);
    let mut by_model: BTreeMap<&Model, Vec<Upstream>> = BTreeMap::new();
    for engine in &open {
        for model in &engine.models {
            by_model.entry(model).or_default().push(engine.name.clone());
        }
    }
    let used: BTreeSet<_> = by_model
        .into_values()
        .flat_map(|names| subset(daemon, &names, MAX_ENGINES_PER_MODEL))
        .collect();
    let is_used = |engine: &Arc<UpstreamState>| used.contains(&engine.name);
    open.iter().filter(|engine| is_used(engine)).cloned().chain(leaving).collect()
}
