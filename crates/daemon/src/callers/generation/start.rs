//! Starts a new generation, or resumes one with the cursor of its reader.

use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{GenerationId, Kind, Model, Organisation};
use comfreymast_wire::engine::StartGeneration;

use super::recovery::FailureState;
use super::{Generation, NO_UPSTREAM_RETRY_MS, record_failed_attempt};
use crate::admission::{self, EngineRequest};
use crate::callers::call_error::CallError;
use crate::callers::completion_request::CompletionRequest;
use crate::callers::cursor::Cursor;
use crate::callers::digest;
use crate::claims::RunPermit;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::upstream::fence;
use crate::upstream::{AttachError, EngineStream, StartError};

/// How many engines may refuse a request before its caller is refused.
const MAX_REFUSALS: u32 = 3;

impl Generation {
    /// Starts a generation on the first engine that accepts it.
    pub(crate) async fn begin(
        daemon: &Arc<Daemon>,
        organisation: &Organisation,
        completion: &CompletionRequest,
        mut claim: RunPermit,
    ) -> Result<Self, CallError> {
        let budget = daemon.retry_budgets.of(organisation, daemon.clock.now_ms());
        budget.record_request(daemon.clock.now_ms());
        let start = completion.start(GenerationId::random(), fence::first());
        let refused = CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS };
        let mut tried = Vec::new();
        let mut refusals = 0;
        loop {
            let request = EngineRequest {
                organisation,
                kind: &completion.work.kind,
                start: &start,
                deadline_ms: completion.deadline_ms(daemon),
                tried: &tried,
            };
            let permit = admission::admit(daemon, request).await?;
            let engine = permit.engine().clone();
            let may_retry =
                || !completion.repeat_policy.is_retry && budget.try_retry(daemon.clock.now_ms());
            if refusals > 0 && (refusals == MAX_REFUSALS || !may_retry()) {
                return Err(refused);
            }
            tried.push(engine.addr);
            claim.mark_dispatched();
            let stream = match EngineStream::start(daemon, &engine, &start).await {
                Ok(stream) => Some(stream),
                Err(error @ StartError::NotRun { .. }) => {
                    claim.mark_refused();
                    record_failed_attempt(daemon, &engine, &error);
                    // A failed connection puts no load on any engine, so it is not counted.
                    refusals += u32::from(!error.is_unsent());
                    continue;
                }
                Err(error @ StartError::Unknown { .. }) => {
                    record_failed_attempt(daemon, &engine, &error);
                    // The engine may be running it, so the first call of `next` attaches to it.
                    None
                }
            };
            let mut generation =
                Self::new(daemon, organisation, &completion.work.kind, start, engine, stream);
            generation.tried = tried;
            generation.claim = claim;
            generation.permit = Some(permit);
            generation.track_suspect();
            generation.apply_policy(completion);
            generation.cancel_on_drop = !completion.stream;
            return Ok(generation);
        }
    }

    /// Attaches to the generation that `cursor` names, after the tokens already read.
    ///
    /// If the engine has lost it, a repeatable `completion` with the tokens already read allows
    /// another engine to continue it.
    pub(crate) async fn reattach(
        daemon: &Arc<Daemon>,
        cursor: &Cursor,
        completion: Option<&CompletionRequest>,
    ) -> Result<Self, CallError> {
        if completion.is_some_and(|completion| completion.digest() != cursor.request_digest) {
            return Err(CallError::CursorMismatch);
        }
        let fence = fence::next_reader(cursor.fence, daemon.clock.unix_ms());
        let start = match completion {
            Some(completion) => completion.start(cursor.generation, fence),
            None => placeholder_start(cursor.generation, fence, cursor.model.clone()),
        };
        let known_engine = daemon.directory.load().upstreams.get(&cursor.upstream).cloned();
        if let Some(engine) = &known_engine {
            match attach(daemon, engine, cursor.generation, fence).await {
                Ok(stream) => {
                    let engine = engine.clone();
                    let Cursor { organisation, kind, .. } = cursor;
                    let mut generation =
                        Self::new(daemon, organisation, kind, start, engine, Some(stream));
                    generation.request_digest = cursor.request_digest;
                    generation.catch_up(cursor).await?;
                    completion
                        .into_iter()
                        .for_each(|completion| generation.apply_policy(completion));
                    return Ok(generation);
                }
                Err(AttachError::Superseded) => return Err(CallError::Superseded),
                Err(AttachError::Gone | AttachError::Replaced | AttachError::Failed(_)) => {}
            }
        }
        let completion = completion
            .filter(|completion| completion.repeat_policy.repeatable)
            .ok_or(CallError::GenerationGone)?;
        Self::continue_from_read_tokens(daemon, cursor, completion, start, known_engine)
    }

    /// Continues on another engine from the tokens that the reader sent back.
    pub(super) fn continue_from_read_tokens(
        daemon: &Arc<Daemon>,
        cursor: &Cursor,
        completion: &CompletionRequest,
        mut start: StartGeneration,
        lost_engine: Option<Arc<UpstreamState>>,
    ) -> Result<Self, CallError> {
        if completion.read_tokens.is_empty() {
            return Err(CallError::GenerationGone);
        }
        start.resume.clone_from(&completion.read_tokens);
        let tried: Vec<_> = lost_engine.iter().map(|engine| engine.addr).collect();
        let other_engine = find_untried(daemon, &start.model, &tried)
            .ok_or(CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS })?;
        // The first call of `next` moves the generation from `engine` to a chosen one.
        let engine = lost_engine.unwrap_or(other_engine);
        let mut generation =
            Self::new(daemon, &cursor.organisation, &cursor.kind, start, engine, None);
        let matches_cursor = generation.read_tokens() == cursor.read_tokens
            && generation.text_digest == cursor.text_digest;
        if !matches_cursor {
            return Err(CallError::CursorMismatch);
        }
        generation.tried = tried;
        generation.failure_state.engine_lost = true;
        generation.apply_policy(completion);
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
            claim: RunPermit::unclaimed(false),
            running_suspect: None,
            deadline_ms: u64::MAX,
            text_digest,
            tried: vec![engine.addr],
            engine,
            permit: None,
            stream,
            failure_state: FailureState::default(),
            ended: false,
        }
    }

    /// Allows the generation to be continued as the contract permits for this request.
    pub(super) fn apply_policy(&mut self, completion: &CompletionRequest) {
        self.may_continue = completion.repeat_policy.repeatable;
        self.deadline_ms = completion.deadline_ms(&self.daemon);
    }

    /// Reads the tokens that the reader has again, and compares them with the cursor.
    pub(super) async fn catch_up(&mut self, cursor: &Cursor) -> Result<(), CallError> {
        while self.read_tokens() < cursor.read_tokens {
            if self.next().await?.finish.is_some() {
                return Err(CallError::CursorMismatch);
            }
        }
        if self.text_digest == cursor.text_digest { Ok(()) } else { Err(CallError::CursorMismatch) }
    }
}

/// Attaches at the first token; a second try tells a lost connection from a lost engine.
async fn attach(
    daemon: &Arc<Daemon>,
    engine: &Arc<UpstreamState>,
    generation: GenerationId,
    fence: u64,
) -> Result<EngineStream, AttachError> {
    match EngineStream::attach(daemon, engine, generation, fence, 0).await {
        Err(error @ AttachError::Failed(_)) => {
            record_failed_attempt(daemon, engine, &error);
            EngineStream::attach(daemon, engine, generation, fence, 0).await
        }
        attached => attached,
    }
}

/// A placeholder for a reader who sent no body: used to attach, never sent to an engine.
fn placeholder_start(generation: GenerationId, fence: u64, model: Model) -> StartGeneration {
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

/// Any engine that could continue a generation.
fn find_untried(
    daemon: &Daemon,
    model: &Model,
    tried: &[SocketAddr],
) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let mut engines = directory.engines(model);
    engines.find(|engine| !tried.contains(&engine.addr)).cloned()
}
