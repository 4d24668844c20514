use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_decide::routing::{Candidate, least_outstanding};
use comfreymast_net::Body;
use comfreymast_wire::engine::StartGeneration;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::ask::Ask;
use super::call_error::CallError;
use super::caller::Caller;
use super::generation::Generation;
use super::stream;
use crate::burn::RequestRecord;
use crate::claims::{Admission, admit, outlive_caller};
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::quarantine::{check, fingerprint};

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
    check(daemon, &ask.work.model, &ask.prompt)?;
    let claim = match admit(daemon, &ask.asked).await? {
        Admission::Replay(answer) => return Ok(answer),
        Admission::Run(claim) => claim,
    };
    let is_claimed = claim.is_claimed();
    let organisation = &caller.contract.organisation;
    let generation = Generation::begin(daemon, organisation, &ask, claim).await?;
    if ask.stream {
        return Ok(stream::relay(daemon, &caller, generation, record.stream()));
    }
    let collecting = stream::collect(daemon.clone(), caller, generation, record);
    if is_claimed { outlive_caller(daemon, collecting).await } else { collecting.await }
}

/// The engine that gets a generation, which none of those tried does.
pub(crate) fn choose(
    daemon: &Daemon,
    start: &StartGeneration,
    tried: &[SocketAddr],
) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let engines = directory.engines(&start.model);
    let mut engines: Vec<_> = engines.filter(|engine| !tried.contains(&engine.addr)).collect();
    let now_ms = daemon.clock.now_ms();
    let fingerprint = || fingerprint(&start.model, &start.prompt);
    let avoided = daemon.quarantine.engines_to_avoid(fingerprint, now_ms);
    let suits = |engine: &&Arc<UpstreamState>| {
        !engine.is_avoided(now_ms) && !avoided.contains(&engine.addr)
    };
    if engines.iter().any(suits) {
        engines.retain(suits);
    }
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
