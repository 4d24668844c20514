use std::sync::Arc;

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::upstream_choice::{UpstreamView, choose_upstream};
use comfreymast_fleet::RetryPolicy;
use comfreymast_net::{Body, sleep_ms};
use hyper::Response;

use crate::answer::read_whole;
use crate::call::Call;
use crate::call_error::{CallError, Refusal};
use crate::cold::{self, retain_with_turns};
use crate::dispatch::Dispatch;
use crate::evacuation::{Eligibility, UNSERVABLE_RETRY_MS, without_returning};
use crate::named_limit::{retain_within_limits, usual_wait_ms};
use crate::pause::shortest_pause_ms;
use crate::places::{free_places, own_places};
use crate::quarantine::{LastProgress, record_success, report_if_ended};
use crate::send::{SendFailure, SendOptions, send};
use crate::unserved::Unserved;
use crate::upstream_state::UpstreamState;

/// How often a request is sent at most; sends that reached no upstream are not counted.
const MAX_SENDS: u32 = 4;
const REFUSED_RETRY_MS: u64 = 150;
const CHOICE_NOISE: f64 = 0.2;
const PLACE_POLL_MS: u64 = 5;

/// Serves a call that is answered whole: sends it to upstreams of `service` until one answers or
/// no further attempt is allowed. `earlier_runs` upstreams may have run it already.
pub(crate) async fn run(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    service: &Service,
    earlier_runs: u32,
) -> Result<Response<Body>, Unserved> {
    let mut tried: Vec<Upstream> = Vec::new();
    let mut sends = 0;
    let mut runs = earlier_runs;
    let mut failed: Option<Response<Body>> = None;
    let brittleness = dispatch.directory.load().brittleness(service);
    let mut waiting = None;
    loop {
        let upstream = match choose(dispatch, call, service, &tried) {
            Ok(upstream) => upstream,
            Err(Refusal::Limited) => {
                let wait_ms = usual_wait_ms(dispatch.directory.load().of_service(service));
                return Ok(give_up(failed, runs, Refusal::Limited, wait_ms)?);
            }
            Err(Refusal::Cold) => {
                let wait_ms = cold::wait_ms(dispatch, service);
                return Ok(give_up(failed, runs, Refusal::Cold, wait_ms)?);
            }
            Err(Refusal::Paused) => {
                let wait_ms = pause_ms(dispatch, call, service);
                return Ok(give_up(failed, runs, Refusal::Paused, wait_ms)?);
            }
            Err(reason @ (Refusal::Evacuated | Refusal::Region)) => {
                return Ok(give_up(failed, runs, reason, Some(UNSERVABLE_RETRY_MS))?);
            }
            Err(Refusal::Brittle) => {
                let waits = waiting.is_some()
                    || brittleness.as_ref().is_some_and(|brittleness| {
                        waiting = brittleness.wait(own_places(dispatch, service));
                        waiting.is_some()
                    });
                if !waits || call.age_ms(&dispatch.clock) >= place_wait_ms(call) {
                    return Ok(give_up(failed, runs, Refusal::Brittle, None)?);
                }
                sleep_ms(PLACE_POLL_MS).await;
                continue;
            }
            // What was tried until now received nothing.
            Err(Refusal::NoUpstream) if sends == 0 && !tried.is_empty() => {
                return Err(Unserved::Unreached { runs });
            }
            Err(reason) => return Ok(give_up(failed, runs, reason, None)?),
        };
        if call.remaining_ms(&dispatch.clock) == 0 {
            return if runs > 0 {
                Err(CallError::TimedOut.into())
            } else {
                Ok(give_up(failed, runs, Refusal::TimedOut, None)?)
            };
        }
        let sent_ms = dispatch.clock.now_ms();
        let attempt = attempt(dispatch, call, &upstream, runs).await;
        tried.push(upstream.record.name.clone());
        match attempt {
            Ok(response) if !may_retry_elsewhere(call, &response) => {
                if response.status().is_success() {
                    record_success(dispatch, call, dispatch.clock.now_ms());
                }
                return Ok(response);
            }
            Ok(response) => {
                runs += 1;
                failed = Some(response);
            }
            Err(SendFailure::Unreached) => {
                // The upstream received nothing, so the next attempt does not count as a retry.
                log_attempt(call, &upstream, "not run", "not reached");
                continue;
            }
            Err(SendFailure::Cold) => {
                // Another request took the turn after the choice.
                tried.pop();
                continue;
            }
            Err(SendFailure::Withheld(reason)) => {
                return Ok(give_up(failed, runs, reason, None)?);
            }
            Err(SendFailure::NotRun(reason)) => log_attempt(call, &upstream, "not run", reason),
            Err(SendFailure::Lost(reason)) => {
                log_attempt(call, &upstream, "lost", reason);
                let progress = LastProgress { alive_ms: sent_ms, ..LastProgress::default() };
                report_if_ended(dispatch, call, &upstream, progress).await;
                runs += 1;
                if call.route.retry_policy != RetryPolicy::Idempotent {
                    return Err(call.lost_answer_error(&dispatch.clock).into());
                }
            }
        }
        sends += 1;
        let may_send = sends < MAX_SENDS && runs < call.route.max_attempts;
        if !may_send || !dispatch.try_retry(service) {
            return Ok(give_up(failed, runs, Refusal::NotRun, None)?);
        }
        if failed.is_none() && dispatch.has_lost_links(service) {
            return Err(Unserved::Unreached { runs });
        }
    }
}

