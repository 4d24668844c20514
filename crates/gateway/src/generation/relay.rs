use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use bytes::Bytes;
use comfreymast_base::Service;
use comfreymast_decide::evacuation::RunView;
use comfreymast_fleet::{EngineSpec, Repeat};
use comfreymast_net::{Body, BodyError, OwnedConnection, sleep_ms, within};
use comfreymast_platform::{AnswerHead, Origin, PromptShape};
use futures_lite::{Stream, future};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::events::EventSplitter;
use super::mover::{Moved, Moving};
use super::placing::place;
use super::reservation::{Reservation, expected_tokens, generation_key};
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::metrics::MoveLabels;
use crate::send::{Outstanding, SendFailure, SendOptions, Sent, send};
use crate::upstream_state::UpstreamState;

type Chunk = Result<Bytes, BodyError>;

/// How long events are still read from a stream whose generation was stopped.
const STOPPED_READ_MS: u64 = 60;
/// How long an engine may take to go on with a generation.
const CONTINUE_LIMIT_MS: u64 = 1_500;

/// The body that a caller reads. Dropping it ends the relay, and with it the upstream's work.
pub(super) struct RelayBody {
    chunks: Pin<Box<Receiver<Chunk>>>,
    _relay: Task<()>,
}

impl RelayBody {
    /// The body made of `chunks`, which `relay` sends.
    pub(super) fn body(chunks: Receiver<Chunk>, relay: Task<()>) -> Body {
        BodyExt::boxed_unsync(StreamBody::new(Self { chunks: Box::pin(chunks), _relay: relay }))
    }
}

