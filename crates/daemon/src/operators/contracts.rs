use comfreymast_ledger::{ContractEntry, Revision};
use comfreymast_net::Body;
use hyper::{Response, StatusCode};

use super::front::{error, reply};
use super::{ContractSummary, ContractView, RevisionView};
use crate::daemon::Daemon;

/// `GET /contracts`.
pub(super) fn list(daemon: &Daemon) -> Response<Body> {
    let contracts = daemon.ledger.contracts();
    let summaries: Vec<_> = contracts.iter().map(|(_, entry)| summary(entry)).collect();
    reply(StatusCode::OK, &summaries)
}

/// `GET /contracts/{organisation}`.
pub(super) fn get(daemon: &Daemon, organisation: &str) -> Response<Body> {
    match daemon.ledger.contracts().get(organisation) {
        Some(entry) => reply(StatusCode::OK, &view(entry)),
        None => {
            let message = format!("{organisation} has no contract");
            error(StatusCode::NOT_FOUND, "no_contract", &message)
        }
    }
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
