use std::sync::Arc;

use async_channel::Sender;
use async_executor::Task;
use bytes::Bytes;
use comfreymast_base::{EventId, Service};
use comfreymast_decide::answer_end::{AnswerEnd, BreakReason};
use comfreymast_decide::evacuation::RunView;
use comfreymast_decide::link_watch::ConnectionKind;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_decide::version_history::ServiceVersion;
use comfreymast_fleet::{EngineSpec, RetryPolicy};
use comfreymast_net::{BodyError, BodyFraming, OwnedConnection, sleep_ms};
use comfreymast_platform::{PromptShape, ResponseHead};
use futures_lite::future;

use super::answer_start::AnswerStart;
use super::mover::{MoveOutcome, Mover};
use super::relay_body::Chunk;
use super::reservation::{Reservation, expected_tokens, generation_key};
use super::start::UNLIMITED_TOKENS;
use crate::answer::{Event, EventStream, StreamStep, check_end};
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::head_wait::HeadWait;
use crate::quarantine::{LastProgress, record_begun_answer, record_success, report_if_ended};
use crate::room::room_request;
use crate::send::{Outstanding, Sent};
use crate::stream_origin::record_origin;
use crate::upstream_state::UpstreamState;
use crate::version_records::confirm;

/// How long the upstream of a finished stream without framing is watched. Its caller has all events
/// by then.
const END_WATCH_MS: u64 = 60;

/// Relays one stream from its upstream to its caller.
pub(super) struct Relay {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) call: Arc<Call>,
    pub(super) service: Service,
    pub(super) spec: EngineSpec,
    pub(super) shape: PromptShape,
    pub(super) upstream: Arc<UpstreamState>,
    pub(super) reservation: Reservation,
    pub(super) key: u32,
    pub(super) started_unix_ms: u64,
    pub(super) chunks: Sender<Chunk>,
    pub(super) last_event: Option<EventId>,
    /// The software versions at which the stream may go on.
    pub(super) version: VersionNeed,
    pub(super) events: u64,
    pub(super) may_move: bool,
    /// Upstreams that ran or may have run the request, over all of this attempt of its caller.
    pub(super) runs: u32,
    pub(super) last_event_ms: u64,
    pub(super) longest_pause_ms: u64,
    pub(super) moves: u32,
    /// The start of the current answer.
    pub(super) answer_start: AnswerStart,
    /// How the end of the current answer is marked.
    pub(super) framing: BodyFraming,
    /// True once the engine may have stopped the generation for a move that was not confirmed.
    pub(super) may_be_stopped: bool,
    /// True while an event that was under way when an answer broke off has not come.
    pub(super) lacks_event: bool,
    /// True until the first event of an answer that continues a stream has shown that it does.
    pub(super) awaits_place: bool,
}

/// An open stream of an upstream.
pub(super) struct Source {
    pub(super) events: EventStream,
    pub(super) connection: OwnedConnection,
    pub(super) answer: ResponseHead,
    pub(super) _outstanding: Outstanding,
}

