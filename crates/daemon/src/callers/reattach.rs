use std::sync::Arc;

use comfreymast_net::Body;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};

use super::call_error::CallError;
use super::caller::Caller;
use super::completion_request::{CompletionRequest, header};
use super::generation::Generation;
use super::stream;
use crate::daemon::Daemon;
use crate::events;

const CURSOR_HEADER: &str = "last-event-id";

/// The sealed cursor of a reader who resumes a stream.
pub(crate) fn sealed_cursor(headers: &HeaderMap) -> Option<&str> {
    header(headers, CURSOR_HEADER)
}

/// Resumes a stream after the last event that its reader has.
///
/// `GET` only attaches to the engine. `POST` with the body of the first request also allows another
/// engine to continue if the contract allows a repeat: from the tokens that this daemon knows, or
/// from the `read_tokens` of the body.
pub(crate) async fn run(
    daemon: &Arc<Daemon>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    let sealed = sealed_cursor(request.headers()).unwrap_or_default();
    let opened = daemon.cursors.open(sealed);
    let organisation = &caller.contract.organisation;
    let cursor = match opened {
        Ok(cursor) if cursor.organisation == *organisation => cursor,
        Ok(_) => {
            events::CURSOR_REFUSED
                .log(format_args!("{organisation} sent a cursor of another organisation"));
            return Err(CallError::CursorRefused);
        }
        Err(error) => {
            events::CURSOR_REFUSED.log(format_args!("{organisation}: {error}"));
            return Err(CallError::CursorRefused);
        }
    };
    let completion = match *request.method() {
        Method::GET => None,
        _ => Some(CompletionRequest::read(daemon, &caller.contract, request).await?),
    };
    let (kind, model) = (cursor.kind.as_str(), cursor.model.as_str());
    let work = caller
        .contract
        .work_for(Some(kind), model)
        .ok_or_else(|| CallError::NotAllowed { what: format!("{kind} on model {model}") })?;
    let record = daemon.burn.begin(&daemon.clock, organisation, work);
    let generation = Generation::reattach(daemon, &cursor, completion.as_ref())
        .await
        .inspect_err(|error| record.failed(error))?;
    Ok(stream::relay(daemon, &caller, generation, record.stream()))
}
