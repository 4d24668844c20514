use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_base::SoftwareVersion;
use comfreymast_decide::evacuation::RunView;
use comfreymast_fleet::UpstreamRecord;
use comfreymast_platform::{Pause, ResponseHead};

use crate::brittleness::Brittleness;
use crate::directory::SharedState;
use crate::named_limit::NamedLimit;
use crate::pool::Pool;
use crate::room::RoomSignal;
use crate::service_links::ServiceLinks;

const FAILURE_WEIGHT: f64 = 0.15;
const LATENCY_WEIGHT: f64 = 0.1;
/// How long an upstream that could not be reached is chosen last.
const SUSPECT_MS: u64 = 2_000;

/// What this daemon knows of an upstream, kept from its first announcement until it is gone.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// What the upstream announces about itself.
    pub(crate) record: UpstreamRecord,
    /// Idle connections to it.
    pub(crate) pool: Pool,
    /// The number of this daemon's requests that run on it.
    pub(crate) outstanding: AtomicU32,
    /// Memory that this daemon's generations hold or are expected to hold on it.
    pub(crate) reserved_tokens: AtomicU64,
    /// Prompt tokens of this daemon's requests that the upstream still has to process.
    pub(crate) prefill_tokens: AtomicU64,
    /// The same three figures, summed over all other daemons.
    pub(crate) others_runs: AtomicU32,
    pub(crate) others_reserved_tokens: AtomicU64,
    pub(crate) others_prefill_tokens: AtomicU64,
    /// This daemon's generations on it, and those of all others.
    generations: Mutex<Vec<RunView>>,
    others_generations: Mutex<Vec<RunView>>,
    /// Closed when the upstream is leaving.
    leaving: Receiver<()>,
    leave: Sender<()>,
    leaving_since_ms: AtomicU64,
    /// True once a later start of the upstream has registered.
    has_restarted: AtomicBool,
    /// True once it is known that this start of it has ended.
    has_ended: AtomicBool,
    first_seen_ms: u64,
    /// Until when it wants no requests from this daemon.
    paused_until_ms: AtomicU64,
    has_named_invalid_pause: AtomicBool,
    /// The limit that it names for all daemons together.
    pub(crate) limit: NamedLimit,
    /// This daemon's links to all upstreams of its service.
    pub(crate) links: Arc<ServiceLinks>,
    /// Whether the upstreams of its service are brittle.
    pub(crate) brittleness: Arc<Brittleness>,
    /// Notified when room on the engines of its service may have become free.
    pub(crate) room: Arc<RoomSignal>,
    /// The places of it that this daemon uses meanwhile, and until when that is known.
    own_slots: Mutex<(u32, u64)>,
    last_heard_ms: AtomicU64,
    outcomes: Mutex<Outcomes>,
}

/// Statistics of recent requests on one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    failure_rate: f64,
    latency_ms: f64,
    suspect_until_ms: u64,
    untrusted_until_ms: u64,
}

