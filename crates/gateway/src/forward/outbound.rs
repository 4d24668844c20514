use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::bounded;
use bytes::BytesMut;
use comfreymast_base::{EndMark, Service};
use comfreymast_fleet::RetryPolicy;
use comfreymast_net::{
    Body, BodyError, BodyStep, OwnedConnection, ResponseBody, full, request, within,
};
use comfreymast_platform::ResponseHead;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use prost::Message;

use super::message::encode;
use super::{FORWARD_PATH, TAKEN_HEADER};
use crate::call::Call;
use crate::call_error::CallError;
use crate::dispatch::Dispatch;
use crate::generation::RelayBody;
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
    mut runs: u32,
) -> Option<Result<Response<Body>, CallError>> {
    let mut asked = Vec::new();
    while asked.len() < MAX_PEERS && call.remaining_ms(&dispatch.clock) > 0 {
        let addr = dispatch.peers.forward_target(service, &asked)?;
        asked.push(addr);
        let failure = match send_to(dispatch, call, service, runs, addr).await {
            Ok(response) => {
                log_forwarded(dispatch, call, addr, "answered", "");
                return Some(Ok(response));
            }
            Err(failure) => failure,
        };
        match failure {
            ForwardFailure::NotTaken(reason) => {
                log_forwarded(dispatch, call, addr, "not taken", reason);
            }
            ForwardFailure::Lost(reason) => {
                log_forwarded(dispatch, call, addr, "lost", reason);
                runs += 1;
                if !may_send_again(dispatch, call, service, runs) {
                    return Some(Err(call.lost_answer_error(&dispatch.clock)));
                }
            }
        }
    }
    None
}

fn may_send_again(dispatch: &Dispatch, call: &Call, service: &Service, runs: u32) -> bool {
    call.route.retry_policy == RetryPolicy::Idempotent
        && runs < call.route.max_attempts
        && dispatch.try_retry(service)
}

async fn send_to(
    dispatch: &Arc<Dispatch>,
    call: &Arc<Call>,
    service: &Service,
    runs: u32,
    addr: SocketAddr,
) -> Result<Response<Body>, ForwardFailure> {
    const LOST: ForwardFailure = ForwardFailure::Lost("answer broke off");
    let pool = dispatch.forward_pools.of(addr);
    let limit_ms = call.attempt_limit_ms(&dispatch.clock, runs);
    let until_ms = dispatch.clock.now_ms() + limit_ms;
    let left_ms = || until_ms.saturating_sub(dispatch.clock.now_ms());
    let message = || encode(dispatch, call, service, runs).encode_to_vec();
    let mut connection = match pool.take(dispatch.clock.now_ms()) {
        Some(connection) => connection,
        None => open(dispatch, addr, left_ms()).await?,
    };
    let head = loop {
        let sent = connection.send(request(addr, "POST", FORWARD_PATH, full(message())));
        match within(left_ms(), sent).await {
            Ok(Ok(head)) => break head,
            Ok(Err(error)) if error.is_unsent => {
                connection = open(dispatch, addr, left_ms()).await?;
            }
            Ok(Err(_)) => return Err(LOST),
            Err(_) => return Err(ForwardFailure::Lost("no answer in time")),
        }
    };
    let (mut parts, body) = head.into_parts();
    let mut body = ResponseBody::new(&parts, body);
    if parts.headers.remove(TAKEN_HEADER).is_none() {
        return Err(ForwardFailure::NotTaken("peer did not take it"));
    }
    ResponseHead::strip_connection(&mut parts);
    let source = PeerAnswer { dispatch: dispatch.clone(), pool, connection };
    if call.route.is_stream {
        parts.headers.remove(CONTENT_LENGTH);
        return Ok(Response::from_parts(parts, source.pass_on(body)));
    }
    let read = read_whole(dispatch, &mut body);
    let bytes = within(left_ms(), read).await.ok().flatten().ok_or(LOST)?;
    source.return_to_pool();
    Ok(Response::from_parts(parts, full(bytes)))
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

/// The body, or `None` if it is not whole or too long.
async fn read_whole(dispatch: &Dispatch, body: &mut ResponseBody) -> Option<bytes::Bytes> {
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

/// The connection on which a peer's answer arrives.
struct PeerAnswer {
    dispatch: Arc<Dispatch>,
    pool: Arc<Pool>,
    connection: OwnedConnection,
}

impl PeerAnswer {
    /// Passes the body on as it arrives. One that breaks off is aborted, so that it does not look
    /// complete.
    fn pass_on(self, mut body: ResponseBody) -> Body {
        let (chunks, unread) = bounded(UNREAD_CHUNKS);
        let spawner = self.dispatch.spawner.clone();
        let task = spawner.spawn(async move {
            loop {
                let chunk = match body.next().await {
                    BodyStep::Data(bytes) => Ok(bytes),
                    BodyStep::End(EndMark::Framed) => return self.return_to_pool(),
                    BodyStep::End(_) => Err(BodyError::Aborted),
                };
                let is_end = chunk.is_err();
                if chunks.send(chunk).await.is_err() || is_end {
                    return;
                }
            }
        });
        RelayBody::body(unread, task)
    }

    fn return_to_pool(self) {
        let Self { dispatch, pool, connection } = self;
        pool.put(connection, dispatch.clock.now_ms() + dispatch.options.idle_connection_ms);
    }
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
