use std::sync::Arc;

use async_channel::bounded;
use comfreymast_base::{Service, Upstream};
use comfreymast_decide::room::order::TOKEN_MS;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::{EngineSpec, RetryPolicy};
use comfreymast_net::Body;
use comfreymast_platform::{PromptShape, ResponseHead};
use hyper::Response;
use hyper::header::CONTENT_LENGTH;

use super::placement::Placement;
use super::relay::{Relay, Source};
use super::relay_body::RelayBody;
use super::reservation::{Prefill, Reservation, expected_tokens};
use crate::answer::{EventStream, read_whole};
use crate::call::Call;
use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;
use crate::quarantine::{self, LastProgress, record_success, report_if_ended};
use crate::room::{Granted, RoomOutcome, StreamNeed, first_priority, room_request, wait_for_room};
use crate::send::{SendFailure, SendOptions, Sent, send_counted};
use crate::stream_origin::Destination;
use crate::unserved::Unserved;
use crate::upstream_state::UpstreamState;

/// The most chunks of a stream that are buffered for a slow reader.
const UNREAD_CHUNKS: usize = 64;
const MAX_SENDS: u32 = 4;
/// The memory of an engine that the configuration does not describe.
pub(super) const UNLIMITED_TOKENS: u64 = u64::MAX / 4;
const MS_PER_S: f64 = 1_000.0;
const NOT_RUN_RETRY_MS: u64 = 300;

/// Starts a stream on an upstream of its destination and relays it. `earlier_runs` upstreams may have run it
/// already.
pub(crate) async fn run(
    dispatch: &Arc<Dispatch>,
    call: &Arc<Call>,
    destination: &Destination,
    earlier_runs: u32,
) -> Result<Response<Body>, Unserved> {
    let Destination { service, version } = destination;
    let spec = engine_spec(dispatch, service);
    let has_engine = spec.is_some();
    let spec = spec.unwrap_or_else(unlimited_engine);
    let shape = call.head.prompt.clone().unwrap_or_default();
    let mut start = StreamStart {
        dispatch,
        call,
        service,
        version,
        spec: &spec,
        has_engine,
        shape: &shape,
        tried: Vec::new(),
        sends: 0,
        runs: earlier_runs,
        room_ms: 0,
    };
    let Started { sent, upstream, reservation } = match start.first_answer().await? {
        FirstAnswer::Stream(started) => started,
        FirstAnswer::Whole(response) => return Ok(response),
    };
    let earlier_runs = start.runs;
    let Sent { connection, mut parts, answer, body, outstanding } = sent;
    if answer.is_encoded || !answer.is_signed {
        upstream.mark_untrusted(dispatch.clock.now_ms());
        return Err(CallError::OutcomeUnknown.into());
    }
    ResponseHead::strip_connection(&mut parts);
    parts.headers.remove(CONTENT_LENGTH);
    let (chunks, unread) = bounded(UNREAD_CHUNKS);
    let mut relay =
        Relay::new(dispatch, call, service, &spec, &shape, upstream, reservation, chunks);
    relay.runs += earlier_runs;
    relay.version = version.clone();
    let events = EventStream::new(body);
    let source = Source { events, connection, answer, _outstanding: outstanding };
    let task = dispatch.spawner.spawn(relay.run(source));
    Ok(Response::from_parts(parts, RelayBody::body(unread, task)))
}

/// The first answer of an upstream.
enum FirstAnswer {
    /// A stream of events.
    Stream(Started),
    /// Anything else, such as an error; it is passed on whole.
    Whole(Response<Body>),
}

/// A stream that an upstream has started.
struct Started {
    sent: Sent,
    upstream: Arc<UpstreamState>,
    reservation: Reservation,
}

/// What the engines of a service are; `None` if the configuration does not say.
fn engine_spec(dispatch: &Dispatch, service: &Service) -> Option<EngineSpec> {
    let configuration = dispatch.configuration.load();
    let spec = configuration.as_ref().and_then(|configuration| configuration.service(service));
    spec.and_then(|spec| spec.engine.clone())
}

