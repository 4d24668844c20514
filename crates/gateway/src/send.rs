use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::{EventId, NamedRequest};
use comfreymast_decide::answer_proof::{Proof, proof};
use comfreymast_decide::link_watch::ConnectionKind;
use comfreymast_fleet::RetryPolicy;
use comfreymast_net::{Body, OwnedConnection, ResponseBody, full};
use comfreymast_platform::{CopyLocation, ForwardOptions, ResponseHead, upstream_headers};
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;

use crate::call::Call;
use crate::call_error::Refusal;
use crate::dispatch::Dispatch;
use crate::head_wait::{HeadFailure, HeadWait};
use crate::quarantine;
use crate::upstream_state::UpstreamState;

/// Subtracted from the deadline that the upstream gets, so that its answer still arrives in time.
const ANSWER_MARGIN_MS: u64 = 10;
/// Subtracted from the keep-alive time that an upstream states, which it gives in whole seconds.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// The options of one send of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendOptions<'a> {
    /// The time limit for the head of the answer.
    pub(crate) limit_ms: u64,
    /// The priority of the request at an engine.
    pub(crate) priority: Option<u8>,
    /// The last delivered event of a stream that is continued.
    pub(crate) last_event: Option<&'a EventId>,
    /// The copy from which a generation is continued.
    pub(crate) resume_from: Option<&'a CopyLocation>,
}

/// The head of an answer, and the connection on which its body arrives.
#[derive(Debug)]
pub(crate) struct Sent {
    /// The connection; dropping it cancels the request at the upstream.
    pub(crate) connection: OwnedConnection,
    /// The head as received.
    pub(crate) parts: Parts,
    /// The decoded head.
    pub(crate) answer: ResponseHead,
    /// The body.
    pub(crate) body: ResponseBody,
    /// Counts the request as running on its upstream.
    pub(crate) outstanding: Outstanding,
}

impl Sent {
    /// True if the body is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        is_event_stream(&self.parts)
    }

    /// Returns the connection to the pool. To be called once the body was read to its end.
    pub(crate) fn return_to_pool(
        connection: OwnedConnection,
        answer: &ResponseHead,
        dispatch: &Dispatch,
        upstream: &UpstreamState,
    ) {
        if answer.closes_connection || upstream.is_leaving() {
            return;
        }
        let stated_ms = answer.keep_alive_s.map(|seconds| seconds.saturating_mul(1_000));
        let idle_ms = stated_ms.map_or(dispatch.options.idle_connection_ms, |stated_ms| {
            stated_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS).min(dispatch.options.idle_connection_ms)
        });
        upstream.pool.put(connection, dispatch.clock.now_ms() + idle_ms);
    }
}

/// True if an answer with this head is a stream of events. One without a type is, as its route says.
pub(crate) fn is_event_stream(head: &Parts) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.map(|value| value.as_bytes().to_ascii_lowercase());
    head.status.is_success()
        && content_type.is_none_or(|value| value.starts_with(EVENT_STREAM_TYPE))
}

/// Why a send got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// No connection to the upstream could be opened, so the request never reached it.
    Unreached,
    /// The upstream did not run the request and will not.
    NotRun(&'static str),
    /// The upstream may have run the request.
    Lost(&'static str),
    /// The request was not sent, since it may crash upstreams.
    Withheld(Refusal),
}

/// Counts a request as running on its upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct Outstanding(Arc<UpstreamState>);

impl Outstanding {
    pub(crate) fn new(upstream: &Arc<UpstreamState>) -> Self {
        upstream.outstanding.fetch_add(1, Ordering::AcqRel);
        Self(upstream.clone())
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::AcqRel);
        self.0.room.notify();
    }
}

/// Sends a call to one upstream and waits for the head of its answer.
pub(crate) async fn send(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    options: &SendOptions<'_>,
) -> Result<Sent, SendFailure> {
    send_counted(dispatch, call, upstream, options, Outstanding::new(upstream)).await
}

