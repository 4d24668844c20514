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
use crate::daemon::Daemon;
use crate::directory::UpstreamState;

/// Runs one completion: reads it, chooses an engine, starts the generation and relays it.
pub(crate) async fn run(
    daemon: &Arc<Daemon>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    let ask = Ask::read(daemon, &caller.contract, request).await?;
    let record = daemon.burn.begin(&daemon.clock, &caller.contract.organisation, &ask.work);
    let answered = generate(daemon, &caller, &ask, &record).await;
    if let Err(error) = &answered {
        record.failed(error);
    }
    answered
}

async fn generate(
    daemon: &Arc<Daemon>,
    caller: &Caller,
    ask: &Ask,
    record: &RequestRecord,
) -> Result<Response<Body>, CallError> {
    let generation = Generation::begin(daemon, &caller.contract.organisation, ask).await?;
    if ask.stream {
        Ok(stream::relay(daemon, caller, generation, Some(record.stream())))
    } else {
        stream::collect(daemon, caller, generation, record).await
    }
}

/// The engine that gets a generation, which none of those tried does.
pub(crate) fn choose(
    daemon: &Daemon,
    start: &StartGeneration,
    tried: &[SocketAddr],
) -> Option<Arc<UpstreamState>> {
    let directory = daemon.directory.load();
    let engines = directory.engines(&start.model);
    let engines: Vec<_> = engines.filter(|engine| !tried.contains(&engine.addr)).collect();
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