/// What upstreams are assumed to be that the configuration does not describe.
fn unlimited_engine() -> EngineSpec {
    EngineSpec {
        slots: u32::MAX,
        memory_tokens: UNLIMITED_TOKENS,
        token_bytes: 0,
        link_mbps: 0.0,
        can_move: false,
        tokens_per_event: 1,
    }
}

/// A stream that has not been answered yet.
struct StreamStart<'a> {
    dispatch: &'a Arc<Dispatch>,
    call: &'a Arc<Call>,
    service: &'a Service,
    spec: &'a EngineSpec,
    /// True if the configuration describes the engines.
    has_engine: bool,
    shape: &'a PromptShape,
    version: &'a VersionNeed,
    tried: Vec<Upstream>,
    /// Failed sends that reached an upstream.
    sends: u32,
    /// Those of them that may have run the request.
    runs: u32,
    /// The age of the call when an engine with room was found.
    room_ms: u64,
}

impl StreamStart<'_> {
    /// Refuses a stream that this daemon could not finish before it stops; another daemon can.
    fn check_stopping(&self) -> Result<(), CallError> {
        let Some(stops_in_ms) = self.dispatch.stops_in_ms() else { return Ok(()) };
        let expected_tokens = expected_tokens(self.shape, 0) - self.shape.prompt_tokens;
        let expected_ms = self.call.route.target_latency_ms + expected_tokens * TOKEN_MS;
        if self.call.route.retry_policy == RetryPolicy::Once && expected_ms > stops_in_ms {
            // A peer may have sent it to an upstream before.
            let is_run = self.runs > 0;
            return Err(if is_run { CallError::OutcomeUnknown } else { CallError::stopping() });
        }
        Ok(())
    }

    async fn first_answer(&mut self) -> Result<FirstAnswer, Unserved> {
        self.check_stopping()?;
        // A request that will not be sent does not wait for an engine.
        quarantine::check(self.dispatch, self.call).map_err(|reason| self.withheld(reason))?;
        loop {
            let Granted { placement: placed, reservation, outstanding } =
                self.wait_for_room().await?;
            let upstream = placed.upstream.clone();
            let need_tokens = reservation.tokens();
            let prefill = Prefill::new(&upstream, self.shape.prompt_tokens);
            self.dispatch.notify_peers();
            let started_ms = self.dispatch.clock.now_ms();
            let limit_ms = self.call.remaining_ms(&self.dispatch.clock);
            let priority = Some(first_priority(self.dispatch, self.call, self.service, self.shape));
            let options = SendOptions { limit_ms, priority, ..SendOptions::default() };
            let sent =
                send_counted(self.dispatch, self.call, &upstream, &options, outstanding).await;
            drop(prefill);
            let failure = match sent {
                Ok(sent) => {
                    let is_good = !sent.parts.status.is_server_error();
                    upstream.record_answer(is_good, self.dispatch.clock.now_ms() - started_ms);
                    self.log_started(&placed, sent.parts.status.as_u16(), need_tokens);
                    if sent.is_event_stream() {
                        return Ok(FirstAnswer::Stream(Started { sent, upstream, reservation }));
                    }
                    let left_ms = self.call.remaining_ms(&self.dispatch.clock);
                    match read_whole(self.dispatch, &upstream, sent, left_ms).await {
                        Ok(response) => {
                            if response.status().is_success() {
                                record_success(
                                    self.dispatch,
                                    self.call,
                                    self.dispatch.clock.now_ms(),
                                );
                            }
                            return Ok(FirstAnswer::Whole(response));
                        }
                        Err(failure) => failure,
                    }
                }
                Err(failure) => failure,
            };
            if matches!(failure, SendFailure::Lost(_)) {
                let progress = LastProgress { alive_ms: started_ms, ..LastProgress::default() };
                report_if_ended(self.dispatch, self.call, &upstream, progress).await;
            }
            self.check_resend(&upstream, failure)?;
        }
    }

    /// Waits for an engine with room for as long as a start is expected to be of use.
    async fn wait_for_room(&mut self) -> Result<Granted, Unserved> {
        let need = StreamNeed {
            request: room_request(self.call, self.shape),
            id: self.call.head.id.clone(),
            spec: self.spec.clone(),
            has_engine: self.has_engine,
            version: self.version.clone(),
            excluded: self.tried.clone(),
            is_unsent: self.sends == 0,
        };
        let outcome = wait_for_room(self.dispatch, self.service, need).await;
        self.room_ms = self.call.age_ms(&self.dispatch.clock);
        match outcome {
            RoomOutcome::Placed(granted) => {
                self.dispatch.metrics.wait_s.observe(self.room_ms as f64 / MS_PER_S);
                Ok(*granted)
            }
            RoomOutcome::Unreached => Err(Unserved::Unreached { runs: self.runs }),
            RoomOutcome::NoVersion => Err(self.refused(Refusal::Version, None).into()),
            RoomOutcome::Paused { retry_after_ms } => {
                Err(self.refusal(Refusal::Paused, retry_after_ms).into())
            }
            RoomOutcome::Full { retry_after_ms } => {
                Err(self.refusal(Refusal::Full, retry_after_ms).into())
            }
        }
    }

    /// Allows another send after a failed one, or returns the error for the caller.
    fn check_resend(
        &mut self,
        upstream: &UpstreamState,
        failure: SendFailure,
    ) -> Result<(), Unserved> {
        self.tried.push(upstream.record.name.clone());
        log::info!(target: "comfreymast", code = 1401, request = &*self.call.head.id,
            upstream = upstream.record.name.as_str(), failure:?; "attempt failed");
        let has_time = self.call.remaining_ms(&self.dispatch.clock) > 0;
        let may_retry_send = match failure {
            // The upstream received nothing, so the next send does not count as a retry.
            SendFailure::Unreached if has_time => return Ok(()),
            SendFailure::Unreached => false,
            SendFailure::Withheld(reason) => return Err(self.withheld(reason).into()),
            SendFailure::NotRun(_) => {
                self.sends += 1;
                self.sends < MAX_SENDS
            }
            SendFailure::Lost(_) => {
                self.sends += 1;
                self.runs += 1;
                self.call.route.retry_policy != RetryPolicy::Once
                    && self.runs < self.call.route.max_attempts
            }
        };
        if may_retry_send && has_time && self.dispatch.try_retry(self.service) {
            if self.dispatch.has_lost_links(self.service) {
                return Err(Unserved::Unreached { runs: self.runs });
            }
            return Ok(());
        }
        if !has_time && self.runs > 0 {
            return Err(CallError::TimedOut.into());
        }
        Err(self.refusal(Refusal::NotRun, NOT_RUN_RETRY_MS).into())
    }

    fn refusal(&self, reason: Refusal, retry_after_ms: u64) -> CallError {
        self.refused(reason, Some(retry_after_ms))
    }

    fn withheld(&self, reason: Refusal) -> CallError {
        self.refused(reason, reason.withheld_retry_ms())
    }

    /// A refusal, or an unknown outcome if an upstream may have run the request.
    fn refused(&self, reason: Refusal, retry_after_ms: Option<u64>) -> CallError {
        if self.runs > 0 {
            return CallError::OutcomeUnknown;
        }
        CallError::Refused { reason, retry_after_ms }
    }

    fn log_started(&self, placed: &Placement, status: u16, need_tokens: u64) {
        let Placement { upstream, view, near_with_room, far_with_room } = placed;
        log::info!(target: "comfreymast", code = 1402, request = &*self.call.head.id,
            upstream = upstream.record.name.as_str(), version = upstream.version_text(),
            resumes:? = self.call.head.resumes, last_event:? = self.call.head.last_event, status,
            need_tokens,
            room_ms = self.room_ms, started_ms = self.call.age_ms(&self.dispatch.clock),
            is_near = view.is_near, reserved_tokens = view.reserved_tokens,
            prefill_tokens = view.prefill_tokens, runs = view.runs,
            near_with_room = *near_with_room, far_with_room = *far_with_room;
            "stream started");
    }
}