impl Stream for RelayBody {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.chunks
            .as_mut()
            .poll_next(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// One stream on its way from an upstream to its caller.
pub(super) struct Relay {
    dispatch: Arc<Dispatch>,
    call: Arc<Call>,
    service: Service,
    spec: EngineSpec,
    shape: PromptShape,
    upstream: Arc<UpstreamState>,
    reservation: Reservation,
    key: u32,
    started_unix_ms: u64,
    chunks: Sender<Chunk>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    events: u64,
    may_move: bool,
    runs: u32,
    last_event_ms: u64,
    longest_pause_ms: u64,
    moves: u32,
}

/// An open stream of an upstream.
struct Source {
    body: Incoming,
    connection: OwnedConnection,
    answer: AnswerHead,
    _outstanding: Outstanding,
}

/// What happens next to a stream.
enum Step {
    Data(Bytes),
    End,
    Broken,
    Leaving,
    Moved(Moved),
    TimeUp,
}

impl Relay {
    /// A relay for a stream that runs on `upstream`.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn new(
        dispatch: &Arc<Dispatch>,
        call: &Arc<Call>,
        service: &Service,
        spec: &EngineSpec,
        shape: &PromptShape,
        upstream: Arc<UpstreamState>,
        reservation: Reservation,
        chunks: Sender<Chunk>,
    ) -> Self {
        Self {
            dispatch: dispatch.clone(),
            call: call.clone(),
            service: service.clone(),
            spec: spec.clone(),
            shape: shape.clone(),
            upstream,
            reservation,
            key: generation_key(&call.head.id),
            started_unix_ms: dispatch.clock.unix_ms(),
            chunks,
            splitter: EventSplitter::default(),
            last_event: call.head.last_event,
            events: 0,
            // A resumable stream is short or starts again where it broke off.
            may_move: spec.can_move && call.route.repeat == Repeat::Once,
            runs: 1,
            last_event_ms: dispatch.clock.now_ms(),
            longest_pause_ms: 0,
            moves: 0,
        }
    }

    /// Relays the stream to its end, wherever its generation goes.
    pub(super) async fn run(
        mut self,
        connection: OwnedConnection,
        answer: AnswerHead,
        body: Incoming,
        outstanding: Outstanding,
    ) {
        let mut source = Source { body, connection, answer, _outstanding: outstanding };
        loop {
            match self.relay(&mut source).await {
                Ok(()) => {
                    let Source { connection, answer, .. } = source;
                    Sent::keep(connection, &answer, &self.dispatch, &self.upstream);
                    return self.log_end("done");
                }
                Err(Interrupted::Moved(moved)) => match self.go_on(moved, source).await {
                    Some(next) => source = next,
                    None => return self.cut("move failed").await,
                },
                Err(Interrupted::Broken) => {
                    drop(source);
                    self.upstream.lost();
                    match self.resume().await {
                        Some(next) => source = next,
                        None => return self.cut("broke off").await,
                    }
                }
                Err(Interrupted::TimeUp) => return self.cut("time up").await,
                Err(Interrupted::CallerGone) => return self.log_end("caller gone"),
            }
        }
    }

    /// Relays from one upstream until the stream ends there.
    async fn relay(&mut self, source: &mut Source) -> Result<(), Interrupted> {
        let mut mover: Option<Task<Moved>> = None;
        let upstream = self.upstream.clone();
        let left_ms = self.call.left_ms(&self.dispatch.clock);
        let mut time_up = std::pin::pin!(sleep_ms(left_ms));
        loop {
            let wants_move = self.may_move && mover.is_none() && self.events > 0;
            let step = {
                let frame = async {
                    match source.body.frame().await {
                        None => Step::End,
                        Some(Err(_)) => Step::Broken,
                        Some(Ok(frame)) => Step::Data(frame.into_data().unwrap_or_default()),
                    }
                };
                let leaving = async {
                    if wants_move {
                        upstream.left().await;
                    } else {
                        future::pending::<()>().await;
                    }
                    Step::Leaving
                };
                let moved = async {
                    match mover.as_mut() {
                        Some(task) => Step::Moved(task.await),
                        None => future::pending().await,
                    }
                };
                let time_up = async {
                    time_up.as_mut().await;
                    Step::TimeUp
                };
                future::or(frame, future::or(moved, future::or(leaving, time_up))).await
            };
            match step {
                Step::Data(bytes) => self.deliver(&bytes).await?,
                Step::Leaving => mover = Some(self.start_move()),
                Step::Moved(Moved::Stays(reason)) => {
                    self.log_move("stays", reason);
                    mover = None;
                    self.may_move = false;
                    self.reservation.unlist();
                    self.dispatch.tell_peers();
                }
                Step::Moved(moved) => return Err(Interrupted::Moved(moved)),
                Step::End | Step::Broken => {
                    let is_end = matches!(step, Step::End);
                    if let Some(task) = mover.take() {
                        // The stream may have ended because its generation was stopped to move.
                        match task.await {
                            Moved::Stays(_) => {}
                            moved => return Err(Interrupted::Moved(moved)),
                        }
                    }
                    if !is_end {
                        return Err(Interrupted::Broken);
                    }
                    let rest = self.splitter.rest();
                    if !rest.is_empty() {
                        self.send(rest).await?;
                    }
                    return Ok(());
                }
                Step::TimeUp => return Err(Interrupted::TimeUp),
            }
        }
    }

    fn start_move(&self) -> Task<Moved> {
        let moving = Moving {
            dispatch: self.dispatch.clone(),
            service: self.service.clone(),
            spec: self.spec.clone(),
            source: self.upstream.clone(),
            id: self.call.head.id.clone(),
            key: self.key,
            need_tokens: self.need_tokens(),
        };
        self.dispatch.spawner.spawn(moving.run())
    }

    /// Lists the generation for its turn when the engine goes, if it would move.
    fn list(&self) {
        if self.may_move {
            self.reservation.list(self.run_view());
        }
    }

    fn run_view(&self) -> RunView {
        RunView { key: self.key, tokens: self.held_tokens(), started_unix_ms: self.started_unix_ms }
    }

    fn held_tokens(&self) -> u64 {
        self.shape.prompt_tokens + self.events * u64::from(self.spec.tokens_per_event)
    }

    fn need_tokens(&self) -> u64 {
        expected_tokens(&self.shape, self.events * u64::from(self.spec.tokens_per_event))
    }

    /// Passes on the whole events that `bytes` complete.
    async fn deliver(&mut self, bytes: &[u8]) -> Result<(), Interrupted> {
        self.splitter.push(bytes);
        while let Some(event) = self.splitter.next_event() {
            let is_repeated = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_repeated {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            let now_ms = self.dispatch.clock.now_ms();
            if self.events > 1 {
                let pause_ms = now_ms.saturating_sub(self.last_event_ms);
                self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
            }
            self.last_event_ms = now_ms;
            self.send(event.bytes).await?;
        }
        self.reservation.set(self.need_tokens());
        self.list();
        Ok(())
    }

    async fn send(&self, bytes: Bytes) -> Result<(), Interrupted> {
        self.chunks.send(Ok(bytes)).await.map_err(|_| Interrupted::CallerGone)
    }

    /// Goes on with a generation that was stopped on the engine it leaves.
    async fn go_on(&mut self, moved: Moved, mut source: Source) -> Option<Source> {
        let started_ms = self.dispatch.clock.now_ms();
        let leaving = self.upstream.clone();
        let (candidates, origin, events) = match moved {
            Moved::Arrived { target, reservation, origin, events } => {
                self.reservation = reservation;
                self.list();
                self.dispatch.tell_peers();
                (vec![target, leaving.clone()], origin, events)
            }
            Moved::Kept { origin } => (vec![leaving.clone()], origin, self.last_event.unwrap_or(0)),
            Moved::Stays(_) => return None,
        };
        self.read_stopped(&mut source, events).await?;
        drop(source);
        for target in candidates {
            self.dispatch.budget.repeat(&self.service, self.dispatch.clock.now_ms());
            match self.continue_at(&target, Some(&origin)).await {
                Ok(next) => {
                    self.upstream = target;
                    self.moves += 1;
                    let pause_ms = self.dispatch.clock.now_ms() - started_ms;
                    self.log_moved(&leaving, pause_ms);
                    return Some(next);
                }
                Err(failure) => self.log_not_continued(&target, failure),
            }
        }
        None
    }

    /// Reads the events that a stopped generation had still made.
    async fn read_stopped(&mut self, source: &mut Source, events: u64) -> Option<()> {
        let started_ms = self.dispatch.clock.now_ms();
        while self.last_event.unwrap_or(0) < events {
            let waited_ms = self.dispatch.clock.now_ms() - started_ms;
            let left_ms = STOPPED_READ_MS.saturating_sub(waited_ms);
            match within(left_ms, source.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    self.deliver(&bytes).await.ok()?;
                }
                _ => break,
            }
        }
        // What is left is a part of an event, which comes again.
        let _ = self.splitter.rest();
        Some(())
    }

    /// Goes on with a stream that broke off, where its kind allows that.
    async fn resume(&mut self) -> Option<Source> {
        let _ = self.splitter.rest();
        let mut tried = vec![self.upstream.record.name.clone()];
        let is_allowed = self.call.route.repeat == Repeat::Resumable;
        while is_allowed && self.runs < self.call.route.max_attempts {
            if !self.dispatch.try_repeat(&self.service) {
                return None;
            }
            let options = comfreymast_decide::placement::PlacementOptions::default();
            let need_tokens = self.need_tokens();
            let target = place(
                &self.dispatch,
                &self.service,
                &self.spec,
                need_tokens,
                &options,
                &self.dispatch.settings.load().data_centre,
                &tried,
            )?;
            tried.push(target.record.name.clone());
            let reservation = Reservation::new(&target, self.key, need_tokens);
            match self.continue_at(&target, None).await {
                Ok(next) => {
                    self.runs += 1;
                    self.reservation = reservation;
                    self.upstream = target;
                    return Some(next);
                }
                Err(failure) => {
                    self.log_not_continued(&target, failure);
                    if matches!(failure, SendFailure::Lost(_)) {
                        self.runs += 1;
                    }
                }
            }
        }
        None
    }

    async fn continue_at(
        &self,
        target: &Arc<UpstreamState>,
        origin: Option<&Origin>,
    ) -> Result<Source, SendFailure> {
        let left_ms = self.call.left_ms(&self.dispatch.clock);
        let options = SendOptions {
            limit_ms: if origin.is_some() { left_ms.min(CONTINUE_LIMIT_MS) } else { left_ms },
            priority: Some(self.call.priority()),
            last_event: self.last_event,
            origin,
        };
        let sent = send(&self.dispatch, &self.call, target, &options).await?;
        if !sent.parts.status.is_success() || !sent.answer.is_signed || sent.answer.is_encoded {
            return Err(SendFailure::Lost("stream was not continued"));
        }
        let Sent { connection, answer, body, outstanding, .. } = sent;
        Ok(Source { body, connection, answer, _outstanding: outstanding })
    }

    /// Ends the caller's stream so that it does not look complete.
    async fn cut(self, reason: &str) {
        // A caller who is gone needs no word.
        let _ = self.chunks.send(Err(BodyError::Cut)).await;
        self.log_end(reason);
    }

    fn log_end(&self, outcome: &str) {
        log::info!(target: "comfreymast", code = 1103, request = &*self.call.head.id,
            upstream = self.upstream.record.name.as_str(), outcome, events = self.events,
            moves = self.moves, longest_pause_ms = self.longest_pause_ms,
            age_ms = self.call.age_ms(&self.dispatch.clock); "stream ended");
    }

    fn log_move(&self, outcome: &'static str, reason: &str) {
        self.dispatch.metrics.moves.get_or_create(&MoveLabels { outcome }).inc();
        let since_notice_ms = self.upstream.since_notice_ms(self.dispatch.clock.now_ms());
        log::info!(target: "comfreymast", code = 1403, request = &*self.call.head.id,
            upstream = self.upstream.record.name.as_str(), outcome, reason, since_notice_ms,
            events = self.events; "generation does not move");
    }

    fn log_moved(&self, leaving: &UpstreamState, pause_ms: u64) {
        const MS_PER_S: f64 = 1_000.0;
        self.dispatch.metrics.moves.get_or_create(&MoveLabels { outcome: "moved" }).inc();
        self.dispatch.metrics.move_pause_s.observe(pause_ms as f64 / MS_PER_S);
        let since_notice_ms = leaving.since_notice_ms(self.dispatch.clock.now_ms());
        log::info!(target: "comfreymast", code = 1405, request = &*self.call.head.id,
            upstream = leaving.record.name.as_str(), to = self.upstream.record.name.as_str(),
            pause_ms, since_notice_ms, events = self.events; "generation moved");
    }

    fn log_not_continued(&self, target: &UpstreamState, failure: SendFailure) {
        log::warn!(target: "comfreymast", code = 1406, request = &*self.call.head.id,
            upstream = target.record.name.as_str(), failure:?, last_event:? = self.last_event;
            "stream not continued");
    }
}

/// Why a relay from one upstream ended before the stream did.
enum Interrupted {
    Moved(Moved),
    Broken,
    TimeUp,
    CallerGone,
}
