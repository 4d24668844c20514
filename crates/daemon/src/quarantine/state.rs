use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreymast_decide::quarantine::{Fingerprint, QuarantineStatus, SuspicionTable};

use crate::directory::UpstreamState;

/// The requests that this daemon suspects of crashing engines.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    /// True while any request is suspected. While it is false, requests need not take the lock.
    has_suspects: AtomicBool,
    table: Mutex<SuspicionTable>,
    running: Arc<Mutex<Vec<(SocketAddr, Fingerprint)>>>,
}

impl QuarantineState {
    /// True while no request is suspected.
    pub(crate) fn has_no_suspects(&self) -> bool {
        !self.has_suspects.load(Ordering::Acquire)
    }

    /// Updates the table of suspicions.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut SuspicionTable) -> T) -> T {
        let mut table = self.table();
        let changed = change(&mut table);
        self.has_suspects.store(!table.is_empty(), Ordering::Release);
        changed
    }

    /// The quarantine status of a request in the table.
    pub(super) fn status(&self, fingerprint: &Fingerprint, now_ms: u64) -> QuarantineStatus {
        if self.has_no_suspects() {
            QuarantineStatus::Clear
        } else {
            self.table().status(fingerprint, now_ms)
        }
    }

    /// Drops all suspicions of a request.
    pub(crate) fn forget(&self, fingerprint: &Fingerprint) {
        self.update(|table| table.forget(fingerprint));
    }

    /// Records that a suspected request runs on an engine, until the guard is dropped. `None` if
    /// the request is not suspected.
    pub(crate) fn track(
        &self,
        engine: &UpstreamState,
        fingerprint: impl FnOnce() -> Fingerprint,
        now_ms: u64,
    ) -> Option<RunningSuspect> {
        if self.has_no_suspects() {
            return None;
        }
        let entry = (engine.addr, fingerprint());
        if self.status(&entry.1, now_ms) == QuarantineStatus::Clear {
            return None;
        }
        lock(&self.running).push(entry);
        Some(RunningSuspect { running: self.running.clone(), entry })
    }

    /// Engines that run another suspected request, so that one death does not implicate both.
    pub(crate) fn engines_to_avoid(
        &self,
        fingerprint: impl FnOnce() -> Fingerprint,
        now_ms: u64,
    ) -> BTreeSet<SocketAddr> {
        if self.has_no_suspects() {
            return BTreeSet::new();
        }
        let fingerprint = fingerprint();
        if self.status(&fingerprint, now_ms) == QuarantineStatus::Clear {
            return BTreeSet::new();
        }
        let running = lock(&self.running);
        let others = running.iter().filter(|(_, other)| *other != fingerprint);
        others.map(|(addr, _)| *addr).collect()
    }

    fn table(&self) -> MutexGuard<'_, SuspicionTable> {
        lock(&self.table)
    }
}

/// Guard of a suspected request that runs on an engine.
#[derive(Debug)]
pub(crate) struct RunningSuspect {
    running: Arc<Mutex<Vec<(SocketAddr, Fingerprint)>>>,
    entry: (SocketAddr, Fingerprint),
}

impl Drop for RunningSuspect {
    fn drop(&mut self) {
        let mut running = lock(&self.running);
        if let Some(index) = running.iter().position(|entry| *entry == self.entry) {
            running.swap_remove(index);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
