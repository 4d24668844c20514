use std::sync::Arc;

use comfreymast_net::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::call_error::CallError;
use super::caller::Caller;
use super::completion_request::CompletionRequest;
use super::generation::Generation;
use super::stream;
use crate::burn::RequestRecord;
use crate::claims::{Admission, admit, run_detached};
use crate::daemon::Daemon;
use crate::quarantine::check;

/// Runs one completion: reads the request, starts a generation on an engine and relays its tokens.
pub(crate) async fn run(
    daemon: &Arc<Daemon>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, CallError> {
    let completion = CompletionRequest::read(daemon, &caller.contract, request).await?;
    let record = daemon.burn.begin(&daemon.clock, &caller.contract.organisation, &completion.work);
    let result = generate(daemon, caller, completion, record.clone()).await;
    if let Err(error) = &result {
        record.failed(error);
    }
    result
}

async fn generate(
    daemon: &Arc<Daemon>,
    caller: Caller,
    completion: CompletionRequest,
    record: RequestRecord,
) -> Result<Response<Body>, CallError> {
    check(daemon, &completion.work.model, &completion.prompt)?;
    let claim = match admit(daemon, &completion.repeat_policy).await? {
        Admission::Replay(answer) => return Ok(answer),
        Admission::Run(claim) => claim,
    };
    let is_claimed = claim.is_claimed();
    let organisation = &caller.contract.organisation;
    let generation = Generation::begin(daemon, organisation, &completion, claim).await?;
    if completion.stream {
        return Ok(stream::relay(daemon, &caller, generation, record.stream()));
    }
    let collecting = stream::collect(daemon.clone(), caller, generation, record);
    if is_claimed { run_detached(daemon, collecting).await } else { collecting.await }
}
