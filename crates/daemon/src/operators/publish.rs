use std::collections::BTreeSet;

use bytes::Bytes;
use comfreymast_base::{DaemonName, OperationId};
use comfreymast_contract::Contract;
use comfreymast_ledger::{Applied, AppliedOperation, Ledger, SkipReason, request_digest};
use comfreymast_net::{Body, Elapsed, Query, collect, within};
use comfreymast_platform::{LogError, VmState};
use comfreymast_wire::log::{ContractChange, Record, record};
use derive_more::{Display, Error, From};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prost::Message;

use super::front::reply;
use super::{OperatorError, PublishReply};
use crate::daemon::Daemon;

const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// How long an appended record may take to come back from the log.
const APPLY_LIMIT_MS: u64 = 5_000;
/// How long the other daemons may take to confirm that they applied it.
const CONFIRM_LIMIT_MS: u64 = 5_000;
/// Allowance for the transit time of a last heartbeat, on top of the maximum age of evidence.
const HEARTBEAT_TRANSIT_MS: u64 = 500;

/// Why a contract was not published.
#[derive(Debug, Display, Error, From)]
enum PublishError {
    /// The request is malformed.
    #[display("{reason}")]
    #[from(ignore)]
    Request {
        /// What is wrong with the request.
        reason: &'static str,
    },
    /// The document is not a valid contract.
    #[display("{_0}")]
    Contract(comfreymast_contract::ContractError),
    /// The ledger skipped the change, as it does on every daemon.
    #[display("{_0}")]
    Refused(SkipReason),
    /// Nothing was published.
    #[display("nothing was published: {_0}")]
    Log(LogError),
    /// The operation was already used for another change.
    #[display("the operation was used for another change; use a new one")]
    #[from(ignore)]
    Reused,
    /// The change may have been published; publishing again with the same operation tells.
    #[display(
        "the log does not tell whether the change took effect; publish again with the same operation"
    )]
    #[from(ignore)]
    Unknown,
}

/// The query parameters of a publication.
struct Publication {
    base_revision: u64,
    author: String,
    operation: OperationId,
    /// True when an earlier attempt with this operation may have taken effect.
    is_retry: bool,
}

impl Publication {
    fn read(query: &Query) -> Result<Self, PublishError> {
        let base = query.get("base").and_then(|base| base.parse().ok());
        let operation = match query.get("operation") {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| PublishError::Request {
                reason: "operation=ID must be 32 hexadecimal digits",
            })?),
        };
        Ok(Self {
            base_revision: base
                .ok_or(PublishError::Request { reason: "base=REVISION is required" })?,
            author: query.get("author").unwrap_or("operator").to_owned(),
            operation: operation.unwrap_or_else(OperationId::random),
            is_retry: operation.is_some() && query.get("first") != Some("true"),
        })
    }
}

/// `PUT /contracts/{organisation}?base=N&author=A&operation=ID&first=true` with the document as
/// its body. `first=true` asserts that no earlier attempt used the operation.
pub(super) async fn put(
    daemon: &Daemon,
    organisation: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let query = Query::parse(request.uri().query().unwrap_or_default());
    let publication = match Publication::read(&query) {
        Ok(publication) => publication,
        Err(error) => return error_reply(&error, None),
    };
    match publish(daemon, organisation, &publication, request).await {
        Ok(published) if published.accepted => reply(StatusCode::OK, &published),
        Ok(published) => reply(StatusCode::ACCEPTED, &published),
        Err(error) => error_reply(&error, Some(publication.operation)),
    }
}

async fn publish(
    daemon: &Daemon,
    organisation: &str,
    publication: &Publication,
    request: Request<Incoming>,
) -> Result<PublishReply, PublishError> {
    let body = collect(request.into_body(), MAX_DOCUMENT_BYTES).await;
    let body = body.map_err(|_| PublishError::Request { reason: "the document is too long" })?;
    let document = std::str::from_utf8(&body)
        .map_err(|_| PublishError::Request { reason: "the document is not UTF-8" })?;
    let contract = Contract::parse(document)?;
    if contract.organisation.as_str() != organisation {
        return Err(PublishError::Request { reason: "the document names another organisation" });
    }
    let change = ContractChange {
        organisation: organisation.to_owned(),
        base_revision: publication.base_revision,
        document: document.to_owned(),
        author: publication.author.clone(),
        published_unix_ms: daemon.clock.unix_ms(),
    };
    let digest = request_digest(&change);
    append(daemon, publication, change).await?;
    let operation = wait_until_applied(daemon, publication.operation).await?;
    if operation.request_digest != digest {
        return Err(PublishError::Reused);
    }
    let revision = match operation.applied {
        Applied::Contract { revision, .. } => revision,
        Applied::Skipped(skip) => return Err(skip.into()),
        _ => return Err(PublishError::Unknown),
    };
    let lagging = wait_for_confirmations(daemon, operation.offset).await;
    let fleet_known = daemon.directory.load().is_known;
    Ok(PublishReply {
        revision,
        operation: publication.operation.to_string(),
        offset: operation.offset,
        accepted: lagging.is_empty() && fleet_known,
        lagging,
        fleet_known,
    })
}

