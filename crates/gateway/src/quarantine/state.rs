use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use comfreymast_decide::quarantine::{
    Fingerprint, QuarantineOptions, QuarantineStatus, RecentSuccesses, RequestContent,
    SuspicionTable,
};

/// How long a request stays quarantined. Upstreams may have been repaired by then; if not, it is
/// quarantined again after as many deaths as the first time.
const QUARANTINE_MS: u64 = 3_600_000;

/// What the store has of a suspected or quarantined request, or of parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredSuspect {
    /// True if all daemons refuse the request.
    pub(super) is_quarantined: bool,
    /// When the record was written, by the clock of its daemon.
    pub(super) written_unix_ms: u64,
    /// What a request must have all to be refused. Of a request or a single part, only itself.
    pub(super) members: Vec<Fingerprint>,
}

impl StoredSuspect {
    /// True once the record has no effect any more. Suspicions end when their deaths are forgotten.
    pub(super) fn is_expired(&self, now_unix_ms: u64) -> bool {
        let ttl_ms = if self.is_quarantined {
            QUARANTINE_MS
        } else {
            QuarantineOptions::for_any_request().window_ms
        };
        now_unix_ms.saturating_sub(self.written_unix_ms) > ttl_ms
    }
}

/// The requests that this daemon suspects of crashing upstreams, and those that are quarantined.
#[derive(Debug)]
pub(crate) struct QuarantineState {
    /// True while any request is suspected. While it is false, requests need not take the lock.
    has_suspects: AtomicBool,
    table: Mutex<SuspicionTable>,
    /// What the store has.
    stored: ArcSwap<HashMap<Fingerprint, StoredSuspect>>,
    recent: Mutex<RecentSuccesses>,
}

impl QuarantineState {
    /// No request is suspected.
    pub(crate) fn new() -> Self {
        Self {
            has_suspects: AtomicBool::new(false),
            table: Mutex::new(SuspicionTable::new(QuarantineOptions::for_any_request())),
            stored: ArcSwap::default(),
            recent: Mutex::default(),
        }
    }

    /// True while no request is suspected or quarantined.
    pub(crate) fn is_empty(&self) -> bool {
        !self.has_suspects.load(Ordering::Acquire) && self.stored.load().is_empty()
    }

    /// Whether a request may run at `now_ms`, which is `now_unix_ms` by the time of day.
    pub(super) fn status(
        &self,
        content: &RequestContent,
        now_ms: u64,
        now_unix_ms: u64,
    ) -> QuarantineStatus {
        if self.is_refused(content, now_unix_ms) {
            return QuarantineStatus::Quarantined;
        }
        if !self.has_suspects.load(Ordering::Acquire) {
            return QuarantineStatus::Clear;
        }
        lock(&self.table).status_of(content, now_ms)
    }

    /// True if the store has a quarantine that applies to a request.
    fn is_refused(&self, content: &RequestContent, now_unix_ms: u64) -> bool {
        let stored = self.stored.load();
        let applies = |known: &StoredSuspect| {
            known.is_quarantined
                && !known.is_expired(now_unix_ms)
                && content.contains_all(&known.members)
        };
        stored.values().any(|known| known.members.len() > 1 && applies(known))
            || content.iter().filter_map(|own| stored.get(own)).any(applies)
    }

    /// Updates the table of suspicions.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut SuspicionTable) -> T) -> T {
        let mut table = lock(&self.table);
        let changed = change(&mut table);
        self.has_suspects.store(!table.is_empty(), Ordering::Release);
        changed
    }

    /// Records that a request has run to its end, or that an upstream began to answer on a part.
    pub(super) fn record_success(&self, fingerprint: Fingerprint, succeeded_ms: u64) {
        lock(&self.recent).record(fingerprint, succeeded_ms);
    }

    /// When that last was the case through this daemon, if it was a short time ago.
    pub(super) fn last_success_ms(&self, fingerprint: &Fingerprint, now_ms: u64) -> Option<u64> {
        lock(&self.recent).last(fingerprint, now_ms)
    }

    /// True if the store has a quarantine of the request that has not expired.
    pub(super) fn is_declared(&self, fingerprint: &Fingerprint, now_unix_ms: u64) -> bool {
        let stored = self.stored.load();
        stored
            .get(fingerprint)
            .is_some_and(|stored| stored.is_quarantined && !stored.is_expired(now_unix_ms))
    }

    /// Adds what the store has of a request. A daemon that does not know a quarantine yet may
    /// overwrite it with a suspicion, which does not end it.
    pub(super) fn add_stored(&self, fingerprint: Fingerprint, mut added: StoredSuspect) {
        self.stored.rcu(|stored| {
            let mut stored = HashMap::clone(stored);
            added.is_quarantined |=
                stored.get(&fingerprint).is_some_and(|known| known.is_quarantined);
            stored.insert(fingerprint, added.clone());
            stored
        });
    }

    /// Removes a request that the store no longer has, with the deaths that led to its record.
    pub(super) fn remove_stored(&self, fingerprint: &Fingerprint) {
        self.stored.rcu(|stored| {
            let mut stored = HashMap::clone(stored);
            stored.remove(fingerprint);
            stored
        });
        self.update(|table| table.forget(fingerprint));
    }

    /// True if the store has a record of the request.
    pub(super) fn is_stored(&self, fingerprint: &Fingerprint) -> bool {
        self.stored.load().contains_key(fingerprint)
    }

    /// The requests whose records in the store have expired.
    pub(super) fn expired(&self, now_unix_ms: u64) -> Vec<Fingerprint> {
        let stored = self.stored.load();
        let expired = stored.iter().filter(|(_, stored)| stored.is_expired(now_unix_ms));
        expired.map(|(fingerprint, _)| *fingerprint).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
