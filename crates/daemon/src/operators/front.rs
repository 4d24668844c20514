use std::sync::Arc;

use comfreymast_base::DaemonName;
use comfreymast_net::{Body, Query, empty, full, json};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use subtle::ConstantTimeEq;

use super::{OperatorError, StatusReply, contracts, publish, quarantine};
use crate::burn;
use crate::daemon::Daemon;

/// Answers one request on the operators' port.
pub(crate) async fn answer(daemon: Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return status(StatusCode::OK),
        "/readyz" if daemon.is_ready() && daemon.is_current() => return status(StatusCode::OK),
        "/readyz" => return status(StatusCode::SERVICE_UNAVAILABLE),
        _ => {}
    }
    if !is_operator(&daemon, &request) {
        return error(StatusCode::UNAUTHORIZED, "unauthorized", "the operator key is required");
    }
    let query = Query::parse(request.uri().query().unwrap_or_default());
    let segments: Vec<_> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["metrics"]) => Response::new(full(daemon.metrics.text())),
        (&Method::GET, ["burn"]) => reply(StatusCode::OK, &burn::collect(&daemon).await),
        (&Method::GET, ["status"]) => reply(StatusCode::OK, &status_of(&daemon)),
        (&Method::POST, ["drain"]) => {
            daemon.stop.close();
            status(StatusCode::ACCEPTED)
        }
        (&Method::GET, ["contracts"]) => contracts::list(&daemon, &query).await,
        (&Method::GET, ["contracts", organisation]) => {
            contracts::get(&daemon, organisation, &query).await
        }
        (&Method::PUT, ["contracts", organisation]) => {
            let organisation = (*organisation).to_owned();
            publish::put(&daemon, &organisation, request).await
        }
        (&Method::GET, ["quarantine"]) => quarantine::list(&daemon),
        (&Method::DELETE, ["quarantine", fingerprint]) => {
            quarantine::lift(&daemon, fingerprint).await
        }
        _ => error(StatusCode::NOT_FOUND, "not_found", "no such page on the operators' port"),
    }
}

fn is_operator(daemon: &Daemon, request: &Request<Incoming>) -> bool {
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    key.as_bytes().ct_eq(daemon.settings.operator_key.expose().as_bytes()).into()
}

fn status_of(daemon: &Daemon) -> StatusReply {
    let directory = daemon.directory.load();
    let now_ms = daemon.clock.now_ms();
    let table = daemon.peers.table();
    let others = directory.daemons.iter().map(|vm| DaemonName::from(vm.name.as_str()));
    let (live, silent): (Vec<_>, Vec<_>) = others
        .filter(|name| *name != daemon.settings.name)
        .partition(|name| table.live(name, now_ms).is_some());
    drop(table);
    let (snapshot_offset, skipped_records) = {
        let ledger = daemon.ledger.ledger();
        (ledger.snapshot_offset(), ledger.skipped_records())
    };
    let leaving = directory.upstreams.values().filter(|up| up.leaving);
    let leaving: Vec<_> = leaving.map(|up| up.name.to_string()).collect();
    StatusReply {
        daemon: daemon.settings.name.to_string(),
        ready: daemon.is_ready(),
        current: daemon.is_current(),
        draining: daemon.is_draining(),
        next_offset: daemon.ledger.next_offset(),
        snapshot_offset,
        contracts: daemon.ledger.contracts().len() as u64,
        skipped_records,
        live_peers: live.iter().map(ToString::to_string).collect(),
        silent_peers: silent.iter().map(ToString::to_string).collect(),
        upstreams: (directory.upstreams.len() - leaving.len()) as u64,
        leaving_upstreams: leaving,
    }
}

pub(super) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

pub(super) fn reply(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(json(value));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

pub(super) fn error(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let message = message.to_owned();
    reply(status, &OperatorError { code: code.to_owned(), message, operation: None })
}
