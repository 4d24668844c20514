use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::{Receiver, Sender};
use comfreymast_base::Clock;
use comfreymast_net::within;
use event_listener::Event;

/// How long after a failed round requests do not wait for another one.
const FAILURE_PAUSE_MS: u64 = 1_000;

/// Rounds of work that one task does for all who wait for them.
#[derive(Debug)]
pub(crate) struct OnDemand {
    clock: Clock,
    wake: Sender<()>,
    woken: Receiver<()>,
    begun: AtomicU64,
    ended: AtomicU64,
    end: Event,
    /// When the last round ended, if it failed.
    failed_ms: AtomicU64,
}

impl OnDemand {
    /// No round has begun.
    pub(crate) fn new(clock: Clock) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self {
            clock,
            wake,
            woken,
            begun: AtomicU64::new(0),
            ended: AtomicU64::new(0),
            end: Event::new(),
            failed_ms: AtomicU64::new(0),
        }
    }

    /// Waits for the end of a round that begins after this call, for `limit_ms` at most. Returns true if
    /// it succeeded. Returns false at once for a while after a round that failed.
    pub(crate) async fn run(&self, limit_ms: u64) -> bool {
        if self.has_failed_lately() {
            return false;
        }
        let needed = self.begun.load(Ordering::Acquire) + 1;
        let asked_ms = self.clock.now_ms();
        loop {
            let end = self.end.listen();
            if self.ended.load(Ordering::Acquire) >= needed {
                return !self.has_failed_lately();
            }
            // Fails if the task is about to be woken already.
            let _ = self.wake.try_send(());
            let left_ms = (asked_ms + limit_ms).saturating_sub(self.clock.now_ms());
            if within(left_ms, end).await.is_err() {
                return false;
            }
        }
    }

    /// Waits until a round is asked for, for `limit_ms` at most. Returns true if one is.
    pub(crate) async fn is_asked(&self, limit_ms: u64) -> bool {
        within(limit_ms, self.woken.recv()).await.is_ok()
    }

    /// Begins a round.
    pub(crate) fn begin(&self) {
        self.begun.fetch_add(1, Ordering::AcqRel);
    }

    /// Ends the round.
    pub(crate) fn end(&self, is_good: bool) {
        let failed_ms = if is_good { 0 } else { self.clock.now_ms().max(1) };
        self.failed_ms.store(failed_ms, Ordering::Release);
        self.ended.fetch_add(1, Ordering::AcqRel);
        self.end.notify(usize::MAX);
    }

    fn has_failed_lately(&self) -> bool {
        let failed_ms = self.failed_ms.load(Ordering::Acquire);
        failed_ms > 0 && self.clock.now_ms() < failed_ms + FAILURE_PAUSE_MS
    }
}
