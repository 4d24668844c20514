use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{GenerationId, Kind, Model, Organisation};
use comfreymast_net::sleep_ms;
use comfreymast_wire::engine::{StartGeneration, Token};
use derive_more::{Display, Error};
use hyper::StatusCode;

use super::ask::Ask;
use super::call_error::CallError;
use super::cursor::Cursor;
use super::digest;
use crate::admission::{self, EnginePermit, EngineRequest};
use crate::claims::Permit;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::events;
use crate::quarantine::{self, Placed};
use crate::upstream::{AttachError, EngineStream, StartError, StartFailure, StreamError};
use crate::upstream::{cancel, fence};

/// Engines that may refuse a request before its caller is refused.
const MAX_REFUSALS: u32 = 3;
/// Failures in a row, without a token between them, after which a generation is given up.
const MAX_FAILURES: u32 = 6;
/// Silences in a row after which another engine is preferred to the silent one.
const MAX_SILENCES: u32 = 3;
const FIRST_BACKOFF_MS: u64 = 25;
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Why a generation has no next token.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum GenerationError {
    /// No engine could carry it on.
    #[display("no engine could carry the generation on")]
    GaveUp,
    /// The reader has gone on through another connection.
    #[display("the reader has gone on through another connection")]
    Superseded,
}

impl From<GenerationError> for CallError {
    fn from(error: GenerationError) -> Self {
        match error {
            GenerationError::GaveUp => {
                Self::GenerationLost { retry_after_ms: NO_UPSTREAM_RETRY_MS }
            }
            GenerationError::Superseded => Self::Superseded,
        }
    }
}

/// One generation as its reader sees it: every token once and in order, whatever becomes of the
/// engines and connections behind it.
///
/// An attempt that fails is first attached again, on a new connection to the same engine. Only a
/// repeatable request then goes to another engine, with the tokens already read and a higher
/// fence; any other is given up, for the old engine may still be running it.
pub(crate) struct Generation {
    daemon: Arc<Daemon>,
    organisation: Organisation,
    kind: Kind,
    /// What was asked; `resume` holds the tokens already read.
    start: StartGeneration,
    /// False while only the engine that runs it may go on with it.
    may_continue: bool,
    cancel_on_drop: bool,
    /// The right to run it; a reader who comes back has none to give.
    claim: Permit,
    /// Set while it is suspected of killing engines.
    placed: Option<Placed>,
    deadline_ms: u64,
    request_digest: u64,
    text_digest: u64,
    engine: Arc<UpstreamState>,
    /// What it holds of the engine's memory; `None` where another daemon admitted it.
    permit: Option<EnginePermit>,
    stream: Option<EngineStream>,
    /// Engines that have had this generation. None gets it twice, so that an engine which ignores
    /// fences never holds two attempts of it.
    tried: Vec<SocketAddr>,
    trouble: Trouble,
    ended: bool,
}

/// What went wrong since the last token.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    failures: u32,
    silences: u32,
    /// The engine has no such generation, or cannot be reached.
    engine_lost: bool,
    /// The peers know of the engine's death.
    death_noted: bool,
}

impl Trouble {
    /// Waits longer after each failure, and not at all after the first.
    async fn back_off(self) {
        if self.failures > 1 {
            sleep_ms(FIRST_BACKOFF_MS << self.failures.min(MAX_FAILURES)).await;
        }
    }
}

impl Generation {
    // ------------------------------------------------------------------------------------------
    // Ways to get one

