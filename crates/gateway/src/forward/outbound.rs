use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::bounded;
use bytes::{Bytes, BytesMut};
use comfreymast_base::{DataCentre, EndMark, Service};
use comfreymast_fleet::RetryPolicy;
use comfreymast_net::{
    Body, BodyError, BodyStep, OwnedConnection, ResponseBody, full, joined, request, within,
};
use comfreymast_platform::ResponseHead;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;

use super::message::{Outgoing, encode, with_body};
use super::{FORWARD_PATH, LIMITED_FORWARD_PATH, TAKEN_HEADER};
use crate::answer::EventStream;
use crate::call::Call;
use crate::call_error::CallError;
use crate::dispatch::Dispatch;
use crate::generation::{RelayBody, send_chunk};
use crate::metrics::ForwardLabels;
use crate::pool::Pool;

/// How many peers are asked to take a call at most.
const MAX_PEERS: usize = 3;
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The most chunks of a stream that are buffered for a slow reader.
const UNREAD_CHUNKS: usize = 64;

/// Why a peer gave no answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardFailure {
    /// It did nothing for the call.
    NotTaken(&'static str),
    /// It may have sent the call to an upstream.
    Lost(&'static str),
}

/// Has a peer serve a call that `runs` upstreams may have run already. `None` if no peer takes it.
pub(crate) async fn forward(
    dispatch: &Arc<Dispatch>,
    call: &Arc<Call>,
    service: &Service,
    runs: u32,
) -> Option<Result<Response<Body>, CallError>> {
    let mut outgoing = Outgoing { call, service, earlier_runs: runs, last_event: None };
    let mut asked = Vec::new();
    loop {
        let Some(asked) = ask(dispatch, &outgoing, &mut asked).await else {
            let may_have_run = outgoing.earlier_runs > runs;
            return may_have_run.then(|| Err(call.lost_answer_error(&dispatch.clock)));
        };
        let failure = match asked {
            Ok(answer) if call.route.is_stream => return Some(Ok(answer.pass_on())),
            Ok(answer) => match answer.read_whole().await {
                Some(response) => return Some(Ok(response)),
                None => "answer broke off",
            },
            Err(reason) => reason,
        };
        log::debug!("request {}: a peer lost it: {failure}", call.head.id);
        outgoing.earlier_runs += 1;
        if !may_send_again(dispatch, &outgoing) {
            return Some(Err(call.lost_answer_error(&dispatch.clock)));
        }
    }
}

/// Asks peers, none of those already `asked`, until one takes a call: its answer, or why that was lost. `None`
/// if none takes it.
pub(crate) async fn ask(
    dispatch: &Arc<Dispatch>,
    outgoing: &Outgoing<'_>,
    asked: &mut Vec<SocketAddr>,
) -> Option<Result<PeerAnswer, &'static str>> {
    let call = outgoing.call;
    while asked.len() < MAX_PEERS && call.remaining_ms(&dispatch.clock) > 0 {
        let addr = forward_target(dispatch, outgoing, asked)?;
        asked.push(addr);
        match send_to(dispatch, outgoing, addr).await {
            Ok(answer) => {
                log_forwarded(dispatch, call, addr, "answered", "");
                return Some(Ok(answer));
            }
            Err(ForwardFailure::NotTaken(reason)) => {
                log_forwarded(dispatch, call, addr, "not taken", reason);
            }
            Err(ForwardFailure::Lost(reason)) => {
                log_forwarded(dispatch, call, addr, "lost", reason);
                return Some(Err(reason));
            }
        }
    }
    None
}

/// The peer that is asked next: one in a region to which the call may be sent.
fn forward_target(
    dispatch: &Dispatch,
    outgoing: &Outgoing<'_>,
    asked: &[SocketAddr],
) -> Option<SocketAddr> {
    let settings = dispatch.settings.load();
    let own = settings.region_of(&settings.data_centre);
    let regions = &outgoing.call.regions;
    dispatch.peers.forward_target(outgoing.service, asked, |data_centre| {
        regions.allows_forward(settings.region_of(&DataCentre::from(data_centre)), own)
    })
}

fn may_send_again(dispatch: &Dispatch, outgoing: &Outgoing<'_>) -> bool {
    let route = &outgoing.call.route;
    route.retry_policy == RetryPolicy::Idempotent
        && outgoing.earlier_runs < route.max_attempts
        && dispatch.try_retry(outgoing.service)
}

