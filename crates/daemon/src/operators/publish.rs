use bytes::Bytes;
use comfreymast_base::{DaemonName, OperationId};
use comfreymast_contract::Contract;
use comfreymast_ledger::{Applied, Ledger, Skip};
use comfreymast_net::{Body, collect, within};
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
const FOLD_LIMIT_MS: u64 = 5_000;
/// How long the other daemons may take to put it in force.
const CONFIRM_LIMIT_MS: u64 = 5_000;

/// Why a contract was not published.
#[derive(Debug, Display, Error, From)]
enum PublishError {
    /// The request cannot be read.
    #[display("{reason}")]
    #[from(ignore)]
    Request {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The document is not a contract.
    #[display("{_0}")]
    Contract(comfreymast_contract::ContractError),
    /// The fold refused it, on every daemon alike.
    #[display("{_0}")]
    Refused(Skip),
    /// Nothing was published.
    #[display("nothing was published: {_0}")]
    Log(LogError),
    /// It may have been published: ask again with the same operation.
    #[display(
        "the log does not tell whether the change took effect; publish again with the same operation"
    )]
    #[from(ignore)]
    Unknown,
}

/// `PUT /contracts/{organisation}?base=N&author=A&operation=ID` with the document as its body.
pub(super) async fn put(
    daemon: &Daemon,
    organisation: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let operation = parameter(&query, "operation").and_then(|id| id.parse().ok());
    let operation = operation.unwrap_or_else(OperationId::random);
    match publish(daemon, organisation, &query, operation, request).await {
        Ok(published) if published.accepted => reply(StatusCode::OK, &published),
        Ok(published) => reply(StatusCode::ACCEPTED, &published),
        Err(error) => refuse(&error, operation),
    }
}

async fn publish(
    daemon: &Daemon,
    organisation: &str,
    query: &str,
    operation: OperationId,
    request: Request<Incoming>,
) -> Result<PublishReply, PublishError> {
    let base = parameter(query, "base").and_then(|base| base.parse().ok());
    let base_revision =
        base.ok_or(PublishError::Request { reason: "base=REVISION is required" })?;
    let author = parameter(query, "author").unwrap_or("operator").to_owned();
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
        base_revision,
        document: document.to_owned(),
        author,
        published_unix_ms: daemon.clock.unix_ms(),
    };
    append(daemon, operation, change).await?;
    let (offset, revision) = folded(daemon, operation).await?;
    let lagging = confirm(daemon, offset).await;
    Ok(PublishReply {
        revision,
        operation: operation.to_string(),
        offset,
        accepted: lagging.is_empty(),
        lagging,
    })
}

async fn append(
    daemon: &Daemon,
    operation: OperationId,
    change: ContractChange,
) -> Result<(), PublishError> {
    // An operation that is folded already is not appended again.
    if daemon.ledger.ledger().operation(operation).is_some() {
        return Ok(());
    }
    let record = Record {
        operation_id: operation.to_vec().into(),
        body: Some(record::Body::Contract(change)),
    };
    match daemon.log.append(vec![Bytes::from(record.encode_to_vec())]).await {
        Ok(_) | Err(LogError::Unknown { .. } | LogError::Malformed { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

/// Waits until the fold has met the operation; returns its offset and the revision it made.
async fn folded(daemon: &Daemon, operation: OperationId) -> Result<(u64, u64), PublishError> {
    let find = |ledger: &Ledger| ledger.operation(operation).cloned();
    let folding = daemon.ledger.wait_for(find);
    let (offset, applied) =
        within(FOLD_LIMIT_MS, folding).await.map_err(|_| PublishError::Unknown)?;
    match applied {
        Applied::Contract { revision, .. } => Ok((offset, revision)),
        Applied::Skipped(skip) => Err(skip.into()),
        // An operation id that belongs to another kind of record.
        _ => Err(PublishError::Unknown),
    }
}

/// Waits until every live daemon has `offset` in force; returns those that have not.
async fn confirm(daemon: &Daemon, offset: u64) -> Vec<String> {
    let confirmed = async {
        loop {
            let heard = daemon.peers.heard();
            if lagging(daemon, offset).is_empty() {
                return;
            }
            heard.await;
        }
    };
    let _ = within(CONFIRM_LIMIT_MS, confirmed).await;
    lagging(daemon, offset)
}

fn lagging(daemon: &Daemon, offset: u64) -> Vec<String> {
    let directory = daemon.directory.load();
    let now_ms = daemon.clock.now_ms();
    let table = daemon.peers.table();
    let others = directory
        .daemons
        .iter()
        .filter(|vm| vm.state == VmState::Live && vm.name != daemon.settings.name.as_str());
    let behind = others.filter(|vm| {
        let peer = table.live(&DaemonName::from(vm.name.as_str()), now_ms);
        peer.is_none_or(|peer| peer.next_offset <= offset)
    });
    behind.map(|vm| vm.name.clone()).collect()
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(pairs.find(|(key, _)| *key == name)?.1)
}

fn refuse(error: &PublishError, operation: OperationId) -> Response<Body> {
    let (status, code) = match error {
        PublishError::Request { .. } => (StatusCode::BAD_REQUEST, "bad_request"),
        PublishError::Contract(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid_contract"),
        PublishError::Refused(Skip::Conflict { .. }) => (StatusCode::CONFLICT, "conflict"),
        PublishError::Refused(_) => (StatusCode::UNPROCESSABLE_ENTITY, "refused"),
        PublishError::Log(_) => (StatusCode::SERVICE_UNAVAILABLE, "log_unavailable"),
        PublishError::Unknown => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
    };
    let error = OperatorError {
        code: code.to_owned(),
        message: error.to_string(),
        operation: Some(operation.to_string()),
    };
    reply(status, &error)
}