/// The answer once no further attempt is allowed: an upstream's error response if there is one.
/// `wait_ms` is the time until an upstream takes requests again, if that is known.
fn give_up(
    failed: Option<Response<Body>>,
    runs: u32,
    reason: Refusal,
    wait_ms: Option<u64>,
) -> Result<Response<Body>, CallError> {
    match failed {
        Some(response) => Ok(response),
        None if runs > 0 => Err(CallError::OutcomeUnknown),
        None => {
            let retry_after_ms = match reason {
                Refusal::Suspected | Refusal::Quarantined => reason.withheld_retry_ms(),
                _ => Some(REFUSED_RETRY_MS.max(wait_ms.unwrap_or(0))),
            };
            Err(CallError::Refused { reason, retry_after_ms })
        }
    }
}

/// True for a server error on an idempotent request, which another upstream may still serve.
fn may_retry_elsewhere(call: &Call, response: &Response<Body>) -> bool {
    call.route.retry_policy == RetryPolicy::Idempotent && response.status().is_server_error()
}

async fn attempt(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    runs: u32,
) -> Result<Response<Body>, SendFailure> {
    let started_ms = dispatch.clock.now_ms();
    let limit_ms = call.attempt_limit_ms(&dispatch.clock, runs);
    let options = SendOptions { limit_ms, ..SendOptions::default() };
    let sent = send(dispatch, call, upstream, &options).await?;
    let left_ms = limit_ms.saturating_sub(dispatch.clock.now_ms() - started_ms);
    let response = read_whole(dispatch, upstream, sent, left_ms).await?;
    let is_good = !response.status().is_server_error();
    upstream.record_answer(is_good, dispatch.clock.now_ms() - started_ms);
    Ok(response)
}

/// How old a call may become that waits for a place at brittle upstreams: later, its answer would come too
/// late to be of use.
fn place_wait_ms(call: &Call) -> u64 {
    const WAIT_SHARE: f64 = 0.5;
    (call.route.target_latency_ms as f64 * WAIT_SHARE) as u64
}

/// The time until an upstream of `service` takes requests again, if they all want none now.
fn pause_ms(dispatch: &Dispatch, call: &Call, service: &Service) -> Option<u64> {
    let upstreams = dispatch.directory.load();
    let eligibility = Eligibility::new(dispatch, &call.regions);
    let live = upstreams.of_service(service).iter();
    let live = live.filter(|upstream| eligibility.allows(upstream));
    shortest_pause_ms(live, dispatch.clock.now_ms())
}

/// Chooses the upstream for the next attempt, none of those already `tried`.
fn choose(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
    tried: &[Upstream],
) -> Result<Arc<UpstreamState>, Refusal> {
    let upstreams = dispatch.directory.load();
    let of_service = upstreams.of_service(service);
    let eligibility = Eligibility::new(dispatch, &call.regions);
    let eligible = of_service.iter().filter(|upstream| eligibility.allows(upstream));
    let candidates: Vec<_> =
        eligible.filter(|upstream| !tried.contains(&upstream.record.name)).collect();
    if candidates.is_empty() {
        return Err(eligibility.refusal(of_service.iter()).unwrap_or(Refusal::NoUpstream));
    }
    if let Some(fewer) = without_returning(dispatch, &candidates)
        && let Ok(upstream) = choose_among(dispatch, fewer)
    {
        return Ok(upstream);
    }
    choose_among(dispatch, candidates)
}

/// Chooses one of `candidates`, which may all get the call.
fn choose_among(
    dispatch: &Dispatch,
    mut candidates: Vec<&Arc<UpstreamState>>,
) -> Result<Arc<UpstreamState>, Refusal> {
    let now_ms = dispatch.clock.now_ms();
    candidates.retain(|upstream| upstream.pause_left_ms(now_ms) == 0);
    if candidates.is_empty() {
        return Err(Refusal::Paused);
    }
    candidates.retain(|upstream| free_places(dispatch, upstream, now_ms) > 0);
    if candidates.is_empty() {
        return Err(Refusal::Brittle);
    }
    retain_with_turns(dispatch, &mut candidates);
    if candidates.is_empty() {
        return Err(Refusal::Cold);
    }
    retain_within_limits(dispatch, &mut candidates);
    let views: Vec<_> =
        candidates.iter().map(|upstream| view(dispatch, upstream, now_ms)).collect();
    let chosen = choose_upstream(&views, |_| rand::random::<f64>() * CHOICE_NOISE);
    let chosen = chosen.and_then(|chosen| candidates.get(chosen));
    chosen.map(|upstream| Arc::clone(upstream)).ok_or(Refusal::Limited)
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
