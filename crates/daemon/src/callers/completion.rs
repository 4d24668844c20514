use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::GenerationId;
use comfreymast_decide::routing::{Candidate, least_outstanding};
use comfreymast_net::Body;
use comfreymast_wire::engine::StartGeneration;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::ask::Ask;
use super::call_error::CallError;
use super::caller::Caller;
use super::stream;
use crate::burn::RequestRecord;
use crate::claims::{Admission, admit, outlive_caller};
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::upstream::{EngineStream, StartError};

const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Runs one completion: reads it, chooses an engine, starts the generation and relays it.
pub(crate) async fn run(
    daemon: &Arc<Daemon>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    let ask = Ask::read(daemon, &caller.contract, request).await?;
    let record = daemon.burn.begin(&daemon.clock, &caller.contract.organisation, &ask.work);
    let answered = generate(daemon, caller, ask, record.clone()).await;
    if let Err(error) = &answered {
        record.failed(error);
    }
    answered
}

async fn generate(
    daemon: &Arc<Daemon>,
    caller: Caller,
    ask: Ask,
    record: RequestRecord,
) -> Result<Response<Body>, CallError> {
    let mut claim = match admit(daemon, &ask.asked).await? {
        Admission::Replay(answer) => return Ok(answer),
        Admission::Run(claim) => claim,
    };
    let start = StartGeneration {
        generation: GenerationId::random(),
        fence: 1,
        model: ask.work.model.clone(),
        prompt: ask.prompt.clone(),
        max_tokens: ask.max_tokens,
        priority: ask.work.priority,
        resume: Vec::new(),
    };
    let engine = choose(daemon, &start)
        .ok_or(CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS })?;
    claim.dispatching();
    let tokens = EngineStream::start(daemon, &engine, &start).await.map_err(|error| {
        daemon.metrics.failed_attempts.inc();
        match error {
            StartError::NotRun { .. } => {
                claim.refused();
                CallError::NoUpstream { retry_after_ms: NO_UPSTREAM_RETRY_MS }
            }
            StartError::Unknown { .. } => CallError::OutcomeUnknown,
        }
    })?;
    if ask.stream {
        Ok(stream::relay(daemon, &caller, &ask, tokens, claim, record.stream()))
    } else if claim.is_claimed() {
        let daemon = daemon.clone();
        let collecting = stream::collect(daemon.clone(), caller, ask, tokens, claim, record);
        outlive_caller(&daemon, collecting).await
    } else {
        stream::collect(daemon.clone(), caller, ask, tokens, claim, record).await
    }
}

/// The engine that gets a generation.
fn choose(daemon: &Daemon, start: &StartGeneration) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let engines: Vec<_> = directory.engines(&start.model).collect();
    let candidates: Vec<_> = engines.iter().map(|engine| candidate(daemon, engine)).collect();
    let chosen = least_outstanding(&candidates)?;
    engines.get(chosen).map(|engine| Arc::clone(engine))
}

/// What routing needs to know of an upstream.
pub(crate) fn candidate(daemon: &Daemon, upstream: &UpstreamState) -> Candidate {
    let load = upstream.live.load.load();
    Candidate {
        outstanding: upstream.live.outstanding.load(Ordering::Acquire),
        reported: load.running + load.waiting,
        is_near: upstream.data_centre == daemon.settings.data_centre,
    }
}
