use std::sync::Arc;

use comfreymast_net::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use super::answer::{Outcome, refuse};
use super::call_error::CallError;
use super::caller::Caller;
use super::{completion, plain};
use crate::daemon::Daemon;
use crate::limits::LimitPermit;
use crate::metrics::AnswerLabels;

/// Answers one request on the callers' port.
pub(crate) async fn answer(daemon: Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    daemon.metrics.requests_open.inc();
    let answered = dispatch(&daemon, request).await;
    daemon.metrics.requests_open.dec();
    match answered {
        Ok(response) => {
            count(&daemon, Outcome::Done, response.status().as_u16());
            response
        }
        Err(error) => {
            count(&daemon, error.outcome(), error.status().as_u16());
            refuse(&error)
        }
    }
}

async fn dispatch(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    if !daemon.is_ready() {
        return Err(CallError::NotReady);
    }
    let caller = Caller::admit(daemon, request.headers()).await?;
    let permit = caller.permit.clone();
    let response = match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/completions") => completion::run(daemon, caller, request).await,
        _ => plain::run(daemon, caller, request).await,
    }?;
    Ok(response.map(|body| hold_until_read(body, permit)))
}

/// Keeps the slot until the answer is read or its reader has gone.
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
