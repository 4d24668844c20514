use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::Organisation;
use comfreymast_net::{BodyOptions, RequestBodyError, RequestProgress, within};
use hyper::body::Incoming;

use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;

/// The delay before a retry of a request for whose body there was no memory.
const NO_ROOM_RETRY_MS: u64 = 500;

/// What is known of a body before it is read.
#[derive(Clone, Debug)]
pub(crate) struct BodyRead {
    /// The maximum length.
    pub(crate) limit_bytes: usize,
    /// The time for all of it.
    pub(crate) timeout_ms: u64,
    /// The organisation of its caller.
    pub(crate) organisation: Option<Organisation>,
    /// The request on its connection.
    pub(crate) progress: Option<Arc<RequestProgress>>,
}

/// Reads a body within the budget of this daemon. Its request has not run if that fails.
pub(crate) async fn read_body(
    dispatch: &Dispatch,
    body: Incoming,
    read: BodyRead,
) -> Result<Bytes, CallError> {
    let BodyRead { limit_bytes, timeout_ms, organisation, progress } = read;
    let limits = dispatch.configuration.load().as_ref().map(|known| known.limits);
    let stall_ms = limits.unwrap_or_default().idle_timeout_ms;
    let options = BodyOptions { limit_bytes, stall_ms, organisation };
    let result = within(timeout_ms, dispatch.bodies.read(body, options)).await;
    let result = result.unwrap_or(Err(RequestBodyError::Stalled));
    if let Some(progress) = progress {
        if result.is_ok() { progress.mark_whole() } else { progress.mark_refused() }
    }
    result.map_err(|error| refusal(dispatch, &error))
}

fn refusal(dispatch: &Dispatch, error: &RequestBodyError) -> CallError {
    let (reason, refusal) = match error {
        RequestBodyError::TooLong { .. } => ("body too long", CallError::TooLong),
        RequestBodyError::NoRoom => ("no memory", no_room()),
        RequestBodyError::Reclaimed => ("stalled, memory reclaimed", CallError::BodyIncomplete),
        RequestBodyError::Stalled => ("stalled", CallError::BodyIncomplete),
        RequestBodyError::Connection { .. } => ("broke off", CallError::BodyIncomplete),
    };
    dispatch.metrics.count_rejections(reason, 1);
    log::info!(target: "comfreymast", code = 1111, reason,
        held_bytes = dispatch.bodies.held_bytes(); "request body not read");
    refusal
}

fn no_room() -> CallError {
    CallError::Refused { reason: Refusal::Memory, retry_after_ms: Some(NO_ROOM_RETRY_MS) }
}
