use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use comfreymast_base::OperationId;
use comfreymast_net::sleep_ms;
use comfreymast_wire::log::{Record, record};
use prost::Message;
use rand::Rng;

use crate::daemon::Daemon;
use crate::events;

const CHECK_MS: u64 = 200;
/// Each daemon waits for a random part of the interval divided by this, so that usually only one
/// of them appends a snapshot.
const SPREAD_DIVISOR: u64 = 10;
/// The longest random wait once records that no snapshot covers have begun to expire.
const URGENT_SPREAD_MS: u64 = 500;

/// Appends a snapshot whenever one is due and no other daemon has appended one first, until the
/// daemon ends.
pub(crate) async fn write(daemon: Arc<Daemon>) {
    let interval_ms = daemon.settings.snapshot_interval_ms;
    let started_unix_ms = daemon.clock.unix_ms();
    loop {
        sleep_ms(CHECK_MS.min(interval_ms)).await;
        let Some(due) = due(&daemon, started_unix_ms) else { continue };
        let spread_ms = match due {
            Due::Urgent => URGENT_SPREAD_MS,
            Due::Regular => interval_ms / SPREAD_DIVISOR,
        };
        let wait_ms = rand::rng().random_range(0..=spread_ms);
        sleep_ms(wait_ms).await;
        if self::due(&daemon, started_unix_ms).is_some() {
            append(&daemon).await;
        }
    }
}

/// How urgently a snapshot is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    /// The last one is old, or many records have been applied since then.
    Regular,
    /// Records that no snapshot covers have expired, so a new daemon cannot rebuild the state.
    Urgent,
}

fn due(daemon: &Daemon, started_unix_ms: u64) -> Option<Due> {
    // A daemon that is not up to date would write a snapshot of an old state.
    if !daemon.is_ready() || !daemon.currency.is_current(daemon.clock.now_ms()) {
        return None;
    }
    let (snapshot_offset, taken_unix_ms) = {
        let ledger = daemon.ledger.ledger();
        (ledger.snapshot_offset(), ledger.snapshot_taken_unix_ms())
    };
    if daemon.log_start_offset.load(Ordering::Acquire) > snapshot_offset {
        return Some(Due::Urgent);
    }
    let applied_records = daemon.ledger.next_offset() - snapshot_offset;
    // If the log has no snapshot, the first one is due one interval after the daemon's start.
    let since_ms = if taken_unix_ms == 0 { started_unix_ms } else { taken_unix_ms };
    let age_ms = daemon.clock.unix_ms().saturating_sub(since_ms);
    let is_due = applied_records >= daemon.settings.snapshot_records
        || (daemon.ledger.next_offset() > 0 && age_ms >= daemon.settings.snapshot_interval_ms);
    is_due.then_some(Due::Regular)
}

async fn append(daemon: &Daemon) {
    let taken_unix_ms = daemon.clock.unix_ms();
    let snapshot = daemon.ledger.ledger().snapshot(taken_unix_ms);
    let upto_offset = snapshot.upto_offset;
    let record = Record {
        operation_id: OperationId::random().to_vec().into(),
        body: Some(record::Body::Snapshot(snapshot)),
    };
    // After a lost reply the log is not checked for the record: a second snapshot is harmless.
    match daemon.log.append(vec![Bytes::from(record.encode_to_vec())]).await {
        Ok(offset) => {
            events::SNAPSHOT_APPENDED.log(format_args!("up to {upto_offset}, at offset {offset}"));
            wait_until_applied(daemon, offset).await;
        }
        Err(error) => log::debug!("no snapshot was appended: {error}"),
    }
}

async fn wait_until_applied(daemon: &Daemon, offset: u64) {
    const LIMIT_MS: u64 = 5_000;
    let applied = daemon.ledger.wait_for(|ledger| (ledger.next_offset() > offset).then_some(()));
    let _ = comfreymast_net::within(LIMIT_MS, applied).await;
}
