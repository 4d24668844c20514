use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use comfreymast_net::{sleep_ms, within};
use comfreymast_platform::LogError;

use crate::daemon::Daemon;
use crate::events;

/// The shortest time between two appends, so at most 20 appends per second.
const MIN_APPEND_INTERVAL_MS: u64 = 50;
const MAX_BATCH_RECORDS: usize = 256;
const MAX_BATCH_BYTES: usize = 1024 * 1024;
const QUEUE_CAPACITY: usize = 4_096;
/// How many claim ends are kept during a log outage. When more wait, the oldest are dropped and
/// their outcome stays unknown.
const MAX_PENDING_ENDS: usize = 4_096;
const RETRY_PAUSE_MS: u64 = 200;
/// New claims are refused at once while an append takes longer than this.
const STALLED_MS: u64 = 500;
const FLUSH_LIMIT_MS: u64 = 2_000;
const FLUSH_POLL_MS: u64 = 10;

/// Whether a claim reached the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendStatus {
    /// The claim may be in the log; only reading the log shows whether it is.
    MaybeAppended,
    /// The claim is not in the log and never will be.
    NotAppended,
}

/// A record that waits to be appended.
#[derive(Debug)]
enum Entry {
    Claim { record: Bytes, done: Sender<AppendStatus> },
    End { record: Bytes },
}

/// Queues claims and their ends for the log, with one append in flight at a time.
#[derive(Debug)]
pub(crate) struct ClaimLog {
    queue: Sender<Entry>,
    entries: Receiver<Entry>,
    append_began_ms: AtomicU64,
    pending_ends: AtomicUsize,
}

impl Default for ClaimLog {
    fn default() -> Self {
        let (queue, entries) = async_channel::bounded(QUEUE_CAPACITY);
        Self {
            queue,
            entries,
            append_began_ms: AtomicU64::new(0),
            pending_ends: AtomicUsize::new(0),
        }
    }
}

impl ClaimLog {
    /// True while an append is stalled, so that a new claim would only wait.
    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        let began_ms = self.append_began_ms.load(Ordering::Acquire);
        began_ms != 0 && now_ms.saturating_sub(began_ms) > STALLED_MS
    }

    /// Queues a claim. The receiver gets the status of its append; a closed channel means that the
    /// claim was not appended.
    pub(super) fn claim(&self, record: Bytes) -> Receiver<AppendStatus> {
        let (done, appended) = async_channel::bounded(1);
        // If the queue is full, the entry is dropped with `done`, which closes the channel.
        let _ = self.queue.try_send(Entry::Claim { record, done });
        appended
    }

    /// Queues the end of a claimed request, which is kept until it is appended.
    pub(super) fn end(&self, record: Bytes) {
        self.pending_ends.fetch_add(1, Ordering::AcqRel);
        if self.queue.try_send(Entry::End { record }).is_err() {
            self.pending_ends.fetch_sub(1, Ordering::AcqRel);
            events::CLAIM_END_LOST.log(format_args!("too many ends are waiting for the log"));
        }
    }

    /// Waits for a limited time until all queued ends are appended.
    pub(crate) async fn flush(&self) {
        let flushed = async {
            while self.pending_ends.load(Ordering::Acquire) > 0 {
                sleep_ms(FLUSH_POLL_MS).await;
            }
        };
        if within(FLUSH_LIMIT_MS, flushed).await.is_err() {
            let pending = self.pending_ends.load(Ordering::Acquire);
            events::CLAIM_END_LOST.log(format_args!("{pending} not appended before shutdown"));
        }
    }
}

/// Appends the queued records until the daemon stops.
pub(crate) async fn append(daemon: Arc<Daemon>) {
    let mut ends = VecDeque::new();
    loop {
        let batch = next_batch(&daemon.claims, &mut ends).await;
        let began_ms = daemon.clock.now_ms();
        daemon.claims.append_began_ms.store(began_ms.max(1), Ordering::Release);
        let records = batch.iter().map(|entry| entry.record().clone()).collect();
        let appended = daemon.log.append(records).await;
        daemon.claims.append_began_ms.store(0, Ordering::Release);
        finish(&daemon.claims, batch, &mut ends, &appended);
        let interval_ms = if ends.is_empty() { MIN_APPEND_INTERVAL_MS } else { RETRY_PAUSE_MS };
        let waited_ms = daemon.clock.now_ms() - began_ms;
        sleep_ms(interval_ms.saturating_sub(waited_ms)).await;
    }
}

async fn next_batch(log: &ClaimLog, ends: &mut VecDeque<Bytes>) -> Vec<Entry> {
    // Ends kept from a failed append fill at most half a batch, to leave room for new claims.
    let pending = ends.len().min(MAX_BATCH_RECORDS / 2);
    let mut batch: Vec<_> = ends.drain(..pending).map(|record| Entry::End { record }).collect();
    if batch.is_empty()
        && let Ok(entry) = log.entries.recv().await
    {
        batch.push(entry);
    }
    let mut batch_bytes: usize = batch.iter().map(|entry| entry.record().len()).sum();
    while batch.len() < MAX_BATCH_RECORDS
        && batch_bytes < MAX_BATCH_BYTES
        && let Ok(entry) = log.entries.try_recv()
    {
        batch_bytes += entry.record().len();
        batch.push(entry);
    }
    batch
}

fn finish(
    log: &ClaimLog,
    batch: Vec<Entry>,
    ends: &mut VecDeque<Bytes>,
    appended: &Result<u64, LogError>,
) {
    let claimed = match appended {
        Ok(_)
        | Err(
            LogError::OutcomeUnknown { .. }
            | LogError::Malformed { .. }
            | LogError::MalformedRecords { .. },
        ) => AppendStatus::MaybeAppended,
        Err(LogError::Unavailable { .. } | LogError::Refused { .. }) => AppendStatus::NotAppended,
    };
    for entry in batch {
        match entry {
            Entry::Claim { done, .. } => {
                let _ = done.try_send(claimed);
            }
            // An outcome is applied only once, so it is safe to append it again.
            Entry::End { record } if appended.is_err() => ends.push_back(record),
            Entry::End { .. } => {
                log.pending_ends.fetch_sub(1, Ordering::AcqRel);
            }
        }
    }
    while ends.len() > MAX_PENDING_ENDS {
        ends.pop_front();
        log.pending_ends.fetch_sub(1, Ordering::AcqRel);
        events::CLAIM_END_LOST.log(format_args!("too many ends are waiting for the log"));
    }
}

impl Entry {
    fn record(&self) -> &Bytes {
        match self {
            Self::Claim { record, .. } | Self::End { record } => record,
        }
    }
}