/// Like [`send`], for a call that counts as running there already.
pub(crate) async fn send_counted(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    options: &SendOptions<'_>,
    outstanding: Outstanding,
) -> Result<Sent, SendFailure> {
    quarantine::check(dispatch, call).map_err(SendFailure::Withheld)?;
    let started_ms = dispatch.clock.now_ms();
    upstream.limit.record_send(started_ms);
    let (mut connection, mut kind) = connect(dispatch, call, upstream, options.limit_ms).await?;
    let mut request = forwarded_request(dispatch, call, upstream, options);
    let head = loop {
        let left_ms = options.limit_ms.saturating_sub(dispatch.clock.now_ms() - started_ms);
        let may_send_again =
            call.route.retry_policy != RetryPolicy::Once && options.resume_from.is_none();
        let wait = HeadWait { dispatch, upstream, kind, may_send_again };
        match wait.run(left_ms, connection.send(request)).await {
            Ok(Ok(head)) => break head,
            Ok(Err(error)) if error.is_unsent => {
                // The upstream closed the idle connection before the request was sent, so a new
                // connection is safe.
                connection = open(dispatch, upstream, left_ms).await?;
                kind = ConnectionKind::New;
                request = forwarded_request(dispatch, call, upstream, options);
            }
            Ok(Err(error)) => {
                log::debug!("request {}: {error}", call.head.id);
                upstream.record_lost_answer();
                dispatch.record_link_failure(upstream, kind);
                return Err(SendFailure::Lost("answer broke off"));
            }
            Err(failure) => {
                upstream.record_lost_answer();
                return Err(SendFailure::Lost(match failure {
                    HeadFailure::TimedOut => "no answer in time",
                    HeadFailure::LinksLost => "links to upstreams lost",
                }));
            }
        }
    };
    dispatch.record_link_answer(upstream, kind);
    let (parts, body) = head.into_parts();
    let body = ResponseBody::new(&parts, body);
    let answer = ResponseHead::decode(&parts, &call.head.id);
    let proof = proof(answer.named, answer.is_not_run);
    if proof == Proof::Nothing {
        upstream.mark_untrusted(dispatch.clock.now_ms());
        return Err(SendFailure::Lost(match answer.named {
            NamedRequest::None => "answer names no request",
            NamedRequest::This | NamedRequest::Other => "answer of another request",
        }));
    }
    upstream.record_head(&answer, started_ms, dispatch.clock.now_ms());
    if proof == Proof::NotRun {
        return Err(SendFailure::NotRun("upstream refused"));
    }
    Ok(Sent { connection, parts, answer, body, outstanding })
}

async fn connect(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    limit_ms: u64,
) -> Result<(OwnedConnection, ConnectionKind), SendFailure> {
    let now_ms = dispatch.clock.now_ms();
    let may_reuse =
        call.route.retry_policy == RetryPolicy::Idempotent || !upstream.is_untrusted(now_ms);
    let pooled = may_reuse.then(|| upstream.pool.take(now_ms)).flatten();
    match pooled {
        Some(connection) => Ok((connection, ConnectionKind::Kept)),
        None => Ok((open(dispatch, upstream, limit_ms).await?, ConnectionKind::New)),
    }
}

async fn open(
    dispatch: &Dispatch,
    upstream: &Arc<UpstreamState>,
    limit_ms: u64,
) -> Result<OwnedConnection, SendFailure> {
    let limit_ms = limit_ms.min(dispatch.options.open_limit_ms);
    match OwnedConnection::open(&dispatch.spawner, upstream.record.addr, limit_ms).await {
        Ok(connection) => Ok(connection),
        Err(error) => {
            log::info!(target: "comfreymast", code = 1303, upstream = upstream.record.name.as_str(),
                error:%; "upstream not reached");
            upstream.record_unreachable(dispatch.clock.now_ms());
            dispatch.record_link_failure(upstream, ConnectionKind::New);
            Err(SendFailure::Unreached)
        }
    }
}

/// The caller's request as it is forwarded to this upstream.
fn forwarded_request(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &UpstreamState,
    options: &SendOptions<'_>,
) -> Request<Body> {
    let mut request = Request::new(full(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = upstream_headers(
        &call.parts.headers,
        &ForwardOptions {
            upstream: &upstream.record.name,
            organisation: call.key_holder.as_ref().map(|holder| &holder.organisation),
            deadline_ms: call.remaining_ms(&dispatch.clock).saturating_sub(ANSWER_MARGIN_MS).max(1),
            priority: options.priority,
            last_event: options.last_event,
            resume_from: options.resume_from,
        },
    );
    request
}
