//! Fetches records from peers while the log cannot be read.

use std::sync::Arc;

use comfreymast_base::DaemonName;
use comfreymast_net::sleep_ms;
use comfreymast_wire::log::Snapshot;
use comfreymast_wire::peer::{Entries, FetchEntries, PeerEntry, peer_message};
use prost::Message;

use crate::daemon::Daemon;
use crate::events;
use crate::log_follower::{apply_entries, install};

/// How long the log may be unavailable before peers are asked.
const LOG_TIMEOUT_MS: u64 = 1_500;
const CHECK_MS: u64 = 100;
/// How long a peer may take to answer before a peer is asked again.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Requests records from the most advanced peer while the log is unavailable, until the daemon
/// ends.
pub(crate) async fn catch_up(daemon: Arc<Daemon>) {
    let mut catching_up = false;
    loop {
        sleep_ms(CHECK_MS).await;
        log_currency_changes(&daemon);
        let Some(peer) = most_advanced_peer(&daemon) else {
            catching_up = false;
            continue;
        };
        let from_offset = daemon.ledger.next_offset();
        if !std::mem::replace(&mut catching_up, true) {
            events::PEER_CATCH_UP.log(format_args!("{peer}, from offset {from_offset}"));
        }
        let daemon_name = daemon.settings.name.to_string();
        let fetch = FetchEntries { daemon: daemon_name, from_offset };
        daemon.peers.send(&peer, peer_message::Body::FetchEntries(fetch));
        let advanced =
            daemon.ledger.wait_for(|ledger| (ledger.next_offset() > from_offset).then_some(()));
        let _ = comfreymast_net::within(ANSWER_TIMEOUT_MS, advanced).await;
    }
}

/// The most advanced peer, if the log is unavailable and the peer is ahead of this daemon.
fn most_advanced_peer(daemon: &Daemon) -> Option<DaemonName> {
    let now_ms = daemon.clock.now_ms();
    if daemon.currency.log_age_ms(now_ms).is_some_and(|age_ms| age_ms < LOG_TIMEOUT_MS) {
        return None;
    }
    let linked: Vec<_> = daemon.peers.links().keys().cloned().collect();
    let table = daemon.peers.table();
    linked
        .into_iter()
        .filter_map(|name| Some((table.live(&name, now_ms)?.next_offset, name)))
        .filter(|(next_offset, _)| *next_offset > daemon.ledger.next_offset())
        .max()
        .map(|(_, name)| name)
}

/// Logs once when this daemon stops serving for want of evidence, and once when it resumes.
fn log_currency_changes(daemon: &Daemon) {
    if !daemon.has_loaded() {
        return;
    }
    let current = daemon.is_current();
    if daemon.peers.swap_current(current) == current {
        return;
    }
    if current {
        events::CURRENT_AGAIN.log(format_args!("serving new work"));
    } else {
        let age_ms = daemon.currency.contracts_age_ms(daemon.clock.now_ms()).unwrap_or_default();
        events::NOT_CURRENT.log(format_args!("last update {age_ms} ms ago"));
    }
}

/// Answers a peer with the records it is missing, or with a snapshot if they are no longer kept.
pub(super) fn send_entries(daemon: &Daemon, peer: &DaemonName, from_offset: u64) {
    // A state that was never up to date is not passed on.
    if !daemon.has_loaded() || from_offset >= daemon.ledger.next_offset() {
        return;
    }
    let page = daemon.ledger.recent().page(from_offset);
    let entries = match page {
        Some(page) => Entries {
            entries: page
                .into_iter()
                .map(|(offset, record)| PeerEntry { offset, record })
                .collect(),
            ..Entries::default()
        },
        None => {
            let snapshot = daemon.ledger.ledger().snapshot(daemon.clock.unix_ms());
            Entries {
                snapshot_upto_offset: snapshot.upto_offset,
                snapshot: snapshot.encode_to_vec().into(),
                entries: Vec::new(),
            }
        }
    };
    daemon.peers.send(peer, peer_message::Body::Entries(entries));
}

/// Handles a peer's answer. Records that were applied already have no effect.
pub(super) fn handle_entries(daemon: &Daemon, from: &DaemonName, entries: Entries) {
    if !entries.snapshot.is_empty() {
        match Snapshot::decode(entries.snapshot) {
            Ok(snapshot) => _ = install(daemon, &snapshot, from.as_str()),
            Err(error) => events::SNAPSHOT_REFUSED.log(format_args!("from {from}: {error}")),
        }
    }
    let entries: Vec<_> =
        entries.entries.into_iter().map(|entry| (entry.offset, entry.record)).collect();
    apply_entries(daemon, &entries);
}
