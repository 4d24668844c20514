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

/// The outcome of the last read, kept so that only changes are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStatus {
    Following,
    Unavailable,
    Gap,
    Behind,
}

/// Follows the log and applies each record, until the daemon ends.
pub(crate) async fn follow(daemon: Arc<Daemon>) {
    let mut last = ReadStatus::Following;
    loop {
        let status = read_once(&daemon, last).await;
        if status == ReadStatus::Following && last != ReadStatus::Following {
            let from = daemon.ledger.next_offset();
            events::LOG_RESTORED.log(format_args!("reading from offset {from}"));
        }
        if status != ReadStatus::Following {
            sleep_ms(RETRY_PAUSE_MS).await;
        }
        last = status;
    }
}

async fn read_once(daemon: &Daemon, last: ReadStatus) -> ReadStatus {
    let from = daemon.ledger.next_offset();
    let asked_ms = daemon.clock.now_ms();
    let reply = match daemon.log.read(from, READ_MAX_RECORDS, READ_WAIT_MS).await {
        Ok(reply) => reply,
        Err(error) => {
            if last != ReadStatus::Unavailable {
                events::LOG_UNAVAILABLE.log(format_args!("{error}"));
            }
            return ReadStatus::Unavailable;
        }
    };
    daemon.log_start_offset.store(reply.start_offset, Ordering::Release);
    if reply.start_offset > from {
        return recover_from_gap(daemon, from, reply.start_offset, last).await;
    }
    if reply.end_offset < from {
        if last != ReadStatus::Behind {
            let end_offset = reply.end_offset;
            events::LOG_BEHIND.log(format_args!("it ends at {end_offset}, applied up to {from}"));
        }
        return ReadStatus::Behind;
    }
    apply_page(daemon, reply, asked_ms);
    ReadStatus::Following
}

fn apply_page(daemon: &Daemon, reply: LogPage, asked_ms: u64) {
    let entries: Vec<_> =
        reply.entries.into_iter().map(|entry| (entry.offset, entry.record)).collect();
    let bytes = entries.iter().map(|(_, record)| record.len()).sum();
    daemon.metrics.control_received("log", bytes);
    apply_entries(daemon, &entries);
    if daemon.ledger.next_offset() >= reply.end_offset {
        daemon.currency.record_log_read(asked_ms);
        daemon.become_ready();
    }
}

/// Applies `entries`, logs their effects and announces changed contracts to the peers.
pub(crate) fn apply_entries(daemon: &Daemon, entries: &[(u64, Bytes)]) {
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
    // A publisher is waiting for this heartbeat; other records can wait for the next regular one.
    if applied.iter().any(|(_, applied)| matches!(applied, Applied::Contract { .. })) {
        daemon.peers.announce();
    }
}

/// Installs a snapshot if it is ahead of the ledger; returns whether it was installed.
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

/// Records from `from` on have expired. They are never skipped: only a snapshot that covers them
/// can close the gap.
async fn recover_from_gap(
    daemon: &Daemon,
    from: u64,
    start_offset: u64,
    last: ReadStatus,
) -> ReadStatus {
    if last != ReadStatus::Gap {
        events::LOG_GAP.log(format_args!("records {from} to {start_offset} have expired"));
    }
    let mut snapshots = read_snapshots(daemon, start_offset).await.unwrap_or_default();
    // Starting from the latest snapshot leaves the fewest records to apply.
    snapshots.sort_by_key(|snapshot| snapshot.upto_offset);
    let installed =
        snapshots.iter().rev().any(|snapshot| install(daemon, snapshot, "the platform's log"));
    // Until then, `peers::catch_up` requests the records from peers.
    if installed { ReadStatus::Following } else { ReadStatus::Gap }
}

/// The snapshots on the log after which no record has expired.
async fn read_snapshots(daemon: &Daemon, start_offset: u64) -> Result<Vec<Snapshot>, LogError> {
    let mut snapshots = Vec::new();
    let mut from = start_offset;
    loop {
        let reply = daemon.log.read(from, READ_MAX_RECORDS, 0).await?;
        let Some(last) = reply.entries.last() else { break };
        from = last.offset + 1;
        let start_offset = reply.start_offset;
        let found = reply.entries.iter().filter_map(|entry| decode_snapshot(&entry.record));
        snapshots.extend(found.filter(|snapshot| snapshot.upto_offset >= start_offset));
    }
    Ok(snapshots)
}

fn decode_snapshot(record: &Bytes) -> Option<Snapshot> {
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
                .log(format_args!("offset {offset}: differs from the records up to {upto_offset}"));
        }
        Applied::Snapshot { .. }
        | Applied::Claim { .. }
        | Applied::ClaimEnded
        | Applied::Duplicate
        | Applied::Gap { .. }
        | Applied::Ignored => {}
    }
}
