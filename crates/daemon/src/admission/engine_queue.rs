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

/// The maximum number of engines of one model that one daemon uses and polls.
const MAX_ENGINES_PER_MODEL: usize = 12;
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// Prompt bytes per token, for estimating the number of tokens.
const BYTES_PER_TOKEN: usize = 4;

/// A request for an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineRequest<'a> {
    /// The organisation that sent the request.
    pub(crate) organisation: &'a Organisation,
    /// The kind of work.
    pub(crate) kind: &'a Kind,
    /// The message that starts the generation on the engine.
    pub(crate) start: &'a StartGeneration,
    /// When the answer has to be complete.
    pub(crate) deadline_ms: u64,
    /// Engines that were tried already and must not be used again.
    pub(crate) tried: &'a [SocketAddr],
}

/// The decision on a queued request.
#[derive(Debug)]
enum Answer {
    Start(Upstream),
    Refuse { retry_after_ms: u64 },
}

#[derive(Debug)]
struct TicketState {
    /// Receives the decision; `None` once it was sent.
    waiter: Option<Sender<Answer>>,
    done_tokens: Arc<AtomicU32>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    tickets: HashMap<Ticket, TicketState>,
    /// The directory that the engines of `admission` were taken from.
    directory: Arc<Directory>,
}

/// The requests of this daemon that are queued for an engine or running on one.
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
/// be completed in time. In either case it was not run.
pub(crate) async fn admit(
    daemon: &Arc<Daemon>,
    request: EngineRequest<'_>,
) -> Result<EnginePermit, CallError> {
    let directory = daemon.directory.load_full();
    let work = work_for(daemon, &directory, request).ok_or(no_upstream())?;
    let done_tokens = Arc::new(AtomicU32::new(work.done_tokens));
    let mut waiting = daemon.engine_queue.enqueue(daemon, directory, work, &done_tokens);
    let answer = waiting.answers.recv().await;
    let Ok(Answer::Start(engine)) = answer else {
        let Ok(Answer::Refuse { retry_after_ms }) = answer else { return Err(no_upstream()) };
        daemon.metrics.refused_overloaded.inc();
        return Err(CallError::Overloaded { retry_after_ms });
    };
    let engine = daemon.directory.load().upstreams.get(&engine).cloned().ok_or(no_upstream())?;
    // From here on the permit releases the ticket instead of `waiting`.
    waiting.is_admitted = true;
    Ok(EnginePermit::new(daemon, waiting.ticket, engine, done_tokens))
}

fn no_upstream() -> CallError {
    CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS }
}

/// Describes the request for the admission decision; `None` when there is no engine for it.
fn work_for(daemon: &Daemon, directory: &Directory, request: EngineRequest<'_>) -> Option<Work> {
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
    // Unsuited engines are avoided only if others are left.
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

/// Hash of the first paragraph; prompts that begin with the same one share a prefix.
fn prefix_hash(prompt: &str) -> Option<u64> {
    let (shared, _) = prompt.split_once("\n\n")?;
    Some(xxhash_rust::xxh3::xxh3_64(shared.as_bytes()))
}

/// A queued request. Dropping it leaves the queue, or frees the engine that was assigned in the
/// meantime.
struct Waiting<'a> {
    daemon: &'a Arc<Daemon>,
    ticket: Ticket,
    answers: Receiver<Answer>,
    is_admitted: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_admitted {
            self.daemon.engine_queue.withdraw(self.ticket, self.daemon.clock.now_ms());
        }
    }
}

impl EngineQueue {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue<'a>(
        &self,
        daemon: &'a Arc<Daemon>,
        directory: Arc<Directory>,
        work: Work,
        done_tokens: &Arc<AtomicU32>,
    ) -> Waiting<'a> {
        let now_ms = daemon.clock.now_ms();
        let (waiter, answers) = async_channel::bounded(1);
        let mut state = self.state();
        state.update_engines(daemon, directory);
        let ticket = state.admission.enqueue(work, now_ms);
        let entry = TicketState { waiter: Some(waiter), done_tokens: done_tokens.clone() };
        state.tickets.insert(ticket, entry);
        state.decide(now_ms);
        if state.tickets.get(&ticket).is_some_and(|entry| entry.waiter.is_some()) {
            daemon.metrics.requests_held.inc();
        }
        Waiting { daemon, ticket, answers, is_admitted: false }
    }

    fn withdraw(&self, ticket: Ticket, now_ms: u64) {
        let mut state = self.state();
        state.admission.withdraw(ticket);
        state.end(ticket, End::Aborted, now_ms);
    }

    /// Ends a generation; the memory that it frees may allow another one to start.
    pub(super) fn finish(&self, ticket: Ticket, end: End, now_ms: u64) {
        self.state().end(ticket, end, now_ms);
    }

    /// Records the load that an engine reported.
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

    /// Starts the requests for which there is room and refuses those that would miss their deadline
    /// or have waited too long; returns the number still queued.
    pub(super) fn process_queue(&self, daemon: &Daemon) -> usize {
        let mut state = self.state();
        state.update_engines(daemon, daemon.directory.load_full());
        state.decide(daemon.clock.now_ms());
        state.admission.waiting()
    }

    /// This daemon's use of engines and its number of queued requests, for peers.
    pub(super) fn own_use(&self, now_ms: u64) -> (Vec<EngineUse>, usize) {
        let mut state = self.state();
        state.note_progress();
        (state.admission.own_use(now_ms), state.admission.waiting())
    }

    /// Records the engine use that a peer reported.
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
    /// Passes the engines to the admission if the directory has changed.
    fn update_engines(&mut self, daemon: &Daemon, directory: Arc<Directory>) {
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
                    events::REQUEST_REFUSED.log(format_args!("retry after {retry_after_ms} ms"));
                    (ticket, Answer::Refuse { retry_after_ms })
                }
            };
            let waiter = self.tickets.get_mut(&ticket).and_then(|entry| entry.waiter.take());
            if let Some(waiter) = waiter {
                let _ = waiter.try_send(answer);
            }
        }
    }

    fn note_progress(&mut self) {
        for (ticket, entry) in &self.tickets {
            self.admission.progress(*ticket, entry.done_tokens.load(Ordering::Acquire));
        }
    }

    fn end(&mut self, ticket: Ticket, end: End, now_ms: u64) {
        if let Some(entry) = self.tickets.remove(&ticket) {
            self.admission.progress(ticket, entry.done_tokens.load(Ordering::Acquire));
        }
        self.admission.finish(ticket, end, now_ms);
        self.decide(now_ms);
    }
}

/// The engines that this daemon uses: all engines of a model, or this daemon's subset of
/// [`MAX_ENGINES_PER_MODEL`] if there are more, and every leaving engine.
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
