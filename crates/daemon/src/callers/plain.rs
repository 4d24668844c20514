use std::sync::Arc;

use bytes::Bytes;
use comfreymast_contract::Route;
use comfreymast_decide::routing::least_outstanding;
use comfreymast_net::{Body, DialError, call, full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};

use super::answer::{Outcome, set_outcome};
use super::ask::read_body;
use super::call_error::CallError;
use super::caller::Caller;
use super::completion::candidate;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::events;

const CALL_LIMIT_MS: u64 = 30_000;
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Passes one call to a plain service.
pub(crate) async fn run(
    daemon: &Arc<Daemon>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    let (head, body) = request.into_parts();
    let route =
        caller.contract.route_for(head.method.as_str(), head.uri.path()).ok_or_else(|| {
            CallError::NotAllowed { what: format!("{} {}", head.method, head.uri.path()) }
        })?;
    let body = read_body(daemon, body).await?;
    let server = choose(daemon, route)
        .ok_or(CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS })?;
    let running = server.begin();
    let forwarded = forwarded(&head, body, &server)?;
    let answer = call(&daemon.spawner, server.addr, forwarded, CALL_LIMIT_MS, MAX_ANSWER_BYTES)
        .await
        .map_err(|error| failed(daemon, &server, &error))?;
    drop(running);
    let (mut head, body) = answer.into_parts();
    head.headers.remove(CONNECTION);
    head.headers.remove(TRANSFER_ENCODING);
    let mut response = Response::from_parts(head, full(body));
    set_outcome(&mut response, Outcome::Done);
    Ok(response)
}

fn choose(daemon: &Daemon, route: &Route) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let servers: Vec<_> = directory.servers(&route.service).collect();
    let candidates: Vec<_> = servers.iter().map(|server| candidate(daemon, server)).collect();
    let chosen = least_outstanding(&candidates)?;
    servers.get(chosen).map(|server| Arc::clone(server))
}

/// The caller's request as the server gets it: without the caller's key and connection headers.
fn forwarded(
    head: &hyper::http::request::Parts,
    body: Bytes,
    server: &UpstreamState,
) -> Result<Request<Body>, CallError> {
    let mut request = Request::new(full(body));
    *request.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() =
        path.parse().map_err(|_| CallError::Malformed { reason: "bad path".to_owned() })?;
    *request.headers_mut() = head.headers.clone();
    let headers = request.headers_mut();
    headers.remove(AUTHORIZATION);
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    if let Ok(host) = HeaderValue::from_str(&server.addr.to_string()) {
        headers.insert(HOST, host);
    }
    Ok(request)
}

fn failed(daemon: &Daemon, server: &UpstreamState, error: &DialError) -> CallError {
    daemon.metrics.failed_attempts.inc();
    events::ATTEMPT_FAILED.log(format_args!("{}: {error}", server.name));
    if error.is_unsent() {
        CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS }
    } else {
        CallError::OutcomeUnknown
    }
}
