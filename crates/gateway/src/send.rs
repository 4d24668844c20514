use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_net::{Body, OwnedConnection, full, within};
use comfreymast_platform::{CopyLocation, ForwardOptions, ResponseHead, upstream_headers};
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// Waits this much less than the caller would, so that the answer still arrives in time.
const ANSWER_MARGIN_MS: u64 = 10;
/// Seconds taken off the idle time that an upstream states, which it gives in whole ones.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// What one send of a request needs beside the call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendOptions<'a> {
    /// How long the head of the answer may take.
    pub(crate) limit_ms: u64,
    /// The request's rank at an engine.
    pub(crate) priority: Option<u8>,
    /// The last event that was delivered of a stream that goes on.
    pub(crate) last_event: Option<u64>,
    /// The copy from which a generation goes on.
    pub(crate) origin: Option<&'a CopyLocation>,
}

/// The head of an answer, and the connection on which its body comes.
#[derive(Debug)]
pub(crate) struct Sent {
    /// The connection; dropping it tells the upstream that the answer is not wanted.
    pub(crate) connection: OwnedConnection,
    /// The answer's head.
    pub(crate) parts: Parts,
    /// What the head says.
    pub(crate) answer: ResponseHead,
    /// The body.
    pub(crate) body: Incoming,
    /// Counts the request as running on its upstream.
    pub(crate) outstanding: Outstanding,
}

impl Sent {
    /// Keeps the connection for another request. Call it once the body was read to its end.
    pub(crate) fn keep(
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

/// Why a send gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// No connection to the upstream could be opened, so the request never reached it.
    Unreached,
    /// The upstream did not run the request and will not.
    NotRun(&'static str),
    /// The upstream may have run the request.
    Lost(&'static str),
}

/// A request that runs on an upstream.
#[derive(Debug)]
pub(crate) struct Outstanding(Arc<UpstreamState>);

impl Outstanding {
    fn new(upstream: &Arc<UpstreamState>) -> Self {
        upstream.outstanding.fetch_add(1, Ordering::AcqRel);
        Self(upstream.clone())
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends a call to one upstream and waits for the head of its answer.
pub(crate) async fn send(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    options: &SendOptions<'_>,
) -> Result<Sent, SendFailure> {
    let outstanding = Outstanding::new(upstream);
    let started_ms = dispatch.clock.now_ms();
    let mut connection = connect(dispatch, call, upstream, options.limit_ms).await?;
    let mut request = forwarded(dispatch, call, upstream, options);
    let head = loop {
        let left_ms = options.limit_ms.saturating_sub(dispatch.clock.now_ms() - started_ms);
        match within(left_ms, connection.send(request)).await {
            Ok(Ok(head)) => break head,
            Ok(Err(error)) if error.is_unsent => {
                // The upstream closed a kept connection; a new one is as good as the first.
                connection = open(dispatch, upstream, left_ms).await?;
                request = forwarded(dispatch, call, upstream, options);
            }
            Ok(Err(error)) => {
                log::debug!("request {}: {error}", call.head.id);
                upstream.lost();
                return Err(SendFailure::Lost("answer broke off"));
            }
            Err(_) => {
                upstream.lost();
                return Err(SendFailure::Lost("no answer in time"));
            }
        }
    };
    let (parts, body) = head.into_parts();
    let answer = ResponseHead::decode(&parts, &call.head.id);
    if !answer.matches_request {
        upstream.spoiled(dispatch.clock.now_ms());
        return Err(SendFailure::Lost("answer of another request"));
    }
    if answer.is_not_run {
        return Err(SendFailure::NotRun("upstream refused"));
    }
    Ok(Sent { connection, parts, answer, body, outstanding })
}

async fn connect(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    limit_ms: u64,
) -> Result<OwnedConnection, SendFailure> {
    let now_ms = dispatch.clock.now_ms();
    let may_reuse =
        call.route.repeat == comfreymast_fleet::Repeat::Idempotent || !upstream.is_spoiled(now_ms);
    let kept = may_reuse.then(|| upstream.pool.take(now_ms)).flatten();
    match kept {
        Some(connection) => Ok(connection),
        None => open(dispatch, upstream, limit_ms).await,
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
            upstream.unreachable(dispatch.clock.now_ms());
            Err(SendFailure::Unreached)
        }
    }
}

/// The caller's request as this upstream gets it.
fn forwarded(
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
            organisation: call.member.as_ref().map(|member| &member.organisation),
            deadline_ms: call.left_ms(&dispatch.clock).saturating_sub(ANSWER_MARGIN_MS).max(1),
            priority: options.priority,
            last_event: options.last_event.or(call.head.last_event),
            resume_from: options.origin,
        },
    );
    request
}