    /// Starts a generation on the first engine that takes it.
    pub(crate) async fn begin(
        daemon: &Arc<Daemon>,
        organisation: &Organisation,
        ask: &Ask,
        mut claim: Permit,
    ) -> Result<Self, CallError> {
        let budget = daemon.retry_budgets.of(organisation, daemon.clock.now_ms());
        budget.request(daemon.clock.now_ms());
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
    fn continue_from_reader(
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

    fn new(
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
    fn allow(&mut self, ask: &Ask) {
        self.may_continue = ask.asked.repeatable;
        self.deadline_ms = ask.deadline_ms(&self.daemon);
    }

    /// Reads again what the reader has, and holds it against the cursor.
    async fn catch_up(&mut self, cursor: &Cursor) -> Result<(), CallError> {
        while self.read_tokens() < cursor.read_tokens {
            if self.next().await?.finish.is_some() {
                return Err(CallError::CursorMismatch);
            }
        }
        if self.text_digest == cursor.text_digest { Ok(()) } else { Err(CallError::CursorMismatch) }
    }

    // ------------------------------------------------------------------------------------------
    // What a reader asks of it

    /// The next token, or the end of the generation.
    pub(crate) async fn next(&mut self) -> Result<Token, GenerationError> {
        loop {
            let Some(stream) = &mut self.stream else {
                self.recover().await?;
                continue;
            };
            match stream.next().await {
                Ok(token) => {
                    self.take(&token);
                    return Ok(token);
                }
                Err(error) => {
                    // Closes the connection, so nothing late can come on it.
                    self.stream = None;
                    self.note(&error)?;
                }
            }
        }
    }

    /// The right to run it, which is told how it ended.
    pub(crate) fn claim(&mut self) -> &mut Permit {
        &mut self.claim
    }

    /// The model that writes it.
    pub(crate) fn model(&self) -> &Model {
        &self.start.model
    }

    /// Where its reader is.
    pub(crate) fn cursor(&self) -> Cursor {
        Cursor {
            organisation: self.organisation.clone(),
            upstream: self.engine.name.clone(),
            generation: self.start.generation,
            fence: self.start.fence,
            read_tokens: self.read_tokens(),
            model: self.start.model.clone(),
            kind: self.kind.clone(),
            request_digest: self.request_digest,
            text_digest: self.text_digest,
        }
    }

    fn read_tokens(&self) -> u32 {
        u32::try_from(self.start.resume.len()).unwrap_or(u32::MAX)
    }

    fn take(&mut self, token: &Token) {
        self.trouble = Trouble::default();
        let read_tokens = self.read_tokens();
        if token.finish.is_some() {
            self.ended = true;
            self.permit.take().into_iter().for_each(|mut permit| permit.finish(read_tokens));
            return;
        }
        if let Some(permit) = &self.permit {
            permit.progress(read_tokens + 1);
        }
        self.text_digest = digest::with_token(self.text_digest, &token.text);
        self.start.resume.push(token.text.clone());
    }

    // ------------------------------------------------------------------------------------------
    // Recovery

    fn note(&mut self, error: &StreamError) -> Result<(), GenerationError> {
        match error {
            StreamError::Superseded => return Err(self.superseded()),
            // Says nothing of the engine: a new connection will tell.
            StreamError::Silent(_) => {
                self.trouble.silences += 1;
                events::CONNECTION_SILENT.log(format_args!("{}", self.engine.name));
            }
            _ => {
                self.trouble.failures += 1;
                attempt_failed(&self.daemon, &self.engine, error);
            }
        }
        Ok(())
    }

    /// Makes one try to get a stream again.
    async fn recover(&mut self) -> Result<(), GenerationError> {
        let is_late = self.daemon.clock.now_ms() > self.deadline_ms;
        if is_late || self.trouble.failures > MAX_FAILURES {
            return Err(self.gave_up());
        }
        let is_quiet = self.trouble.silences > MAX_SILENCES;
        if self.may_continue && (self.trouble.engine_lost || is_quiet) {
            return self.continue_elsewhere().await;
        }
        self.attach_again().await
    }

    async fn attach_again(&mut self) -> Result<(), GenerationError> {
        let StartGeneration { generation, fence, .. } = self.start;
        let from = self.read_tokens();
        match EngineStream::attach(&self.daemon, &self.engine, generation, fence, from).await {
            Ok(stream) => {
                events::STREAM_REATTACHED
                    .log(format_args!("{}, from token {from}", self.engine.name));
                self.stream = Some(stream);
                // An engine that sends nonsense on each connection is not asked without pause.
                self.trouble.back_off().await;
                Ok(())
            }
            Err(AttachError::Superseded) => Err(self.superseded()),
            Err(AttachError::Gone) if !self.may_continue => Err(self.gave_up()),
            Err(error) => {
                self.trouble.failures += 1;
                self.trouble.engine_lost = true;
                attempt_failed(&self.daemon, &self.engine, &error);
                // Leaving an engine cancels what it runs, which must not be a newer order.
                if matches!(error, AttachError::Replaced)
                    && EngineStream::is_superseded(&self.daemon, &self.engine, generation, fence)
                        .await
                {
                    return Err(self.superseded());
                }
                // An engine dies once, however often it is tried again.
                if !std::mem::replace(&mut self.trouble.death_noted, true)
                    && quarantine::confirm_death(&self.daemon, &self.engine, &self.start).await
                    && !self.may_continue
                {
                    return Err(self.gave_up());
                }
                if !self.may_continue {
                    self.trouble.back_off().await;
                }
                Ok(())
            }
        }
    }

    async fn continue_elsewhere(&mut self) -> Result<(), GenerationError> {
        // What it held on the lost engine is free at once.
        self.permit = None;
        self.placed = None;
        let StartGeneration { model, prompt, .. } = &self.start;
        if quarantine::settle(&self.daemon, model, prompt).await.is_err() {
            return Err(self.gave_up());
        }
        let request = EngineRequest {
            organisation: &self.organisation,
            kind: &self.kind,
            start: &self.start,
            deadline_ms: self.deadline_ms,
            tried: &self.tried,
        };
        let Ok(permit) = admission::admit(&self.daemon, request).await else {
            self.trouble.failures += 1;
            self.trouble.back_off().await;
            return Ok(());
        };
        let engine = permit.engine().clone();
        self.permit = Some(permit);
        cancel(&self.daemon, &self.engine, self.start.generation, self.start.fence);
        self.engine = engine;
        self.tried.push(self.engine.addr);
        self.place();
        // Asked under the old fence, so that an engine with an older order takes the new one.
        let StartGeneration { generation, fence, .. } = self.start;
        if EngineStream::is_superseded(&self.daemon, &self.engine, generation, fence).await {
            return Err(self.superseded());
        }
        self.start.fence = fence::next_attempt(fence);
        self.trouble.silences = 0;
        self.trouble.death_noted = false;
        match EngineStream::start(&self.daemon, &self.engine, &self.start).await {
            Ok(stream) => {
                let from = self.read_tokens();
                events::GENERATION_CONTINUED
                    .log(format_args!("on {} from token {from}", self.engine.name));
                self.trouble.engine_lost = false;
                self.stream = Some(stream);
            }
            Err(StartError::NotRun { reason: StartFailure::Status(StatusCode::CONFLICT) }) => {
                return Err(self.superseded());
            }
            Err(error) => {
                self.trouble.failures += 1;
                self.trouble.engine_lost = matches!(error, StartError::NotRun { .. });
                attempt_failed(&self.daemon, &self.engine, &error);
            }
        }
        Ok(())
    }

    /// Notes where it runs, if it is suspected of killing engines.
    fn place(&mut self) {
        let StartGeneration { model, prompt, .. } = &self.start;
        let fingerprint = || quarantine::fingerprint(model, prompt);
        let now_ms = self.daemon.clock.now_ms();
        self.placed = self.daemon.quarantine.place(&self.engine, fingerprint, now_ms);
    }

    fn gave_up(&self) -> GenerationError {
        let read_tokens = self.read_tokens();
        events::GENERATION_LOST
            .log(format_args!("last on {}, after {read_tokens} tokens", self.engine.name));
        GenerationError::GaveUp
    }

    fn superseded(&self) -> GenerationError {
        events::STREAM_SUPERSEDED.log(format_args!("on {}", self.engine.name));
        GenerationError::Superseded
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if self.cancel_on_drop && !self.ended {
            cancel(&self.daemon, &self.engine, self.start.generation, self.start.fence);
        }
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

/// Any engine that could go on with a generation.
fn untried(daemon: &Daemon, model: &Model, tried: &[SocketAddr]) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let mut engines = directory.engines(model);
    engines.find(|engine| !tried.contains(&engine.addr)).cloned()
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

fn attempt_failed(daemon: &Daemon, engine: &UpstreamState, error: &dyn std::fmt::Display) {
    daemon.metrics.failed_attempts.inc();
    events::ATTEMPT_FAILED.log(format_args!("{}: {error}", engine.name));
}
