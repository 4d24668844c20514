use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_decide::evacuation::RunView;
use comfreymast_fleet::UpstreamRecord;

use crate::pool::Pool;

const FAILURE_WEIGHT: f64 = 0.15;
const LATENCY_WEIGHT: f64 = 0.1;
/// How long an upstream that could not be reached is used last.
const SUSPECT_MS: u64 = 2_000;

/// One upstream as this daemon sees it, from its start until it is gone.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// What it says of itself.
    pub(crate) record: UpstreamRecord,
    /// Kept connections to it.
    pub(crate) pool: Pool,
    /// This daemon's requests on it.
    pub(crate) outstanding: AtomicU32,
    /// Memory that this daemon's generations hold or are expected to hold on it.
    pub(crate) reserved_tokens: AtomicU64,
    /// Prompts of this daemon's requests that the upstream still has to read.
    pub(crate) prefill_tokens: AtomicU64,
    /// The same figures of all other daemons.
    pub(crate) others_runs: AtomicU32,
    pub(crate) others_reserved_tokens: AtomicU64,
    pub(crate) others_prefill_tokens: AtomicU64,
    /// This daemon's generations on it, and those of all others.
    generations: Mutex<Vec<RunView>>,
    others_generations: Mutex<Vec<RunView>>,
    /// Closed when the upstream is about to go.
    leaving: Receiver<()>,
    leave: Sender<()>,
    leaving_since_ms: AtomicU64,
    first_seen_ms: u64,
    outcomes: Mutex<Outcomes>,
}

/// What recent requests on one upstream came to.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    failure_rate: f64,
    latency_ms: f64,
    suspect_until_ms: u64,
    spoiled_until_ms: u64,
}

impl UpstreamState {
    /// An upstream that was first heard of at `now_ms`.
    pub(crate) fn new(record: UpstreamRecord, now_ms: u64) -> Self {
        let (leave, leaving) = async_channel::bounded(1);
        Self {
            record,
            pool: Pool::default(),
            outstanding: AtomicU32::new(0),
            reserved_tokens: AtomicU64::new(0),
            prefill_tokens: AtomicU64::new(0),
            others_prefill_tokens: AtomicU64::new(0),
            others_runs: AtomicU32::new(0),
            others_reserved_tokens: AtomicU64::new(0),
            generations: Mutex::default(),
            others_generations: Mutex::default(),
            leaving,
            leave,
            leaving_since_ms: AtomicU64::new(0),
            first_seen_ms: now_ms,
            outcomes: Mutex::default(),
        }
    }

    /// Marks the upstream as about to go: it gets no new work, and generations on it move away.
    pub(crate) fn mark_leaving(&self, now_ms: u64) -> bool {
        let is_first = self
            .leaving_since_ms
            .compare_exchange(0, now_ms.max(1), Ordering::AcqRel, Ordering::Acquire)
            .is_ok();
        self.leave.close();
        is_first
    }

    /// True once the upstream is about to go.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_closed()
    }

    /// Completes when the upstream is about to go.
    pub(crate) async fn left(&self) {
        let _ = self.leaving.recv().await;
    }

    /// The time since the notice, 0 without one.
    pub(crate) fn since_notice_ms(&self, now_ms: u64) -> u64 {
        match self.leaving_since_ms.load(Ordering::Acquire) {
            0 => 0,
            since_ms => now_ms.saturating_sub(since_ms),
        }
    }

    /// This daemon's generations on it.
    pub(crate) fn own_generations(&self) -> MutexGuard<'_, Vec<RunView>> {
        self.generations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The generations on it, of all daemons.
    pub(crate) fn all_generations(&self) -> Vec<RunView> {
        let others = self.others_generations.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = others.clone();
        drop(others);
        all.extend(self.own_generations().iter().copied());
        all
    }

    /// Replaces what other daemons' generations are known.
    pub(crate) fn set_others_generations(&self, generations: Vec<RunView>) {
        *self.others_generations.lock().unwrap_or_else(PoisonError::into_inner) = generations;
    }

    /// How much longer the upstream is slow after its start.
    pub(crate) fn cold_ms(&self, now_ms: u64) -> u64 {
        (self.first_seen_ms + self.record.cold_ms).saturating_sub(now_ms)
    }

    /// Records an answer after `latency_ms`; `is_good` unless the upstream failed the request.
    pub(crate) fn answered(&self, is_good: bool, latency_ms: u64) {
        let mut outcomes = self.outcomes();
        outcomes.mix_failure(if is_good { 0.0 } else { 1.0 });
        if is_good {
            outcomes.mix_latency(latency_ms as f64);
            outcomes.suspect_until_ms = 0;
        }
    }

    /// Records that a request was sent and its answer never came, or came spoiled.
    pub(crate) fn lost(&self) {
        self.outcomes().mix_failure(1.0);
    }

    /// Records that the upstream could not be reached.
    pub(crate) fn unreachable(&self, now_ms: u64) {
        let mut outcomes = self.outcomes();
        outcomes.mix_failure(1.0);
        outcomes.suspect_until_ms = now_ms + SUSPECT_MS;
    }

    /// Records that bytes came that belong to no request.
    pub(crate) fn spoiled(&self, now_ms: u64) {
        const SPOILED_MS: u64 = 10_000;
        self.outcomes().spoiled_until_ms = now_ms + SPOILED_MS;
        self.pool.clear();
    }

    /// True while kept connections are not trusted with requests that may run only once.
    pub(crate) fn is_spoiled(&self, now_ms: u64) -> bool {
        now_ms < self.outcomes().spoiled_until_ms
    }

    /// The share of recent requests that failed.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.outcomes().failure_rate
    }

    /// The usual time of an answer, 0 before the first.
    pub(crate) fn latency_ms(&self) -> f64 {
        self.outcomes().latency_ms
    }

    /// True for a short time after the upstream could not be reached.
    pub(crate) fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.outcomes().suspect_until_ms
    }

    fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Outcomes {
    fn mix_failure(&mut self, value: f64) {
        self.failure_rate += (value - self.failure_rate) * FAILURE_WEIGHT;
    }

    fn mix_latency(&mut self, value_ms: f64) {
        if self.latency_ms == 0.0 {
            self.latency_ms = value_ms;
        }
        self.latency_ms += (value_ms - self.latency_ms) * LATENCY_WEIGHT;
    }
}
