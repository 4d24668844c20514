use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use comfreymast_base::hex;
use comfreymast_ledger::{Applied, SkipReason, SnapshotCheck};
use comfreymast_net::sleep_ms;
use comfreymast_platform::{LogError, LogPage};
use comfreymast_wire::log::{Record, Snapshot, record};
use prost::Message;

use crate::daemon::Daemon;
use crate::events;

const READ_MAX_RECORDS: u32 = 4_096;
const READ_WAIT_MS: u64 = 1_000;
const RETRY_PAUSE_MS: u64 = 100;

/// How the last read went, so that a change is logged once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Following,
    Unavailable,
    Gap,
    Behind,
}

/// Follows the log and puts each record in force, until the daemon ends.
pub(crate) async fn follow(daemon: Arc<Daemon>) {
    let mut last = Reading::Following;
    loop {
        let reading = read_once(&daemon, last).await;
        if reading == Reading::Following && last != Reading::Following {
            let from = daemon.ledger.next_offset();
            events::LOG_RESTORED.log(format_args!("reading from offset {from}"));
        }
        if reading != Reading::Following {
            sleep_ms(RETRY_PAUSE_MS).await;
        }
        last = reading;
    }
}

async fn read_once(daemon: &Daemon, last: Reading) -> Reading {
    let from = daemon.ledger.next_offset();
    let asked_ms = daemon.clock.now_ms();
    let reply = match daemon.log.read(from, READ_MAX_RECORDS, READ_WAIT_MS).await {
        Ok(reply) => reply,
        Err(error) => {
            if last != Reading::Unavailable {
                events::LOG_UNAVAILABLE.log(format_args!("{error}"));
            }
            return Reading::Unavailable;
        }
    };
    daemon.log_start_offset.store(reply.start_offset, Ordering::Release);
    if reply.start_offset > from {
        return cross_gap(daemon, from, reply.start_offset, last).await;
    }
    if reply.end_offset < from {
        if last != Reading::Behind {
            let end_offset = reply.end_offset;
            events::LOG_BEHIND.log(format_args!("it ends at {end_offset}, {from} is in force"));
        }
        return Reading::Behind;
    }
    take_reply(daemon, reply, asked_ms);
    Reading::Following
}

fn take_reply(daemon: &Daemon, reply: LogPage, asked_ms: u64) {
    let entries: Vec<_> =
        reply.entries.into_iter().map(|entry| (entry.offset, entry.record)).collect();
    let bytes = entries.iter().map(|(_, record)| record.len()).sum();
    daemon.metrics.control_received("log", bytes);
    put_in_force(daemon, &entries);
    if daemon.ledger.next_offset() >= reply.end_offset {
        daemon.currency.log_read(asked_ms);
        daemon.become_ready();
    }
}

/// Applies `entries`, logs what they did and tells the peers of changed contracts.
pub(crate) fn put_in_force(daemon: &Daemon, entries: &[(u64, Bytes)]) {
    if entries.is_empty() {
        return;
    }
    let applied = daemon.ledger.apply(entries);
    for (offset, applied) in &applied {
        if let Applied::Quarantine { fingerprint, active: false } = applied {
            daemon.quarantine.forget(fingerprint);
        }
        log_applied(*offset, applied);
    }
    // A publisher waits for this; other records can wait for the next heartbeat.
    if applied.iter().any(|(_, applied)| matches!(applied, Applied::Contract { .. })) {
        daemon.peers.announce();
    }
}

/// Puts a snapshot in force if it is ahead of the ledger; returns whether it did.
pub(crate) fn install(daemon: &Daemon, snapshot: &Snapshot, source: &str) -> bool {
    match daemon.ledger.install(snapshot) {
        Ok(false) => false,
        Ok(true) => {
            let upto_offset = snapshot.upto_offset;
            events::SNAPSHOT_INSTALLED.log(format_args!("up to {upto_offset}, from {source}"));
            daemon.peers.announce();
            true
        }
        Err(error) => {
            events::SNAPSHOT_REFUSED.log(format_args!("from {source}: {error}"));
            false
        }
    }
}

/// Records from `from` on have expired: only a snapshot can stand for them, never nothing.
async fn cross_gap(daemon: &Daemon, from: u64, start_offset: u64, last: Reading) -> Reading {
    if last != Reading::Gap {
        events::LOG_GAP.log(format_args!("records {from} to {start_offset} have expired"));
    }
    let mut snapshots = read_snapshots(daemon, start_offset).await.unwrap_or_default();
    // The latest one leaves the fewest records to apply.
    snapshots.sort_by_key(|snapshot| snapshot.upto_offset);
    let installed =
        snapshots.iter().rev().any(|snapshot| install(daemon, snapshot, "the platform's log"));
    // Peers are asked meanwhile, see `peers::catch_up`.
    if installed { Reading::Following } else { Reading::Gap }
}

/// The snapshots on the log that need no expired record.
async fn read_snapshots(daemon: &Daemon, start_offset: u64) -> Result<Vec<Snapshot>, LogError> {
    let mut snapshots = Vec::new();
    let mut from = start_offset;
    loop {
        let reply = daemon.log.read(from, READ_MAX_RECORDS, 0).await?;
        let Some(last) = reply.entries.last() else { break };
        from = last.offset + 1;
        let start_offset = reply.start_offset;
        let found = reply.entries.iter().filter_map(|entry| snapshot_in(&entry.record));
        snapshots.extend(found.filter(|snapshot| snapshot.upto_offset >= start_offset));
    }
    Ok(snapshots)
}

fn snapshot_in(record: &Bytes) -> Option<Snapshot> {
    match Record::decode(record.clone()).ok()?.body? {
        record::Body::Snapshot(snapshot) => Some(snapshot),
        _ => None,
    }
}

fn log_applied(offset: u64, applied: &Applied) {
    match applied {
        Applied::Contract { organisation, revision } => {
            events::CONTRACT_IN_FORCE
                .log(format_args!("{organisation} revision {revision} at offset {offset}"));
        }
        Applied::Skipped(skip @ SkipReason::Conflict { .. }) => {
            events::CONTRACT_CONFLICT.log(format_args!("offset {offset}: {skip}"));
        }
        Applied::Skipped(skip) => {
            events::RECORD_SKIPPED.log(format_args!("offset {offset}: {skip}"));
        }
        Applied::Quarantine { fingerprint, active: true } => {
            events::QUARANTINE_DECLARED.log(format_args!("{}", hex::encode(fingerprint)));
        }
        Applied::Quarantine { fingerprint, active: false } => {
            events::QUARANTINE_LIFTED.log(format_args!("{}", hex::encode(fingerprint)));
        }
        Applied::Snapshot { upto_offset, check: SnapshotCheck::Differs } => {
            events::SNAPSHOT_DIFFERS
                .log(format_args!("offset {offset}: not the records up to {upto_offset}"));
        }
        Applied::Snapshot { .. }
        | Applied::Claim { .. }
        | Applied::ClaimEnded
        | Applied::Duplicate
        | Applied::Gap { .. }
        | Applied::Ignored => {}
    }
}