impl UpstreamState {
    /// An upstream that was first seen at `now_ms`.
    pub(crate) fn new(record: UpstreamRecord, shared: SharedState, now_ms: u64) -> Self {
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
            has_restarted: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            first_seen_ms: now_ms,
            paused_until_ms: AtomicU64::new(0),
            has_named_invalid_pause: AtomicBool::new(false),
            limit: NamedLimit::default(),
            links: shared.links,
            brittleness: shared.brittleness,
            room: shared.room,
            own_slots: Mutex::default(),
            last_heard_ms: AtomicU64::new(0),
            outcomes: Mutex::default(),
        }
    }

    /// The version of its software, for the log; empty if it states none.
    pub(crate) fn version_text(&self) -> &str {
        self.record.version.as_ref().map_or("", SoftwareVersion::as_str)
    }

    /// Marks the upstream as leaving: it gets no new work, and generations on it move away. True
    /// on the first call.
    pub(crate) fn mark_leaving(&self, now_ms: u64) -> bool {
        let is_first = self
            .leaving_since_ms
            .compare_exchange(0, now_ms.max(1), Ordering::AcqRel, Ordering::Acquire)
            .is_ok();
        self.leave.close();
        is_first
    }

    /// Marks the upstream as leaving because a later start of it has registered. Has no effect on an
    /// upstream that had announced its leave.
    pub(crate) fn mark_restarted(&self, now_ms: u64) -> bool {
        if !self.is_leaving() {
            self.has_restarted.store(true, Ordering::Release);
        }
        self.mark_leaving(now_ms)
    }

    /// True once a later start of the upstream has registered, without a leave before.
    pub(crate) fn has_restarted(&self) -> bool {
        self.has_restarted.load(Ordering::Acquire)
    }

    /// Records that this start of the upstream has ended.
    pub(crate) fn mark_ended(&self) {
        self.has_ended.store(true, Ordering::Release);
    }

    /// True once it is known that this start of the upstream has ended.
    pub(crate) fn is_known_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// True once the upstream is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_closed()
    }

    /// Completes when the upstream is leaving.
    pub(crate) async fn wait_leaving(&self) {
        let _ = self.leaving.recv().await;
    }

    /// The time since the upstream was marked as leaving, 0 if it is not.
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

    /// Replaces the known generations of other daemons.
    pub(crate) fn set_others_generations(&self, generations: Vec<RunView>) {
        *self.others_generations.lock().unwrap_or_else(PoisonError::into_inner) = generations;
    }

    /// Records that an answer, or more of one, arrived.
    pub(crate) fn record_heard(&self, now_ms: u64) {
        self.last_heard_ms.fetch_max(now_ms, Ordering::AcqRel);
    }

    /// When an answer, or more of one, last arrived; 0 before the first.
    pub(crate) fn last_heard_ms(&self) -> u64 {
        self.last_heard_ms.load(Ordering::Acquire)
    }

    /// Records what the head of an answer, to whatever request, says of the upstream itself. The request
    /// was sent at `sent_ms`.
    pub(crate) fn record_head(&self, answer: &ResponseHead, sent_ms: u64, now_ms: u64) {
        self.limit.record_answer(&self.record.name, answer.named_rate, sent_ms, now_ms);
        if self.brittleness.record_answer(answer.is_brittle, now_ms) {
            log::info!(target: "comfreymast", code = 1316, upstream = self.record.name.as_str(),
                service = self.record.service.as_str(), is_brittle = answer.is_brittle;
                "brittleness of upstreams began or ended");
        }
        if answer.is_leaving {
            self.record_leaving_answer(now_ms);
        }
        match answer.pause {
            Pause::Absent => {}
            Pause::Ms(pause_ms) => self.pause(pause_ms, now_ms),
            Pause::Invalid => {
                if !self.has_named_invalid_pause.swap(true, Ordering::AcqRel) {
                    log::warn!(target: "comfreymast", code = 1313,
                        upstream = self.record.name.as_str();
                        "upstream named a pause that is no time");
                }
            }
        }
    }

    /// The places of it that this daemon uses while it is brittle. `count` finds that anew, now and then.
    pub(crate) fn own_slots(&self, now_ms: u64, count: impl FnOnce() -> u32) -> u32 {
        const TTL_MS: u64 = 300;
        let mut own_slots = self.own_slots.lock().unwrap_or_else(PoisonError::into_inner);
        if now_ms >= own_slots.1 {
            *own_slots = (count(), now_ms + TTL_MS);
        }
        own_slots.0
    }

    /// Marks the upstream as leaving, as one of its answers says, whatever its entry says.
    fn record_leaving_answer(&self, now_ms: u64) {
        if self.mark_leaving(now_ms) {
            self.pool.clear();
            log::info!(target: "comfreymast", code = 1302, upstream = self.record.name.as_str(),
                reason = "answer"; "upstream is leaving");
            self.room.notify();
        }
    }

    /// Sends nothing more for `pause_ms`. A shorter pause does not end a longer one.
    fn pause(&self, pause_ms: u64, now_ms: u64) {
        let until_ms = now_ms.saturating_add(pause_ms);
        let before_ms = self.paused_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        if before_ms <= now_ms && pause_ms > 0 {
            log::info!(target: "comfreymast", code = 1312, upstream = self.record.name.as_str(),
                pause_ms; "upstream wants no requests for a while");
            self.room.notify();
        }
    }

    /// How much longer it wants no requests from this daemon; 0 if it takes them.
    pub(crate) fn pause_left_ms(&self, now_ms: u64) -> u64 {
        self.paused_until_ms.load(Ordering::Acquire).saturating_sub(now_ms)
    }

    /// When this start of the upstream became known.
    pub(crate) fn first_seen_ms(&self) -> u64 {
        self.first_seen_ms
    }

    /// How much longer the upstream is slow because it has just started.
    pub(crate) fn cold_ms(&self, now_ms: u64) -> u64 {
        self.first_seen_ms.saturating_add(self.record.cold_ms).saturating_sub(now_ms)
    }

    /// Records an answer after `latency_ms`; `is_good` is false for an error of the upstream.
    pub(crate) fn record_answer(&self, is_good: bool, latency_ms: u64) {
        let mut outcomes = self.outcomes();
        outcomes.update_failure_rate(if is_good { 0.0 } else { 1.0 });
        if is_good {
            outcomes.update_latency(latency_ms as f64);
            outcomes.suspect_until_ms = 0;
        }
    }

    /// Records that a request was sent and its answer did not arrive whole.
    pub(crate) fn record_lost_answer(&self) {
        self.outcomes().update_failure_rate(1.0);
    }

    /// Records that the upstream could not be reached.
    pub(crate) fn record_unreachable(&self, now_ms: u64) {
        let mut outcomes = self.outcomes();
        outcomes.update_failure_rate(1.0);
        outcomes.suspect_until_ms = now_ms + SUSPECT_MS;
    }

    /// Records an answer that is not the upstream's own answer to the request, and closes all idle
    /// connections.
    pub(crate) fn mark_untrusted(&self, now_ms: u64) {
        const UNTRUSTED_MS: u64 = 10_000;
        self.outcomes().untrusted_until_ms = now_ms + UNTRUSTED_MS;
        self.pool.clear();
    }

    /// True while idle connections are not used for requests that may run only once.
    pub(crate) fn is_untrusted(&self, now_ms: u64) -> bool {
        now_ms < self.outcomes().untrusted_until_ms
    }

    /// The moving average of the share of requests that failed.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.outcomes().failure_rate
    }

    /// The moving average of the time of an answer, 0 before the first.
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
    fn update_failure_rate(&mut self, value: f64) {
        self.failure_rate += (value - self.failure_rate) * FAILURE_WEIGHT;
    }

    fn update_latency(&mut self, value_ms: f64) {
        if self.latency_ms == 0.0 {
            self.latency_ms = value_ms;
        }
        self.latency_ms += (value_ms - self.latency_ms) * LATENCY_WEIGHT;
    }
}
