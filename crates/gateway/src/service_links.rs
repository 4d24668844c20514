use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::link_watch::{ConnectionKind, LinkWatch, LinkWatchOptions};

/// How long links must have been lost, while probes go out, before requests under way are given up.
const CONFIRM_MS: u64 = 300;

/// Whether this daemon has lost its links to the upstreams of one service.
#[derive(Debug)]
pub(crate) struct ServiceLinks {
    /// The service.
    pub(crate) service: Service,
    watch: Mutex<LinkWatch>,
    /// Mirrors of the watch, for the request path.
    has_failures: AtomicBool,
    /// 0 while links are not lost.
    lost_since_ms: AtomicU64,
}

impl ServiceLinks {
    /// Links of which nothing is known.
    pub(crate) fn new(service: Service) -> Self {
        Self {
            service,
            watch: Mutex::new(LinkWatch::new(LinkWatchOptions::default())),
            has_failures: AtomicBool::new(false),
            lost_since_ms: AtomicU64::new(0),
        }
    }

    /// Records that an upstream, one of `upstreams`, failed. True if links are lost from now on.
    pub(crate) fn record_failure(
        &self,
        upstream: &Upstream,
        connection: ConnectionKind,
        upstreams: usize,
        now_ms: u64,
    ) -> bool {
        let mut watch = self.watch();
        let is_lost_now = watch.record_failure(upstream, connection, upstreams, now_ms);
        self.has_failures.store(true, Ordering::Release);
        if is_lost_now {
            self.lost_since_ms.store(now_ms.max(1), Ordering::Release);
        }
        is_lost_now
    }

    /// Records that an upstream, one of `upstreams`, was heard. If that ends a loss of links, returns how long it lasted.
    pub(crate) fn record_answer(
        &self,
        upstream: &Upstream,
        connection: ConnectionKind,
        upstreams: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let mut watch = self.watch();
        let is_back = watch.record_answer(upstream, connection, upstreams);
        self.has_failures.store(watch.has_failures(), Ordering::Release);
        is_back.then(|| now_ms.saturating_sub(self.lost_since_ms.swap(0, Ordering::AcqRel)))
    }

    /// True while some failure counts, so that answers have to be recorded.
    pub(crate) fn has_failures(&self) -> bool {
        self.has_failures.load(Ordering::Acquire)
    }

    /// True while links are lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost_since_ms.load(Ordering::Acquire) > 0
    }

    /// True once links have been lost for long enough for a probe to have shown otherwise.
    pub(crate) fn is_surely_lost(&self, now_ms: u64) -> bool {
        let since_ms = self.lost_since_ms.load(Ordering::Acquire);
        since_ms > 0 && now_ms.saturating_sub(since_ms) >= CONFIRM_MS
    }

    fn watch(&self) -> MutexGuard<'_, LinkWatch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
