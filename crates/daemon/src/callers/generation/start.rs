//! Ways to get a generation: a fresh one, or one that a reader comes back to.

use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{GenerationId, Kind, Model, Organisation};
use comfreymast_wire::engine::StartGeneration;

use super::recovery::Trouble;
use super::{Generation, NO_UPSTREAM_RETRY_MS, attempt_failed};
use crate::admission::{self, EngineRequest};
use crate::callers::ask::Ask;
use crate::callers::call_error::CallError;
use crate::callers::cursor::Cursor;
use crate::callers::digest;
use crate::claims::Permit;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::upstream::fence;
use crate::upstream::{AttachError, EngineStream, StartError};

/// Engines that may refuse a request before its caller is refused.
const MAX_REFUSALS: u32 = 3;

impl Generation {
    /// Starts a generation on the first engine that takes it.
    pub(crate) async fn begin(
        daemon: &Arc<Daemon>,
        organisation: &Organisation,
        ask: &Ask,
        mut claim: Permit,
    ) -> Result<Self, CallError> {
        let budget = daemon.retry_budgets.of(organisation, daemon.clock.now_ms());
        budget.record_request(daemon.clock.now_ms());
        let start = ask.start(GenerationId::random(), fence::first());
        let refused = CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS };
        let mut tried = Vec::new();
        let mut refusals = 0;
        loop {
            let request = EngineRequest {
                organisation,
                kind: &ask.work.kind,
                start: &start,
                deadline_ms: ask.deadline_ms(daemon),
                tried: &tried,
            };
            let permit = admission::admit(daemon, request).await?;
            let engine = permit.engine().clone();
            let may_retry = || !ask.asked.is_retry && budget.try_retry(daemon.clock.now_ms());
            if refusals > 0 && (refusals == MAX_REFUSALS || !may_retry()) {
                return Err(refused);
            }
            tried.push(engine.addr);
            claim.dispatching();
            let stream = match EngineStream::start(daemon, &engine, &start).await {
                Ok(stream) => Some(stream),
                Err(error @ StartError::NotRun { .. }) => {
                    claim.refused();
                    attempt_failed(daemon, &engine, &error);
                    // Knocking at an engine that is not there is no load on anybody.
                    refusals += u32::from(!error.is_unsent());
                    continue;
                }
                Err(error @ StartError::Unknown { .. }) => {
                    attempt_failed(daemon, &engine, &error);
                    // The engine may have it: the first call for a token attaches.
                    None
                }
            };
            let mut generation =
                Self::new(daemon, organisation, &ask.work.kind, start, engine, stream);
            generation.tried = tried;
            generation.claim = claim;
            generation.permit = Some(permit);
            generation.place();
            generation.allow(ask);
            generation.cancel_on_drop = !ask.stream;
            return Ok(generation);
        }
    }

    /// Attaches to the generation that `cursor` names, after the tokens its reader has.
    ///
    /// Where the engine has lost it, `ask` with the tokens read lets another engine go on.
    pub(crate) async fn reattach(
        daemon: &Arc<Daemon>,
        cursor: &Cursor,
        ask: Option<&Ask>,
    ) -> Result<Self, CallError> {
        if ask.is_some_and(|ask| ask.digest() != cursor.request_digest) {
            return Err(CallError::CursorMismatch);
        }
        let fence = fence::next_reader(cursor.fence, daemon.clock.unix_ms());
        let start = match ask {
            Some(ask) => ask.start(cursor.generation, fence),
            None => start_unknown(cursor.generation, fence, cursor.model.clone()),
        };
        let known = daemon.directory.load().upstreams.get(&cursor.upstream).cloned();
        if let Some(engine) = &known {
            match attach(daemon, engine, cursor.generation, fence).await {
                Ok(stream) => {
                    let engine = engine.clone();
                    let Cursor { organisation, kind, .. } = cursor;
                    let mut generation =
                        Self::new(daemon, organisation, kind, start, engine, Some(stream));
                    generation.request_digest = cursor.request_digest;
                    generation.catch_up(cursor).await?;
                    ask.into_iter().for_each(|ask| generation.allow(ask));
                    return Ok(generation);
                }
                Err(AttachError::Superseded) => return Err(CallError::Superseded),
                Err(AttachError::Gone | AttachError::Replaced | AttachError::Failed(_)) => {}
            }
        }
        let ask = ask.filter(|ask| ask.asked.repeatable).ok_or(CallError::GenerationGone)?;
        Self::continue_from_reader(daemon, cursor, ask, start, known)
    }

    /// Goes on elsewhere from the tokens that the reader gave back.
    pub(super) fn continue_from_reader(
        daemon: &Arc<Daemon>,
        cursor: &Cursor,
        ask: &Ask,
        mut start: StartGeneration,
        lost: Option<Arc<UpstreamState>>,
    ) -> Result<Self, CallError> {
        if ask.read_tokens.is_empty() {
            return Err(CallError::GenerationGone);
        }
        start.resume.clone_from(&ask.read_tokens);
        let tried: Vec<_> = lost.iter().map(|engine| engine.addr).collect();
        let next = untried(daemon, &start.model, &tried)
            .ok_or(CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS })?;
        // The first call for a token leaves `engine` for a chosen one.
        let engine = lost.unwrap_or(next);
        let mut generation =
            Self::new(daemon, &cursor.organisation, &cursor.kind, start, engine, None);
        let is_what_was_read = generation.read_tokens() == cursor.read_tokens
            && generation.text_digest == cursor.text_digest;
        if !is_what_was_read {
            return Err(CallError::CursorMismatch);
        }
        generation.tried = tried;
        generation.trouble.engine_lost = true;
        generation.allow(ask);
        Ok(generation)
    }

    pub(super) fn new(
        daemon: &Arc<Daemon>,
        organisation: &Organisation,
        kind: &Kind,
        start: StartGeneration,
        engine: Arc<UpstreamState>,
        stream: Option<EngineStream>,
    ) -> Self {
        let text_digest = start
            .resume
            .iter()
            .fold(digest::EMPTY_TEXT, |digest, token| digest::with_token(digest, token));
        Self {
            daemon: daemon.clone(),
            organisation: organisation.clone(),
            kind: kind.clone(),
            request_digest: digest::of_request(&start.model, &start.prompt, start.max_tokens),
            start,
            may_continue: false,
            cancel_on_drop: false,
            claim: Permit::unclaimed(false),
            placed: None,
            deadline_ms: u64::MAX,
            text_digest,
            tried: vec![engine.addr],
            engine,
            permit: None,
            stream,
            trouble: Trouble::default(),
            ended: false,
        }
    }

    /// Lets the generation be carried on as the contract allows for this request.
    pub(super) fn allow(&mut self, ask: &Ask) {
        self.may_continue = ask.asked.repeatable;
        self.deadline_ms = ask.deadline_ms(&self.daemon);
    }

    /// Reads again what the reader has, and holds it against the cursor.
    pub(super) async fn catch_up(&mut self, cursor: &Cursor) -> Result<(), CallError> {
        while self.read_tokens() < cursor.read_tokens {
            if self.next().await?.finish.is_some() {
                return Err(CallError::CursorMismatch);
            }
        }
        if self.text_digest == cursor.text_digest { Ok(()) } else { Err(CallError::CursorMismatch) }
    }
}

/// Attaches at the beginning; a second try tells a lost connection from a lost engine.
async fn attach(
    daemon: &Arc<Daemon>,
    engine: &Arc<UpstreamState>,
    generation: GenerationId,
    fence: u64,
) -> Result<EngineStream, AttachError> {
    match EngineStream::attach(daemon, engine, generation, fence, 0).await {
        Err(error @ AttachError::Failed(_)) => {
            attempt_failed(daemon, engine, &error);
            EngineStream::attach(daemon, engine, generation, fence, 0).await
        }
        attached => attached,
    }
}

/// A start for a reader who gave no body back: good for attaching, never sent.
fn start_unknown(generation: GenerationId, fence: u64, model: Model) -> StartGeneration {
    StartGeneration {
        generation,
        fence,
        model,
        prompt: Arc::from(""),
        max_tokens: 0,
        priority: 0,
        resume: Vec::new(),
    }
}

/// Any engine that could go on with a generation.
fn untried(daemon: &Daemon, model: &Model, tried: &[SocketAddr]) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let mut engines = directory.engines(model);
    engines.find(|engine| !tried.contains(&engine.addr)).cloned()
}
