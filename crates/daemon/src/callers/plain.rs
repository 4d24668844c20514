use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use comfreymast_base::{EndMark, Upstream};
use comfreymast_contract::Route;
use comfreymast_decide::answer_end::{AnswerEnd, BreakReason, Verdict, judge};
use comfreymast_decide::retry::{
    RetryBudget, SlowStartOptions, WeightedUpstream, least_weighted_load,
};
use comfreymast_net::{Body, BodyError, Connection, DialError, ResponseBody, dial, full, within};
use derive_more::{Display, Error, From};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};

use super::answer::{Outcome, set_outcome};
use super::call_error::CallError;
use super::caller::Caller;
use super::completion_request::read_body;
use crate::claims::{Admission, RepeatPolicy, RunPermit, admit, run_detached};
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::events;

const DIAL_LIMIT_MS: u64 = 1_000;
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Forwards one call to a plain service.
pub(crate) async fn run(
    daemon: &Arc<Daemon>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    let (method, path) = (request.method(), request.uri().path());
    let route = caller
        .contract
        .route_for(method.as_str(), path)
        .ok_or_else(|| CallError::NotAllowed { what: format!("{method} {path}") })?;
    let route = route.clone();
    let (head, body) = read_body(daemon, &caller.contract.organisation, request).await?;
    let organisation = &caller.contract.organisation;
    let repeat_policy = RepeatPolicy::read(organisation, &head, &body, route.repeatable)?;
    let permit = match admit(daemon, &repeat_policy).await? {
        Admission::Replay(answer) => return Ok(answer),
        Admission::Run(permit) => permit,
    };
    let budget = daemon.retry_budgets.of(organisation, daemon.clock.now_ms());
    let is_retry = repeat_policy.is_retry;
    let call = PlainCall { daemon: daemon.clone(), route, head, body, budget, is_retry };
    let answer = if permit.is_claimed() {
        run_detached(daemon, call.run(permit)).await?
    } else {
        call.run(permit).await?
    };
    let mut response = answer.map(full);
    set_outcome(&mut response, Outcome::Done);
    Ok(response)
}

/// One call, with the state that its attempts share.
struct PlainCall {
    daemon: Arc<Daemon>,
    route: Route,
    head: Parts,
    body: Bytes,
    budget: Arc<RetryBudget>,
    is_retry: bool,
}

/// Why an exchange gave no whole answer.
#[derive(Debug, Display, Error, From)]
enum ExchangeError {
    /// Sending the request or waiting for the head of the answer failed.
    Dial(DialError),
    /// The answer is too long.
    Body(BodyError),
    /// The answer broke off.
    BrokeOff(BreakReason),
}

/// How one attempt ended.
enum Attempt {
    /// The server answered.
    Answered(Response<Bytes>),
    /// No byte reached the server, or it refused the call without running it.
    NotRun,
    /// The server may have run the call.
    Lost,
}

