use std::sync::Arc;

use comfreymast_net::{Body, RequestProgress, empty};
use comfreymast_wire::news::ForwardedCall;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use prost::Message;

use super::message::decode;
use super::{TAKEN, TAKEN_HEADER};
use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;
use crate::request_body::{BodyRead, read_body};
use crate::request_handler::run_here;
use crate::stream_origin::destination;
use crate::unserved::Unserved;

/// Beside the body of the caller's request, which has a limit of its own.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// How long a message of a peer may take to arrive.
const BODY_LIMIT_MS: u64 = 30_000;

/// Serves a call for a peer that has lost its links to the upstreams of its service.
pub(crate) async fn answer_forwarded(
    dispatch: Arc<Dispatch>,
    mut request: Request<Incoming>,
) -> Response<Body> {
    let limits = dispatch.configuration.load().as_ref().map(|known| known.limits);
    let max_bytes = limits.unwrap_or_default().max_body_bytes + MAX_HEAD_BYTES;
    let read = BodyRead {
        limit_bytes: max_bytes,
        timeout_ms: BODY_LIMIT_MS,
        organisation: None,
        progress: RequestProgress::take(&mut request),
    };
    let bytes = match read_body(&dispatch, request.into_body(), read).await {
        Ok(bytes) => bytes,
        Err(error) => return not_taken(error.status()),
    };
    let message = match ForwardedCall::decode(bytes) {
        Ok(message) => message,
        Err(error) => return malformed(&error.into()),
    };
    if dispatch.is_draining() {
        return not_taken(StatusCode::SERVICE_UNAVAILABLE);
    }
    let (daemon, earlier_runs) = (message.daemon.clone(), message.earlier_runs);
    let call = match decode(&dispatch, message) {
        Ok(call) => Arc::new(call),
        Err(error) => return malformed(&error),
    };
    let Some(service) = call.route.target(0).cloned() else {
        return not_taken(StatusCode::BAD_REQUEST);
    };
    let answered = match destination(&dispatch, &call, &service).await {
        Ok(destination) => run_here(&dispatch, &call, &destination, earlier_runs).await,
        Err(error) => Err(error.into()),
    };
    let (response, outcome) = match answered {
        Ok(response) => {
            let outcome = response.status().as_str().to_owned();
            (taken(response), outcome)
        }
        Err(Unserved::Unreached { runs }) if runs == earlier_runs => {
            (not_taken(StatusCode::SERVICE_UNAVAILABLE), Refusal::Unreached.to_string())
        }
        Err(Unserved::Unreached { .. }) => refuse(&CallError::OutcomeUnknown),
        Err(Unserved::Error(error)) => refuse(&error),
    };
    log::info!(target: "comfreymast", code = 1105, request = &*call.head.id, daemon,
        service = service.as_str(), version = call.version, outcome,
        latency_ms = call.age_ms(&dispatch.clock); "forwarded call answered");
    response
}

fn refuse(error: &CallError) -> (Response<Body>, String) {
    (taken(error.response()), error.to_string())
}

fn malformed(error: &super::message::ForwardedCallError) -> Response<Body> {
    log::warn!(target: "comfreymast", code = 1106, error:%; "forwarded call cannot be decoded");
    not_taken(StatusCode::BAD_REQUEST)
}

/// The answer to the call, for its caller.
fn taken(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(TAKEN_HEADER, HeaderValue::from_static(TAKEN));
    response
}

/// Says that nothing was done for the call, so that another daemon may be asked.
fn not_taken(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