/// What a relay handles next.
enum Step {
    Stream(StreamStep),
    Leaving,
    Moved(MoveOutcome),
    LinksLost,
    TimedOut,
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
            last_event: call.head.last_event.clone(),
            version: VersionNeed::Any,
            events: 0,
            // A resumable stream needs no move: it is short, or is resumed after its last event.
            may_move: spec.can_move && call.route.retry_policy == RetryPolicy::Once,
            runs: 1,
            last_event_ms: dispatch.clock.now_ms(),
            longest_pause_ms: 0,
            moves: 0,
            answer_start: AnswerStart::default(),
            framing: BodyFraming::Chunked,
            may_be_stopped: false,
            lacks_event: false,
            awaits_place: false,
        }
    }

    /// Relays the stream to its end, across moves and resumptions of its generation.
    pub(super) async fn run(mut self, mut source: Source) {
        loop {
            self.framing = source.events.framing();
            self.answer_start = AnswerStart::default();
            match self.relay(&mut source).await {
                Ok(()) => {
                    let Source { connection, answer, .. } = source;
                    Sent::return_to_pool(connection, &answer, &self.dispatch, &self.upstream);
                    let begun_ms = self.answer_start.begun_ms(self.dispatch.clock.now_ms());
                    record_success(&self.dispatch, &self.call, begun_ms);
                    self.record_holding();
                    return self.log_end("done");
                }
                Err(Interruption::Moved(moved)) => match self.continue_moved(moved, source).await {
                    Some(next) => source = next,
                    None => return self.abort("move failed").await,
                },
                Err(Interruption::Broken(reason)) => {
                    self.log_broken(reason, source.events.unfinished_bytes());
                    self.lacks_event |= source.events.unfinished_bytes() > 0;
                    drop(source);
                    self.upstream.record_lost_answer();
                    self.dispatch.record_link_failure(&self.upstream, ConnectionKind::Kept);
                    self.report_if_ended(&self.upstream, self.progress()).await;
                    match self.resume().await {
                        Some(next) => source = next,
                        None if self.may_be_handed_over() => {
                            return match self.hand_over().await {
                                Some(()) => self.log_end("done by a peer"),
                                None => self.abort("broke off").await,
                            };
                        }
                        None => return self.abort("broke off").await,
                    }
                }
                Err(Interruption::TimedOut) => return self.abort("time up").await,
                Err(Interruption::CallerDisconnected) => return self.log_end("caller gone"),
            }
        }
    }

    /// Learns how long a finished stream held its memory. One that moved has another reservation.
    fn record_holding(&self) {
        if self.moves == 0 && self.spec.memory_tokens < UNLIMITED_TOKENS {
            let request = room_request(&self.call, &self.shape);
            let rooms = &self.dispatch.rooms;
            rooms.record_end(&self.dispatch, &self.service, &request, &self.reservation);
        }
    }

    /// True if the stream may be resumed, but not from here.
    fn may_be_handed_over(&self) -> bool {
        self.call.route.retry_policy == RetryPolicy::Resumable
            && self.runs < self.call.route.max_attempts
            && self.dispatch.has_lost_links(&self.service)
    }

    /// Relays from one upstream until the stream ends or is interrupted there.
    async fn relay(&mut self, source: &mut Source) -> Result<(), Interruption> {
        let mut mover: Option<Task<MoveOutcome>> = None;
        let upstream = self.upstream.clone();
        let left_ms = self.call.remaining_ms(&self.dispatch.clock);
        let mut timeout = std::pin::pin!(sleep_ms(left_ms));
        let may_resume = self.call.route.retry_policy == RetryPolicy::Resumable;
        let dispatch = self.dispatch.clone();
        let wait = HeadWait {
            dispatch: &dispatch,
            upstream: &upstream,
            kind: ConnectionKind::Kept,
            may_send_again: true,
        };
        loop {
            let wants_move = self.may_move && mover.is_none() && self.events > 0;
            let step = {
                let part = async { Step::Stream(source.events.next().await) };
                let leaving = async {
                    if wants_move {
                        upstream.wait_leaving().await;
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
                let timeout = async {
                    timeout.as_mut().await;
                    Step::TimedOut
                };
                let lost = async {
                    if !may_resume {
                        future::pending::<()>().await;
                    }
                    wait.wait_until_lost().await;
                    Step::LinksLost
                };
                let moved_or_lost = future::or(moved, future::or(leaving, lost));
                // The timeout comes first: parts may arrive without a pause.
                future::or(timeout, future::or(part, moved_or_lost)).await
            };
            match step {
                Step::Stream(StreamStep::Event(event)) => self.deliver(event).await?,
                Step::Stream(StreamStep::BlankLines(bytes)) => self.send(bytes).await?,
                Step::Stream(StreamStep::End(end)) => {
                    if let Some(task) = mover.take() {
                        // The stream may have ended because the move stopped its generation.
                        match task.await {
                            MoveOutcome::Stays { may_be_stopped, .. } => {
                                self.may_be_stopped |= may_be_stopped;
                            }
                            moved => return Err(Interruption::Moved(moved)),
                        }
                    }
                    let (may_be_stopped, lacks_event) = (self.may_be_stopped, self.lacks_event);
                    let end = AnswerEnd { may_be_stopped, lacks_event, ..end };
                    let framing = source.events.framing();
                    let checked =
                        check_end(&self.dispatch, &self.upstream, framing, end, END_WATCH_MS).await;
                    return checked.map_err(Interruption::Broken);
                }
                Step::Leaving => mover = Some(self.start_move()),
                Step::Moved(MoveOutcome::Stays { reason, may_be_stopped }) => {
                    self.log_not_moved("stays", reason);
                    mover = None;
                    self.may_move = false;
                    self.may_be_stopped |= may_be_stopped;
                    self.reservation.unlist_generation();
                    self.dispatch.notify_peers();
                }
                Step::Moved(moved) => return Err(Interruption::Moved(moved)),
                Step::LinksLost => {
                    return Err(Interruption::Broken(BreakReason::ConnectionFailed));
                }
                Step::TimedOut => return Err(Interruption::TimedOut),
            }
        }
    }

    fn start_move(&self) -> Task<MoveOutcome> {
        let mover = Mover {
            dispatch: self.dispatch.clone(),
            service: self.service.clone(),
            spec: self.spec.clone(),
            source: self.upstream.clone(),
            id: self.call.head.id.clone(),
            key: self.key,
            need_tokens: self.need_tokens(),
        };
        self.dispatch.spawner.spawn(mover.run())
    }

    /// Lists the generation among those that move when the engine leaves, if it may move.
    pub(super) fn list_generation(&self) {
        if self.may_move {
            self.reservation.list_generation(self.run_view());
        }
    }

    /// Reports the stream if `upstream` ended while it ran there.
    pub(super) async fn report_if_ended(
        &self,
        upstream: &Arc<UpstreamState>,
        progress: LastProgress,
    ) {
        report_if_ended(&self.dispatch, &self.call, upstream, progress).await;
    }

    /// How far the current upstream is.
    fn progress(&self) -> LastProgress {
        LastProgress {
            tokens: self.generated_tokens(),
            alive_ms: self.last_event_ms,
            is_past_start: self.answer_start.is_past(),
        }
    }

    pub(super) fn generated_tokens(&self) -> u64 {
        self.events * u64::from(self.spec.tokens_per_event)
    }

    fn run_view(&self) -> RunView {
        RunView { key: self.key, tokens: self.held_tokens(), started_unix_ms: self.started_unix_ms }
    }

    fn held_tokens(&self) -> u64 {
        self.shape.prompt_tokens + self.generated_tokens()
    }

    pub(super) fn need_tokens(&self) -> u64 {
        expected_tokens(&self.shape, self.generated_tokens())
    }

    /// Relays an event unless it was already delivered.
    pub(super) async fn deliver(&mut self, event: Event) -> Result<(), Interruption> {
        self.dispatch.record_link_answer(&self.upstream, ConnectionKind::Kept);
        if let Some(begun_ms) = self.answer_start.record_event(self.dispatch.clock.now_ms()) {
            record_begun_answer(&self.dispatch, &self.call, begun_ms);
        }
        if self.awaits_place && !event.has_place() {
            return Err(Interruption::Broken(BreakReason::ForeignEvent));
        }
        self.awaits_place &= event.id.is_none();
        if self.is_delivered(&event) {
            return Ok(());
        }
        if self.events == 0 {
            self.record_version().await;
        }
        self.lacks_event &= event.is_comment();
        self.record_place(&event);
        self.events += 1;
        let now_ms = self.dispatch.clock.now_ms();
        if self.events > 1 {
            let pause_ms = now_ms.saturating_sub(self.last_event_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_event_ms = now_ms;
        self.send(event.bytes).await?;
        self.reservation.resize(self.need_tokens());
        self.list_generation();
        Ok(())
    }

    /// True if the caller has the event.
    pub(super) fn is_delivered(&self, event: &Event) -> bool {
        match (&event.id, &self.last_event) {
            (Some(id), Some(last)) => id <= last,
            _ => false,
        }
    }

    /// Notes that the caller gets the event.
    pub(super) fn record_place(&mut self, event: &Event) {
        if event.id.is_some() {
            self.last_event.clone_from(&event.id);
        }
    }

    /// Ties the stream to the version of its first event, before its caller gets that.
    async fn record_version(&mut self) {
        let version = self.upstream.record.version.clone();
        let service = self.service.clone();
        let began_at = ServiceVersion { service, version: version.clone() };
        confirm(&self.dispatch, &began_at).await;
        if self.call.route.retry_policy == RetryPolicy::Resumable {
            record_origin(&self.dispatch, &self.call, &self.service, version.clone());
        }
        self.version = VersionNeed::Only(version);
    }

    async fn send(&self, bytes: Bytes) -> Result<(), Interruption> {
        self.chunks.send(Ok(bytes)).await.map_err(|_| Interruption::CallerDisconnected)
    }

    /// Aborts the caller's stream, so that it does not look complete.
    async fn abort(self, reason: &str) {
        // Fails only if the caller has disconnected.
        let _ = self.chunks.send(Err(BodyError::Aborted)).await;
        self.log_end(reason);
    }
}

/// Why relaying from one upstream ended before the stream did.
pub(super) enum Interruption {
    Moved(MoveOutcome),
    Broken(BreakReason),
    TimedOut,
    CallerDisconnected,
}
