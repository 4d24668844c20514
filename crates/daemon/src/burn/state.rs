use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_base::{Clock, Organisation};
use comfreymast_burn::{DaemonCounts, Indicator, Recorder, Sample};
use comfreymast_contract::Work;
use comfreymast_wire::peer::BurnReply;

use super::RequestRecord;
use crate::daemon::Daemon;

/// Samples that may wait to be recorded; further ones are dropped and logged.
const SAMPLES_CAPACITY: usize = 65_536;
const REPLIES_CAPACITY: usize = 1_024;

/// The measurements of this daemon and the reports in progress.
#[derive(Debug)]
pub(crate) struct BurnState {
    samples: Sender<Sample>,
    received: Receiver<Sample>,
    /// Locked by the recording task and by reports, never by a request.
    recorder: Mutex<Recorder>,
    queries: Mutex<HashMap<u64, Sender<DaemonCounts>>>,
    last_query: AtomicU64,
}

impl Default for BurnState {
    fn default() -> Self {
        let (samples, received) = async_channel::bounded(SAMPLES_CAPACITY);
        Self {
            samples,
            received,
            recorder: Mutex::default(),
            queries: Mutex::default(),
            last_query: AtomicU64::new(0),
        }
    }
}

impl BurnState {
    /// Starts to measure a request that the contract allows.
    pub(crate) fn begin(
        &self,
        clock: &Clock,
        organisation: &Organisation,
        work: &Work,
    ) -> RequestRecord {
        RequestRecord::new(self.samples.clone(), clock.clone(), organisation.clone(), work)
    }

    /// The counts of this daemon.
    pub(crate) fn counts(&self, daemon: &Daemon) -> DaemonCounts {
        let now_ms = daemon.clock.now_ms();
        self.recorder().counts(daemon.settings.name.as_str(), now_ms)
    }

    /// Opens a query; returns its number and the channel of its replies.
    pub(super) fn open_query(&self) -> (u64, Receiver<DaemonCounts>) {
        let query_id = self.last_query.fetch_add(1, Ordering::AcqRel) + 1;
        let (sender, replies) = async_channel::bounded(REPLIES_CAPACITY);
        self.queries().insert(query_id, sender);
        (query_id, replies)
    }

    /// Closes a query. Replies that arrive later are ignored.
    pub(super) fn close_query(&self, query_id: u64) {
        self.queries().remove(&query_id);
    }

    /// Handles a peer's reply to a query.
    pub(crate) fn handle_reply(&self, reply: BurnReply) {
        let Some(counts) = reply.counts else { return };
        let counts = DaemonCounts { daemon: reply.daemon, ..DaemonCounts::from(counts) };
        if let Some(query) = self.queries().get(&reply.query_id) {
            let _ = query.try_send(counts);
        }
    }

    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queries(&self) -> MutexGuard<'_, HashMap<u64, Sender<DaemonCounts>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records samples until the daemon ends.
pub(crate) async fn record_samples(daemon: Arc<Daemon>) {
    while let Ok(sample) = daemon.burn.received.recv().await {
        observe(&daemon, &sample);
        let now_ms = daemon.clock.now_ms();
        daemon.burn.recorder().record(sample, now_ms);
    }
}

fn observe(daemon: &Daemon, sample: &Sample) {
    const MS_PER_S: f64 = 1_000.0;
    let histogram = match sample.indicator {
        Indicator::FirstToken => &daemon.metrics.first_token_seconds,
        Indicator::BetweenTokens => &daemon.metrics.token_gap_seconds,
        _ => return,
    };
    for duration_ms in &sample.durations_ms {
        histogram.observe(f64::from(*duration_ms) / MS_PER_S);
    }
}