impl PlainCall {
    /// Tries servers until one answers or no further attempt is allowed.
    async fn run(self, mut permit: RunPermit) -> Result<Response<Bytes>, CallError> {
        let daemon = &self.daemon;
        self.budget.record_request(daemon.clock.now_ms());
        let max_attempts = if self.is_retry { 1 } else { self.budget.max_attempts() };
        let mut tried = Vec::new();
        while let Some(server) = choose_server(daemon, &self.route, &tried) {
            match self.attempt(&server, &mut permit).await? {
                Attempt::Answered(answer) => {
                    server.live.health.record_success(daemon.clock.now_ms());
                    permit.complete_with(&answer);
                    return Ok(answer);
                }
                Attempt::NotRun => permit.mark_refused(),
                Attempt::Lost => permit.mark_lost(),
            }
            tried.push(server.name.clone());
            let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
            let may_retry = attempts < max_attempts
                && permit.allows_attempt()
                && self.budget.try_retry(daemon.clock.now_ms());
            if !may_retry {
                break;
            }
            daemon.metrics.retries.inc();
        }
        if permit.may_have_run() {
            return Err(CallError::OutcomeUnknown);
        }
        Err(CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS })
    }

    async fn attempt(
        &self,
        server: &Arc<UpstreamState>,
        permit: &mut RunPermit,
    ) -> Result<Attempt, CallError> {
        let _running = server.begin();
        let forwarded = self.forwarded_request(server)?;
        let mut connection = match dial(&self.daemon.spawner, server.addr, DIAL_LIMIT_MS).await {
            Ok(connection) => connection,
            Err(error) => {
                server.live.health.record_failure(self.daemon.clock.now_ms());
                self.record_failed_attempt(server, &error);
                return Ok(Attempt::NotRun);
            }
        };
        permit.mark_dispatched();
        let exchange = self.exchange(server, &mut connection, forwarded);
        let answer = match within(self.daemon.settings.call_limit_ms, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                self.record_failed_attempt(server, &error);
                return Ok(Attempt::Lost);
            }
            Err(elapsed) => {
                self.record_failed_attempt(server, &elapsed);
                return Ok(Attempt::Lost);
            }
        };
        Ok(classify(answer))
    }

    async fn exchange(
        &self,
        server: &UpstreamState,
        connection: &mut Connection,
        request: Request<Body>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (mut head, body) = connection.send(request).await?.into_parts();
        let mut body = ResponseBody::new(&head, body);
        let (bytes, mark) = body.read(MAX_ANSWER_BYTES).await?;
        self.check_end(server, mark).await?;
        // An older version would frame our answer like the server's.
        head.version = Version::HTTP_11;
        head.headers.remove(CONNECTION);
        head.headers.remove(TRANSFER_ENCODING);
        Ok(Response::from_parts(head, bytes))
    }

    /// Checks that an answer that ended is whole.
    async fn check_end(&self, server: &UpstreamState, mark: EndMark) -> Result<(), BreakReason> {
        match judge(AnswerEnd::of(mark)) {
            Verdict::Whole => Ok(()),
            Verdict::Broken(reason) => Err(reason),
            Verdict::WholeIfUpstreamLives => {
                let dialled = dial(&self.daemon.spawner, server.addr, DIAL_LIMIT_MS).await;
                let has_ended = dialled.is_err_and(|error| error.is_refused());
                if has_ended { Err(BreakReason::UpstreamEnded) } else { Ok(()) }
            }
        }
    }

    /// The request as it is forwarded: without the caller's key and connection headers.
    fn forwarded_request(&self, server: &UpstreamState) -> Result<Request<Body>, CallError> {
        let mut request = Request::new(full(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() =
            path.parse().map_err(|_| CallError::Malformed { reason: "bad path".to_owned() })?;
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        headers.remove(AUTHORIZATION);
        headers.remove(CONNECTION);
        headers.remove(TRANSFER_ENCODING);
        if let Ok(host) = HeaderValue::from_str(&server.addr.to_string()) {
            headers.insert(HOST, host);
        }
        Ok(request)
    }

    fn record_failed_attempt(&self, server: &UpstreamState, error: &dyn std::fmt::Display) {
        self.daemon.metrics.failed_attempts.inc();
        events::ATTEMPT_FAILED.log(format_args!("{}: {error}", server.name));
    }
}

/// Classifies an attempt by the status of the answer.
fn classify(answer: Response<Bytes>) -> Attempt {
    match answer.status() {
        // Plain services send these only before they run a call; see docs/design/outcomes.md.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Attempt::NotRun,
        // The answer was lost between the server and its own back end.
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Attempt::Lost,
        _ => Attempt::Answered(answer),
    }
}

/// Chooses the server for the next attempt among those not tried yet.
fn choose_server(daemon: &Daemon, route: &Route, tried: &[Upstream]) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let untried = directory.servers(&route.service).filter(|server| !tried.contains(&server.name));
    let servers: Vec<_> = untried.collect();
    let weighted: Vec<_> = servers.iter().map(|server| weighted_server(daemon, server)).collect();
    let chosen = least_weighted_load(&weighted)?;
    servers.get(chosen).map(|server| Arc::clone(server))
}

fn weighted_server(daemon: &Daemon, server: &UpstreamState) -> WeightedUpstream {
    let health = &server.live.health;
    WeightedUpstream {
        outstanding: server.live.outstanding.load(Ordering::Acquire),
        weight_permille: health.weight_permille(SlowStartOptions::default(), daemon.clock.now_ms()),
        is_near: server.data_centre == daemon.settings.data_centre,
    }
}
