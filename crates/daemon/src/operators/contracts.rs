use comfreymast_ledger::{ContractEntry, Revision};
use comfreymast_net::{Body, Query};
use hyper::{Response, StatusCode};

use super::front::{error, reply};
use super::publish::read_to_end;
use super::{ContractSummary, ContractView, RevisionView};
use crate::daemon::Daemon;

/// `GET /contracts?fresh=true`.
pub(super) async fn list(daemon: &Daemon, query: &Query) -> Response<Body> {
    if let Err(response) = ensure_fresh(daemon, query).await {
        return response;
    }
    let contracts = daemon.ledger.contracts();
    let summaries: Vec<_> = contracts.iter().map(|(_, entry)| summary(entry)).collect();
    reply(StatusCode::OK, &summaries)
}

/// `GET /contracts/{organisation}?fresh=true`.
pub(super) async fn get(daemon: &Daemon, organisation: &str, query: &Query) -> Response<Body> {
    if let Err(response) = ensure_fresh(daemon, query).await {
        return response;
    }
    match daemon.ledger.contracts().get(organisation) {
        Some(entry) => reply(StatusCode::OK, &view(entry)),
        None => {
            let message = format!("{organisation} has no contract");
            error(StatusCode::NOT_FOUND, "no_contract", &message)
        }
    }
}

/// With `fresh=true`, waits until everything that is on the log now is applied. Otherwise the state
/// applied so far suffices, but a daemon that has not loaded any yet refuses to answer.
async fn ensure_fresh(daemon: &Daemon, query: &Query) -> Result<(), Response<Body>> {
    let unavailable = |code, message: &str| error(StatusCode::SERVICE_UNAVAILABLE, code, message);
    if query.get("fresh") == Some("true") {
        let read = read_to_end(daemon).await;
        read.map_err(|reason| unavailable("log_unavailable", &reason.to_string()))?;
    }
    if !daemon.has_loaded() {
        let message = "this daemon has read neither the log nor a peer to the end yet";
        return Err(unavailable("not_ready", message));
    }
    Ok(())
}

fn summary(entry: &ContractEntry) -> ContractSummary {
    ContractSummary {
        organisation: entry.contract.organisation.to_string(),
        revision: entry.revision,
        enabled: entry.contract.enabled,
        kinds: entry.contract.work.iter().map(|work| work.kind.to_string()).collect(),
    }
}

fn view(entry: &ContractEntry) -> ContractView {
    ContractView {
        organisation: entry.contract.organisation.to_string(),
        revision: entry.revision,
        document: entry.document.to_string(),
        history: entry.history.iter().map(revision_view).collect(),
    }
}

fn revision_view(revision: &Revision) -> RevisionView {
    RevisionView {
        revision: revision.revision,
        operation: revision.operation.to_string(),
        offset: revision.offset,
        author: revision.author.to_string(),
        published_unix_ms: revision.published_unix_ms,
    }
}
