//! Tells an upstream that has ended from links that this daemon has lost.

use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::Upstream;
use comfreymast_decide::upstream_end::{EndSign, PeerFinding, has_ended};
use comfreymast_net::{Body, Spawner, call, empty, full, request};
use comfreymast_wire::news::{DialOutcome, DialReport};
use futures_lite::future;
use hyper::Response;
use prost::Message;

use crate::dispatch::Dispatch;
use crate::end_probe::EndProbe;
use crate::upstream_state::UpstreamState;

/// Where peers are asked to dial an upstream, whose name follows.
pub(crate) const DIAL_PATH: &str = "/peer/dial/";
/// How many peers are asked at most.
const MAX_PEERS: usize = 8;
const REPORT_LIMIT_MS: u64 = 400;
const MAX_REPORT_BYTES: usize = 64;
/// How many other upstreams are dialled.
const OTHERS: usize = 2;

/// True if `upstream`, which refused a connection, has ended, and not this daemon's links been lost.
/// `on_doubt` is called once only peers can tell.
pub(crate) async fn is_ended(
    dispatch: &Arc<Dispatch>,
    upstream: &Arc<UpstreamState>,
    on_doubt: impl FnOnce(),
) -> bool {
    if reaches_another(dispatch, &upstream.record.name).await {
        return has_ended(true, &[]);
    }
    on_doubt();
    let peers = dispatch.peers.live_addrs(MAX_PEERS);
    let questions: Vec<_> = peers
        .into_iter()
        .map(|addr| {
            let path = format!("{DIAL_PATH}{}", upstream.record.name);
            dispatch.spawner.spawn(ask(dispatch.spawner.clone(), addr, path))
        })
        .collect();
    let mut findings = Vec::new();
    for question in questions {
        findings.push(question.await);
    }
    has_ended(false, &findings)
}

async fn ask(spawner: Spawner, addr: SocketAddr, path: String) -> PeerFinding {
    let question = request(addr, "GET", &path, empty());
    let answer = call(&spawner, addr, question, REPORT_LIMIT_MS, MAX_REPORT_BYTES).await;
    let report = answer.ok().and_then(|answer| DialReport::decode(answer.into_body()).ok());
    match report.map(|report| report.outcome()) {
        Some(DialOutcome::Accepted) => PeerFinding::Accepted,
        Some(DialOutcome::Refused) => PeerFinding::Refused,
        Some(DialOutcome::Unspecified) | None => PeerFinding::Unknown,
    }
}

/// Dials the upstream `name` for a peer.
pub(crate) async fn answer_dial(dispatch: &Arc<Dispatch>, name: &str) -> Response<Body> {
    let upstream = dispatch.directory.load().by_name(name).cloned();
    let outcome = match upstream {
        Some(upstream) => dial(dispatch, &upstream).await,
        None => DialOutcome::Unspecified,
    };
    let report = DialReport { outcome: outcome.into() };
    Response::new(full(report.encode_to_vec()))
}

async fn dial(dispatch: &Arc<Dispatch>, upstream: &Arc<UpstreamState>) -> DialOutcome {
    match EndProbe::new(dispatch, upstream).dial().await {
        EndSign::Accepted => DialOutcome::Accepted,
        EndSign::Refused if reaches_another(dispatch, &upstream.record.name).await => {
            DialOutcome::Refused
        }
        _ => DialOutcome::Unspecified,
    }
}

/// True if an upstream other than `name`, of any service, accepts a connection.
async fn reaches_another(dispatch: &Arc<Dispatch>, name: &Upstream) -> bool {
    let upstreams = dispatch.directory.load();
    let is_other = |other: &&Arc<UpstreamState>| other.record.name != *name && !other.is_leaving();
    let mut others: Vec<_> = upstreams.all().filter(is_other).cloned().collect();
    drop(upstreams);
    others.sort_by_cached_key(|_| rand::random::<u32>());
    others.truncate(OTHERS);
    let dials = others.iter().map(|other| async {
        let mut probe = EndProbe::new(dispatch, other);
        let is_accepted = probe.dial().await == EndSign::Accepted;
        if is_accepted {
            probe.keep();
        }
        is_accepted
    });
    let mut dials = dials.map(Box::pin);
    match (dials.next(), dials.next()) {
        (Some(first), Some(second)) => {
            let (first, second) = future::zip(first, second).await;
            first || second
        }
        (Some(only), None) => only.await,
        _ => false,
    }
}
