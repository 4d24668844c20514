use std::collections::BTreeSet;

use async_channel::Receiver;
use comfreymast_base::Kind;
use comfreymast_burn::{DaemonCounts, Report, SeriesKey};
use comfreymast_contract::ServiceLevel;
use comfreymast_net::within;
use comfreymast_wire::peer::{BurnQuery, peer_message};

use crate::daemon::Daemon;
use crate::events;

/// How long peers may take to answer.
const QUERY_LIMIT_MS: u64 = 2_000;

/// Queries every daemon on the VM list for its counts and merges them. The report names those that
/// did not answer.
pub(crate) async fn collect(daemon: &Daemon) -> Report {
    let mut awaited: BTreeSet<_> = daemon
        .directory
        .load()
        .daemons
        .iter()
        .map(|vm| vm.name.clone())
        .filter(|name| name != daemon.settings.name.as_str())
        .collect();
    let (query_id, replies) = daemon.burn.open_query();
    let query = BurnQuery { query_id, daemon: daemon.settings.name.to_string() };
    daemon.peers.broadcast(&peer_message::Body::BurnQuery(query));
    let mut counts = vec![daemon.burn.counts(daemon)];
    let gathering = gather(&replies, &mut awaited, &mut counts);
    if within(QUERY_LIMIT_MS, gathering).await.is_err() {
        let silent = Vec::from_iter(awaited.iter().map(String::as_str)).join(", ");
        events::BURN_INCOMPLETE.log(format_args!("no counts from {silent}"));
    }
    daemon.burn.close_query(query_id);
    Report::new(&counts, awaited.into_iter().collect(), |key| level(daemon, key))
}

/// Receives replies until none is missing. A second reply of the same daemon is ignored.
async fn gather(
    replies: &Receiver<DaemonCounts>,
    awaited: &mut BTreeSet<String>,
    counts: &mut Vec<DaemonCounts>,
) {
    while !awaited.is_empty() {
        let Ok(reply) = replies.recv().await else { return };
        if awaited.remove(&reply.daemon) {
            counts.push(reply);
        }
    }
}

fn level(daemon: &Daemon, key: &SeriesKey) -> Option<ServiceLevel> {
    let contracts = daemon.ledger.contracts();
    let contract = &contracts.get(key.organisation.as_str())?.contract;
    let is_kind = |kind: &Kind| *kind == key.kind;
    let work = contract.work.iter().find(|work| is_kind(&work.kind))?;
    Some(work.service_level.clone())
}
