use std::sync::{Arc, OnceLock};

use comfreymast_decide::data_centres::RegionNeed;
use comfreymast_net::{Body, RequestProgress};
use comfreymast_platform::{RequestHead, request_id};
use futures_lite::future;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, Version};

use crate::call::Call;
use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;
use crate::evacuation::{UNSERVABLE_RETRY_MS, service_refusal};
use crate::forward::forward;
use crate::metrics::{OutcomeLabels, UnservableLabels};
use crate::request_body::{BodyRead, read_body};
use crate::stream_origin::{Destination, destination};
use crate::unserved::Unserved;
use crate::{generation, plain};

/// Answers a caller's request.
pub(crate) async fn answer(dispatch: Arc<Dispatch>, request: Request<Incoming>) -> Response<Body> {
    let started_ms = dispatch.clock.now_ms();
    let id = request_id(request.headers()).map(str::to_owned);
    let mut response = match admit(&dispatch, request, started_ms).await {
        Ok(call) => serve_until_end(&dispatch, Arc::new(call)).await,
        Err(error) => {
            let known = dispatch.configuration.load();
            log::info!(target: "comfreymast", code = 1101, request = id.as_deref(),
                version = known.as_ref().map(|known| known.version),
                status = error.status().as_u16(), error:%; "request not admitted");
            count_outcome(&dispatch, "", error.status().as_str());
            error.response()
        }
    };
    if dispatch.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Serves a call, or says that its outcome is unknown just before the platform ends this daemon.
async fn serve_until_end(dispatch: &Arc<Dispatch>, call: Arc<Call>) -> Response<Body> {
    let ended = async {
        dispatch.wait_end().await;
        let error = CallError::OutcomeUnknown;
        log::warn!(target: "comfreymast", code = 1107, request = &*call.head.id,
            route = &*call.route.name, age_ms = call.age_ms(&dispatch.clock);
            "daemon ends before the request was answered");
        count_outcome(dispatch, "", &error.to_string());
        error.response()
    };
    future::or(serve(dispatch, call.clone()), ended).await
}

async fn serve(dispatch: &Arc<Dispatch>, call: Arc<Call>) -> Response<Body> {
    let Some(drawn) = call.route.target(rand::random()) else {
        return CallError::NoRoute.response();
    };
    let destination = destination(dispatch, &call, drawn).await;
    let service = destination.as_ref().map_or(drawn, |destination| &destination.service).clone();
    dispatch.budget.record_request(&service, dispatch.clock.now_ms());
    let answered = match destination {
        Ok(destination) => run(dispatch, &call, &destination).await,
        Err(error) => Err(error),
    };
    let latency_ms = call.age_ms(&dispatch.clock);
    let (response, outcome) = match answered {
        Ok(response) => {
            let outcome = response.status().as_str().to_owned();
            (response, outcome)
        }
        Err(error) => (error.response(), error.to_string()),
    };
    const MS_PER_S: f64 = 1_000.0;
    dispatch.metrics.latency_s.observe(latency_ms as f64 / MS_PER_S);
    count_outcome(dispatch, service.as_str(), &outcome);
    log::info!(target: "comfreymast", code = 1102, request = &*call.head.id,
        route = &*call.route.name, service = service.as_str(), version = call.version,
        status = response.status().as_u16(), outcome = outcome.as_str(), latency_ms;
        "request answered");
    response
}

/// Serves a call at an upstream, by a peer if this daemon reaches none.
async fn run(
    dispatch: &Arc<Dispatch>,
    call: &Arc<Call>,
    destination: &Destination,
) -> Result<Response<Body>, CallError> {
    let service = &destination.service;
    if let Some(reason) = service_refusal(dispatch, call, service) {
        // A peer would refuse it too.
        return Err(unservable(dispatch, reason));
    }
    let has_lost_links = dispatch.has_lost_links(service);
    if has_lost_links && let Some(answered) = forward(dispatch, call, service, 0).await {
        return answered;
    }
    // Without a peer that takes it, it is tried here all the same.
    let runs = match run_here(dispatch, call, destination, 0).await {
        Ok(response) => return Ok(response),
        Err(Unserved::Error(error)) => return Err(error),
        Err(Unserved::Unreached { runs }) if has_lost_links => return Err(unreached_error(runs)),
        Err(Unserved::Unreached { runs }) => runs,
    };
    let answered = forward(dispatch, call, service, runs).await;
    answered.unwrap_or_else(|| Err(unreached_error(runs)))
}

/// Serves a call at an upstream that this daemon reaches. `earlier_runs` upstreams may have run it
/// already.
pub(crate) async fn run_here(
    dispatch: &Arc<Dispatch>,
    call: &Arc<Call>,
    destination: &Destination,
    earlier_runs: u32,
) -> Result<Response<Body>, Unserved> {
    if call.route.is_stream {
        generation::run(dispatch, call, destination, earlier_runs).await
    } else {
        plain::run(dispatch, call, &destination.service, earlier_runs).await
    }
}

/// The answer to a call that no upstream may get.
fn unservable(dispatch: &Dispatch, reason: Refusal) -> CallError {
    let label = if reason == Refusal::Region { "region" } else { "evacuated" };
    dispatch.metrics.unservable.get_or_create(&UnservableLabels { reason: label }).inc();
    CallError::Refused { reason, retry_after_ms: Some(UNSERVABLE_RETRY_MS) }
}

fn unreached_error(runs: u32) -> CallError {
    const UNREACHED_RETRY_MS: u64 = 150;
    if runs > 0 {
        return CallError::OutcomeUnknown;
    }
    CallError::Refused { reason: Refusal::Unreached, retry_after_ms: Some(UNREACHED_RETRY_MS) }
}

fn count_outcome(dispatch: &Dispatch, service: &str, outcome: &str) {
    let labels = OutcomeLabels { service: service.to_owned(), outcome: outcome.to_owned() };
    dispatch.metrics.requests.get_or_create(&labels).inc();
}

/// Checks a request against the configuration in force and reads its body.
async fn admit(
    dispatch: &Dispatch,
    mut request: Request<Incoming>,
    started_ms: u64,
) -> Result<Call, CallError> {
    let configuration = dispatch.configuration.load_full().ok_or(CallError::NotReady)?;
    let progress = RequestProgress::take(&mut request);
    let (parts, body) = request.into_parts();
    let head = RequestHead::decode(&parts)?;
    let route =
        configuration.routes.find(&head.host, parts.uri.path()).ok_or(CallError::NoRoute)?;
    let key_holder = if route.is_public || !configuration.keyring.is_enforced() {
        None
    } else {
        let holder = head.key.as_deref().and_then(|key| configuration.keyring.holder(key));
        Some(holder.ok_or(CallError::UnknownKey)?.clone())
    };
    if route.is_stream && parts.version < Version::HTTP_11 {
        return Err(CallError::VersionTooOld);
    }
    let timeout_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let read = BodyRead {
        limit_bytes: configuration.limits.max_body_bytes,
        timeout_ms,
        organisation: key_holder.as_ref().map(|holder| holder.organisation.clone()),
        progress,
    };
    let body = read_body(dispatch, body, read).await?;
    // Its head or body was under way when the daemon closed its listener and idle connections.
    if dispatch.takes_no_more() {
        return Err(CallError::stopping());
    }
    let of_holder = key_holder.as_ref().and_then(|holder| holder.allowed_regions.as_deref());
    Ok(Call {
        regions: RegionNeed::of(route.allowed_regions.as_deref(), of_holder),
        route: route.clone(),
        key_holder,
        version: configuration.version,
        started_ms,
        timeout_at_ms: started_ms + timeout_ms,
        head,
        parts,
        body: body.into(),
        content: OnceLock::new(),
    })
}
