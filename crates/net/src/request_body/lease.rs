use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use comfreymast_base::{Clock, Organisation};
use comfreymast_decide::body_budget::{BodyBudget, BodyId, Grant};
use event_listener::Event;

/// The budget, and who waits for a change of it.
#[derive(Debug)]
pub(super) struct Shared {
    budget: Mutex<BodyBudget>,
    pub(super) clock: Clock,
    /// Notified when there may be room for a body that waits.
    pub(super) room: Event,
    /// Notified when bodies are cancelled.
    pub(super) cancellation: Event,
}

impl Shared {
    pub(super) fn new(limit_bytes: usize, clock: Clock) -> Arc<Self> {
        let budget = Mutex::new(BodyBudget::new(limit_bytes));
        Arc::new(Self { budget, clock, room: Event::new(), cancellation: Event::new() })
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of the budget that one body has, until this is dropped.
#[derive(Debug)]
pub(super) struct Lease {
    shared: Arc<Shared>,
    id: BodyId,
}

impl Lease {
    pub(super) fn open(shared: &Arc<Shared>, organisation: Option<Organisation>) -> Self {
        let id = shared.budget().open(organisation, shared.clock.now_ms());
        Self { shared: shared.clone(), id }
    }

    pub(super) fn take(&self, bytes: usize) -> Grant {
        self.shared.budget().take(self.id, bytes, self.shared.clock.now_ms())
    }

    /// Cancels stalled bodies for this one, which waits.
    pub(super) fn reclaim(&self) {
        let has_cancelled = self.shared.budget().reclaim(self.id, self.shared.clock.now_ms());
        if has_cancelled {
            self.shared.cancellation.notify(usize::MAX);
        }
    }

    pub(super) fn record_arrival(&self, bytes: usize) {
        self.shared.budget().record_arrival(self.id, bytes, self.shared.clock.now_ms());
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.shared.budget().is_cancelled(self.id)
    }

    /// The whole body, which keeps its part of the budget until it is dropped.
    pub(super) fn keep_with(self, bytes: Vec<u8>) -> Bytes {
        self.shared.budget().complete(self.id);
        Bytes::from_owner(LeasedBytes { bytes, _lease: self })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let is_awaited = {
            let mut budget = self.shared.budget();
            budget.release(self.id);
            budget.waiting() > 0
        };
        if is_awaited {
            self.shared.room.notify(usize::MAX);
        }
    }
}

struct LeasedBytes {
    // Dropped before the lease.
    bytes: Vec<u8>,
    _lease: Lease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
