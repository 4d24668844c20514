use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// How long upstreams of a service count as brittle after the last answer that said so. They may all be gone
/// for some seconds.
const TTL_MS: u64 = 10_000;
/// How many requests may wait for each place that this daemon uses.
const MAX_WAITING_PER_SLOT: u32 = 2;

/// Whether the upstreams of a service say that they are brittle, and who waits for a place at them.
#[derive(Debug, Default)]
pub(crate) struct Brittleness {
    /// 0 while they are not brittle.
    heard_ms: AtomicU64,
    waiting: AtomicU32,
}

impl Brittleness {
    /// Records what an answer says. True if that is a change.
    pub(crate) fn record_answer(&self, is_brittle: bool, now_ms: u64) -> bool {
        let was_brittle = self.is_brittle(now_ms);
        if is_brittle || was_brittle {
            let heard_ms = if is_brittle { now_ms.max(1) } else { 0 };
            self.heard_ms.store(heard_ms, Ordering::Release);
        }
        is_brittle != was_brittle
    }

    /// True while upstreams of the service are brittle.
    pub(crate) fn is_brittle(&self, now_ms: u64) -> bool {
        let heard_ms = self.heard_ms.load(Ordering::Acquire);
        heard_ms > 0 && now_ms.saturating_sub(heard_ms) < TTL_MS
    }

    /// Lets a request wait for one of `slots` places; `None` if too many wait already.
    pub(crate) fn wait(&self, slots: u32) -> Option<Waiting<'_>> {
        let before = self.waiting.fetch_add(1, Ordering::AcqRel);
        let waiting = Waiting(self);
        (before < slots.saturating_mul(MAX_WAITING_PER_SLOT)).then_some(waiting)
    }
}

/// A request that waits, until it is dropped.
#[derive(Debug)]
pub(crate) struct Waiting<'a>(&'a Brittleness);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