async fn send_to(
    dispatch: &Arc<Dispatch>,
    outgoing: &Outgoing<'_>,
    addr: SocketAddr,
) -> Result<PeerAnswer, ForwardFailure> {
    let pool = dispatch.forward_pools.of(addr);
    let limit_ms = outgoing.call.attempt_limit_ms(&dispatch.clock, outgoing.earlier_runs);
    let until_ms = dispatch.clock.now_ms() + limit_ms;
    let left_ms = || until_ms.saturating_sub(dispatch.clock.now_ms());
    let message = || joined(with_body(&encode(dispatch, outgoing), outgoing.call.body.bytes()));
    let is_limited = outgoing.call.regions.allowed().is_some();
    let path = if is_limited { LIMITED_FORWARD_PATH } else { FORWARD_PATH };
    let mut connection = match pool.take(dispatch.clock.now_ms()) {
        Some(connection) => connection,
        None => open(dispatch, addr, left_ms()).await?,
    };
    let head = loop {
        let sent = connection.send(request(addr, "POST", path, message()));
        match within(left_ms(), sent).await {
            Ok(Ok(head)) => break head,
            Ok(Err(error)) if error.is_unsent => {
                connection = open(dispatch, addr, left_ms()).await?;
            }
            Ok(Err(_)) => return Err(ForwardFailure::Lost("answer broke off")),
            Err(_) => return Err(ForwardFailure::Lost("no answer in time")),
        }
    };
    let (mut parts, body) = head.into_parts();
    let body = ResponseBody::new(&parts, body);
    if parts.headers.remove(TAKEN_HEADER).is_none() {
        return Err(ForwardFailure::NotTaken("peer did not take it"));
    }
    ResponseHead::strip_connection(&mut parts);
    Ok(PeerAnswer { dispatch: dispatch.clone(), pool, connection, parts, body, until_ms })
}

async fn open(
    dispatch: &Dispatch,
    addr: SocketAddr,
    left_ms: u64,
) -> Result<OwnedConnection, ForwardFailure> {
    let limit_ms = left_ms.min(dispatch.options.open_limit_ms);
    let opened = OwnedConnection::open(&dispatch.spawner, addr, limit_ms).await;
    opened.map_err(|_| ForwardFailure::NotTaken("peer not reached"))
}

/// The answer of a peer that took a call.
#[derive(Debug)]
pub(crate) struct PeerAnswer {
    dispatch: Arc<Dispatch>,
    pool: Arc<Pool>,
    connection: OwnedConnection,
    /// Its head, as it is for the caller.
    pub(crate) parts: Parts,
    body: ResponseBody,
    /// When it has to be whole, if it is no stream.
    until_ms: u64,
}

impl PeerAnswer {
    /// Passes the answer on as it arrives. One that breaks off is aborted, so that it does not look
    /// complete.
    fn pass_on(mut self) -> Response<Body> {
        self.parts.headers.remove(CONTENT_LENGTH);
        let parts = self.parts.clone();
        let (chunks, unread) = bounded(UNREAD_CHUNKS);
        let spawner = self.dispatch.spawner.clone();
        let task = spawner.spawn(async move {
            loop {
                let chunk = match self.body.next().await {
                    BodyStep::Data(bytes) => Ok(bytes),
                    BodyStep::End(EndMark::Framed) => break,
                    BodyStep::End(_) => Err(BodyError::Aborted),
                };
                let is_end = chunk.is_err();
                let is_sent = match chunk {
                    Ok(bytes) => send_chunk(&chunks, &self.dispatch.unread, bytes).await,
                    Err(error) => chunks.send(Err(error)).await.is_ok(),
                };
                if !is_sent || is_end {
                    return;
                }
            }
            let Self { dispatch, pool, connection, .. } = self;
            return_to_pool(&dispatch, &pool, connection);
        });
        Response::from_parts(parts, RelayBody::body(unread, task))
    }

    /// Reads the answer; `None` if it is not whole in time, or too long.
    async fn read_whole(self) -> Option<Response<Body>> {
        let Self { dispatch, pool, connection, parts, mut body, until_ms } = self;
        let left_ms = until_ms.saturating_sub(dispatch.clock.now_ms());
        let bytes = within(left_ms, read_body(&dispatch, &mut body)).await.ok().flatten()?;
        return_to_pool(&dispatch, &pool, connection);
        Some(Response::from_parts(parts, full(bytes)))
    }

    /// The events of a stream, and the connection on which they arrive.
    pub(crate) fn into_events(self) -> (EventStream, OwnedConnection) {
        (EventStream::new(self.body), self.connection)
    }
}

/// The body, or `None` if it is not whole or too long.
async fn read_body(dispatch: &Dispatch, body: &mut ResponseBody) -> Option<Bytes> {
    let mut share = dispatch.answer_buffers.share();
    let mut bytes = BytesMut::new();
    loop {
        match body.next().await {
            BodyStep::Data(data) => {
                if bytes.len() + data.len() > MAX_ANSWER_BYTES || !share.grow(data.len()) {
                    return None;
                }
                bytes.extend_from_slice(&data);
            }
            BodyStep::End(EndMark::Framed) => return Some(share.keep_with(bytes.freeze())),
            BodyStep::End(_) => return None,
        }
    }
}

fn return_to_pool(dispatch: &Dispatch, pool: &Pool, connection: OwnedConnection) {
    pool.put(connection, dispatch.clock.now_ms() + dispatch.options.idle_connection_ms);
}

fn log_forwarded(
    dispatch: &Dispatch,
    call: &Call,
    peer: SocketAddr,
    outcome: &'static str,
    reason: &'static str,
) {
    dispatch.metrics.forwards.get_or_create(&ForwardLabels { outcome }).inc();
    log::info!(target: "comfreymast", code = 1104, request = &*call.head.id, peer:%, outcome,
        reason, age_ms = call.age_ms(&dispatch.clock); "call forwarded to a peer");
}
