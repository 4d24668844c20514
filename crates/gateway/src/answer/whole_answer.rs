use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use comfreymast_decide::answer_end::AnswerEnd;
use comfreymast_net::{Body, BodyStep, ResponseBody, full, within};
use comfreymast_platform::ResponseHead;
use hyper::{Response, StatusCode};

use super::end_check::check_end;
use crate::dispatch::Dispatch;
use crate::send::{SendFailure, Sent};
use crate::upstream_state::UpstreamState;

const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reads an answer whole, within `limit_ms`, and returns its connection to the pool.
///
/// # Errors
///
/// [`SendFailure::Lost`] if it broke off, is not the upstream's own, or says that the request did
/// not run although it may have.
pub(crate) async fn read_whole(
    dispatch: &Arc<Dispatch>,
    upstream: &Arc<UpstreamState>,
    sent: Sent,
    limit_ms: u64,
) -> Result<Response<Body>, SendFailure> {
    let Sent { connection, mut parts, answer, body, outstanding: _outstanding } = sent;
    let Ok(Some(bytes)) = within(limit_ms, read_body(dispatch, upstream, body)).await else {
        upstream.record_lost_answer();
        return Err(SendFailure::Lost("answer broke off"));
    };
    if answer.is_encoded || (parts.status.is_success() && !answer.is_signed) {
        upstream.mark_untrusted(dispatch.clock.now_ms());
        return Err(SendFailure::Lost("not an answer of the upstream"));
    }
    Sent::return_to_pool(connection, &answer, dispatch, upstream);
    if implies_not_run(parts.status) {
        // The upstream ran the request, and this status would tell the caller that it did not.
        upstream.record_lost_answer();
        return Err(SendFailure::Lost("status means not run"));
    }
    ResponseHead::strip_connection(&mut parts);
    Ok(Response::from_parts(parts, full(bytes)))
}

/// The body, or `None` if it is not whole or too long.
async fn read_body(
    dispatch: &Arc<Dispatch>,
    upstream: &Arc<UpstreamState>,
    mut body: ResponseBody,
) -> Option<Bytes> {
    let mut share = dispatch.answer_buffers.share();
    let mut bytes = BytesMut::new();
    let mark = loop {
        match body.next().await {
            BodyStep::Data(data) => {
                let is_too_long = bytes.len() + data.len() > MAX_ANSWER_BYTES;
                if is_too_long || !share.grow(data.len()) {
                    log::warn!(target: "comfreymast", code = 1410,
                        upstream = upstream.record.name.as_str(), answer_bytes = bytes.len();
                        "answer given up, as it takes too much memory");
                    return None;
                }
                bytes.extend_from_slice(&data);
            }
            BodyStep::End(mark) => break mark,
        }
    };
    let end = AnswerEnd::of(mark);
    // Its caller waits, so the upstream is not watched beyond the first answer to a dial.
    check_end(dispatch, upstream, body.framing(), end, 0).await.ok()?;
    Some(share.keep_with(bytes.freeze()))
}

/// True for a status that tells a caller that its request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ]
    .contains(&status)
}
