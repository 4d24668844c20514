//! Tells an upstream that has ended from links that this daemon has lost.

use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_decide::upstream_end::{EndSign, PeerFinding, has_ended};
use comfreymast_net::{Body, Spawner, call, empty, full, request};
use comfreymast_wire::news::DialReport;
use hyper::Response;
use prost::Message;

use crate::dispatch::Dispatch;
use crate::end_probe::EndProbe;
use crate::upstream_state::UpstreamState;

/// Where peers are asked to dial an upstream, whose name follows.
pub(crate) const DIAL_PATH: &str = "/peer/dial/";
/// How many peers are asked at most.
const MAX_PEERS: usize = 8;
const REPORT_LIMIT_MS: u64 = 250;
const MAX_REPORT_BYTES: usize = 64;

/// True if `upstream`, which refused a connection, has ended, and not this daemon's link to it been lost.
pub(crate) async fn is_ended(dispatch: &Arc<Dispatch>, upstream: &Arc<UpstreamState>) -> bool {
    if upstream.is_known_ended() {
        return true;
    }
    let path = format!("{DIAL_PATH}{}", upstream.record.name);
    let peers = dispatch.peers.live_addrs(MAX_PEERS).into_iter();
    let questions: Vec<_> = peers
        .map(|addr| dispatch.spawner.spawn(ask(dispatch.spawner.clone(), addr, path.clone())))
        .collect();
    let mut findings = Vec::new();
    for question in questions {
        findings.push(question.await);
    }
    let is_ended = has_ended(&findings);
    if is_ended {
        upstream.mark_ended();
    }
    is_ended
}

async fn ask(spawner: Spawner, addr: SocketAddr, path: String) -> PeerFinding {
    let question = request(addr, "GET", &path, empty());
    let answer = call(&spawner, addr, question, REPORT_LIMIT_MS, MAX_REPORT_BYTES).await;
    let report = answer.ok().and_then(|answer| DialReport::decode(answer.into_body()).ok());
    match report {
        Some(DialReport { is_accepted: true }) => PeerFinding::Accepted,
        Some(_) | None => PeerFinding::NotAccepted,
    }
}

/// Dials the upstream `name` for a peer.
pub(crate) async fn answer_dial(dispatch: &Arc<Dispatch>, name: &str) -> Response<Body> {
    let upstream = dispatch.directory.load().by_name(name).cloned();
    let is_accepted = match upstream {
        Some(upstream) => EndProbe::new(dispatch, &upstream).dial().await == EndSign::Accepted,
        None => false,
    };
    Response::new(full(DialReport { is_accepted }.encode_to_vec()))
}