/// Appends the change, unless the log contains the operation already.
async fn append(
    daemon: &Daemon,
    publication: &Publication,
    change: ContractChange,
) -> Result<(), PublishError> {
    if publication.is_retry {
        // An earlier attempt may have appended the change, so the log is read before appending.
        read_to_end(daemon).await.map_err(|_| PublishError::Unknown)?;
    }
    if daemon.ledger.ledger().operation(publication.operation).is_some() {
        return Ok(());
    }
    let record = Record {
        operation_id: publication.operation.to_vec().into(),
        body: Some(record::Body::Contract(change)),
    };
    match daemon.log.append(vec![Bytes::from(record.encode_to_vec())]).await {
        // If the reply was lost, the ledger will show whether the record was appended.
        Ok(_) | Err(LogError::OutcomeUnknown { .. } | LogError::Malformed { .. }) => Ok(()),
        Err(_) if publication.is_retry => Err(PublishError::Unknown),
        Err(error) => Err(error.into()),
    }
}

/// Waits until everything that was on the log at the time of the call is applied.
pub(super) async fn read_to_end(daemon: &Daemon) -> Result<(), ReadToEndError> {
    let end_offset = daemon.log.read(daemon.ledger.next_offset(), 1, 0).await?.end_offset;
    let applied =
        daemon.ledger.wait_for(|ledger| (ledger.next_offset() >= end_offset).then_some(()));
    Ok(within(APPLY_LIMIT_MS, applied).await?)
}

/// Why the log could not be read to its end.
#[derive(Debug, Display, Error, From)]
pub(super) enum ReadToEndError {
    /// The log could not be read.
    #[display("{_0}")]
    Log(LogError),
    /// Records on the log were not applied in time.
    #[display("the log's end was not folded: {_0}")]
    NotApplied(Elapsed),
}

/// Waits until the operation is applied.
async fn wait_until_applied(
    daemon: &Daemon,
    operation: OperationId,
) -> Result<AppliedOperation, PublishError> {
    let find = |ledger: &Ledger| ledger.operation(operation).cloned();
    let applied = daemon.ledger.wait_for(find);
    within(APPLY_LIMIT_MS, applied).await.map_err(|_| PublishError::Unknown)
}

/// Waits until every live daemon has applied `offset`; returns those that have not.
async fn wait_for_confirmations(daemon: &Daemon, offset: u64) -> Vec<String> {
    let confirmed = async {
        loop {
            let heartbeat = daemon.peers.heartbeat_received();
            if lagging(daemon, offset).is_empty() {
                return;
            }
            heartbeat.await;
        }
    };
    let _ = within(CONFIRM_LIMIT_MS, confirmed).await;
    lagging(daemon, offset)
}

/// The daemons that may still serve without having applied `offset`.
///
/// These are the live ones on the VM list, and all others whose last heartbeat is so recent that
/// they may still consider themselves current, such as a paused daemon that was dropped from the
/// list.
fn lagging(daemon: &Daemon, offset: u64) -> Vec<String> {
    let directory = daemon.directory.load();
    let now_ms = daemon.clock.now_ms();
    let table = daemon.peers.table();
    let listed = directory.daemons.iter().filter(|vm| vm.state == VmState::Live);
    let listed = listed.map(|vm| DaemonName::from(vm.name.as_str()));
    let may_serve_ms = daemon.currency.max_age_ms() + HEARTBEAT_TRANSIT_MS;
    let recent = table.heard_within(may_serve_ms, now_ms).map(|(name, _)| name.clone());
    let required: BTreeSet<_> = listed.chain(recent).collect();
    let others = required.into_iter().filter(|name| *name != daemon.settings.name);
    let behind = others.filter(|name| {
        let state = table.last_state(name);
        state.is_none_or(|state| state.next_offset <= offset)
    });
    behind.map(|name| name.to_string()).collect()
}

fn error_reply(error: &PublishError, operation: Option<OperationId>) -> Response<Body> {
    let (status, code) = match error {
        PublishError::Request { .. } => (StatusCode::BAD_REQUEST, "bad_request"),
        PublishError::Contract(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid_contract"),
        PublishError::Refused(SkipReason::Conflict { .. }) => (StatusCode::CONFLICT, "conflict"),
        PublishError::Refused(_) => (StatusCode::UNPROCESSABLE_ENTITY, "refused"),
        PublishError::Reused => (StatusCode::UNPROCESSABLE_ENTITY, "operation_reused"),
        PublishError::Log(_) => (StatusCode::SERVICE_UNAVAILABLE, "log_unavailable"),
        PublishError::Unknown => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
    };
    let error = OperatorError {
        code: code.to_owned(),
        message: error.to_string(),
        operation: operation.map(|operation| operation.to_string()),
    };
    reply(status, &error)
}
