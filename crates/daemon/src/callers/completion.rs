use std::sync::Arc;

use comfreymast_net::Body;
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
use crate::quarantine::check;

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
