use std::sync::Arc;

use comfreymast_net::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, Version};

use super::answer::{Outcome, error_response};
use super::call_error::CallError;
use super::caller::Caller;
use super::{completion, plain, reattach};
use crate::daemon::Daemon;
use crate::limits::LimitPermit;
use crate::metrics::AnswerLabels;

const COMPLETIONS: &str = "/v1/completions";

/// Answers one request on the callers' port.
pub(crate) async fn answer(daemon: Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    daemon.metrics.requests_open.inc();
    let is_reattach = reattach::sealed_cursor(request.headers()).is_some();
    let close_after = daemon.is_draining() && request.version() <= Version::HTTP_11;
    let result = dispatch(&daemon, request).await;
    daemon.metrics.requests_open.dec();
    let mut response = match result {
        Ok(response) => {
            count(&daemon, Outcome::Done, response.status().as_u16());
            response
        }
        Err(error) => {
            // The generation that a cursor names was started, even if this call fails.
            let outcome = if is_reattach { Outcome::Unknown } else { error.outcome() };
            count(&daemon, outcome, error.status().as_u16());
            error_response(&error, outcome)
        }
    };
    if close_after {
        // Callers stop using the connection before draining closes it.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn dispatch(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    if !daemon.has_loaded() {
        return Err(CallError::NotReady);
    }
    if !daemon.is_current() {
        return Err(CallError::NotCurrent);
    }
    let caller = Caller::admit(daemon, request.headers()).await?;
    let permit = caller.permit.clone();
    let is_reattach = reattach::sealed_cursor(request.headers()).is_some();
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET | &Method::POST, COMPLETIONS) if is_reattach => {
            reattach::run(daemon, caller, request).await
        }
        (&Method::POST, COMPLETIONS) => completion::run(daemon, caller, request).await,
        _ => plain::run(daemon, caller, request).await,
    }?;
    Ok(response.map(|body| hold_until_read(body, permit)))
}

/// Holds the slot until the answer is read or its reader disconnects.
fn hold_until_read(body: Body, permit: Arc<LimitPermit>) -> Body {
    let held = body.map_frame(move |frame| {
        let _permit = &permit;
        frame
    });
    held.boxed_unsync()
}

fn count(daemon: &Daemon, outcome: Outcome, status: u16) {
    let labels = AnswerLabels { outcome: outcome.to_string(), status: u32::from(status) };
    daemon.metrics.answers.get_or_create(&labels).inc();
}
