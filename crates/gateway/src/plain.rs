use std::sync::Arc;

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::upstream_choice::{UpstreamView, choose_upstream};
use comfreymast_fleet::Repeat;
use comfreymast_net::{Body, collect, full, within};
use comfreymast_platform::ResponseHead;
use hyper::{Response, StatusCode};

use crate::call::Call;
use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;
use crate::send::{SendFailure, SendOptions, Sent, send};
use crate::upstream_state::UpstreamState;

const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// How often a request that no upstream ran is sent, at most.
const MOST_SENDS: u32 = 4;
const REFUSED_RETRY_MS: u64 = 150;
const CHOICE_NOISE: f64 = 0.2;

/// Sends a call to upstreams of `service` until one answers or no further attempt is allowed.
pub(crate) async fn run(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
) -> Result<Response<Body>, CallError> {
    let mut tried: Vec<Upstream> = Vec::new();
    let mut sends = 0;
    let mut runs = 0;
    let mut failed: Option<Response<Body>> = None;
    loop {
        let Some(upstream) = choose(dispatch, service, &tried) else {
            return give_up(failed, runs, Refusal::NoUpstream);
        };
        if call.left_ms(&dispatch.clock) == 0 {
            return if runs > 0 {
                Err(CallError::TimedOut)
            } else {
                give_up(failed, runs, Refusal::TimeUp)
            };
        }
        let attempt = attempt(dispatch, call, &upstream, runs).await;
        tried.push(upstream.record.name.clone());
        match attempt {
            Ok(response) if !may_improve(call, &response) => return Ok(response),
            Ok(response) => {
                runs += 1;
                failed = Some(response);
            }
            Err(SendFailure::Unreached) => {
                // Nothing arrived, so the next attempt is no repeat.
                log_attempt(call, &upstream, "not run", "not reached");
                continue;
            }
            Err(SendFailure::NotRun(reason)) => log_attempt(call, &upstream, "not run", reason),
            Err(SendFailure::Lost(reason)) => {
                log_attempt(call, &upstream, "lost", reason);
                runs += 1;
                if call.route.repeat != Repeat::Idempotent {
                    return Err(lost(dispatch, call));
                }
            }
        }
        sends += 1;
        let may_send = sends < MOST_SENDS && runs < call.route.max_attempts;
        if !may_send || !dispatch.try_repeat(service) {
            return give_up(failed, runs, Refusal::NotRun);
        }
    }
}

fn lost(dispatch: &Dispatch, call: &Call) -> CallError {
    if call.left_ms(&dispatch.clock) == 0 { CallError::TimedOut } else { CallError::OutcomeUnknown }
}

/// The answer once no further attempt is allowed: an upstream's own failure if there is one.
fn give_up(
    failed: Option<Response<Body>>,
    runs: u32,
    reason: Refusal,
) -> Result<Response<Body>, CallError> {
    match failed {
        Some(response) => Ok(response),
        None if runs > 0 => Err(CallError::OutcomeUnknown),
        None => Err(CallError::Refused { reason, retry_after_ms: REFUSED_RETRY_MS }),
    }
}

/// True when another upstream may answer an idempotent request better.
fn may_improve(call: &Call, response: &Response<Body>) -> bool {
    call.route.repeat == Repeat::Idempotent && response.status().is_server_error()
}

async fn attempt(
    dispatch: &Dispatch,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    runs: u32,
) -> Result<Response<Body>, SendFailure> {
    let started_ms = dispatch.clock.now_ms();
    let limit_ms = attempt_limit_ms(dispatch, call, runs);
    let options = SendOptions { limit_ms, ..SendOptions::default() };
    let sent = send(dispatch, call, upstream, &options).await?;
    let Sent { connection, mut parts, answer, body, outstanding: _outstanding } = sent;
    let left_ms = limit_ms.saturating_sub(dispatch.clock.now_ms() - started_ms);
    let Ok(Ok(bytes)) = within(left_ms, collect(body, MAX_ANSWER_BYTES)).await else {
        upstream.lost();
        return Err(SendFailure::Lost("answer broke off"));
    };
    if answer.is_encoded || (parts.status.is_success() && !answer.is_signed) {
        upstream.spoiled(dispatch.clock.now_ms());
        return Err(SendFailure::Lost("not an answer of the upstream"));
    }
    Sent::keep(connection, &answer, dispatch, upstream);
    upstream.answered(!parts.status.is_server_error(), dispatch.clock.now_ms() - started_ms);
    ResponseHead::strip_connection(&mut parts.headers);
    if is_promise(parts.status) {
        // The upstream ran the request, so the caller must not read that it did not.
        return Err(SendFailure::Lost("status without proof"));
    }
    Ok(Response::from_parts(parts, full(bytes)))
}

/// Statuses that tell a caller that its request has not run.
fn is_promise(status: StatusCode) -> bool {
    [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ]
    .contains(&status)
}

/// A request that may be sent again leaves time for that.
fn attempt_limit_ms(dispatch: &Dispatch, call: &Call, runs: u32) -> u64 {
    let left_ms = call.left_ms(&dispatch.clock);
    let may_repeat = call.route.repeat == Repeat::Idempotent && runs + 1 < call.route.max_attempts;
    if may_repeat { left_ms / 2 } else { left_ms }
}

/// The upstream for the next attempt; one that was tried is not tried again.
fn choose(
    dispatch: &Dispatch,
    service: &Service,
    tried: &[Upstream],
) -> Option<Arc<UpstreamState>> {
    let now_ms = dispatch.clock.now_ms();
    let upstreams = dispatch.directory.load();
    let open: Vec<_> = upstreams
        .of_service(service)
        .iter()
        .filter(|upstream| !upstream.is_leaving() && !tried.contains(&upstream.record.name))
        .collect();
    let views: Vec<_> = open.iter().map(|upstream| view(dispatch, upstream, now_ms)).collect();
    let chosen = choose_upstream(&views, |_| rand::random::<f64>() * CHOICE_NOISE)?;
    open.get(chosen).map(|upstream| Arc::clone(upstream))
}

fn view(dispatch: &Dispatch, upstream: &UpstreamState, now_ms: u64) -> UpstreamView {
    UpstreamView {
        outstanding: upstream.outstanding.load(std::sync::atomic::Ordering::Acquire),
        is_near: upstream.record.data_centre == dispatch.settings.load().data_centre,
        failure_rate: upstream.failure_rate(),
        latency_ms: upstream.latency_ms(),
        is_suspect: upstream.is_suspect(now_ms),
    }
}

fn log_attempt(call: &Call, upstream: &UpstreamState, outcome: &str, reason: &str) {
    log::info!(target: "comfreymast", code = 1401, request = &*call.head.id,
        upstream = upstream.record.name.as_str(), outcome, reason; "attempt failed");
}
