use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreymast_decide::quarantine::{Fingerprint, QuarantineStatus, SuspicionTable};

use crate::directory::UpstreamState;

/// What this daemon suspects.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    /// True once anything was suspected; requests take no lock before.
    suspects: AtomicBool,
    table: Mutex<SuspicionTable>,
    placed: Arc<Mutex<Vec<(SocketAddr, Fingerprint)>>>,
}

impl QuarantineState {
    /// True while nobody is suspected.
    pub(crate) fn is_quiet(&self) -> bool {
        !self.suspects.load(Ordering::Acquire)
    }

    /// Changes the table of suspicions.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut SuspicionTable) -> T) -> T {
        let mut table = self.table();
        let changed = change(&mut table);
        self.suspects.store(!table.is_empty(), Ordering::Release);
        changed
    }

    /// What is held against a request.
    pub(super) fn standing(&self, fingerprint: &Fingerprint, now_ms: u64) -> QuarantineStatus {
        if self.is_quiet() {
            QuarantineStatus::Clear
        } else {
            self.table().status(fingerprint, now_ms)
        }
    }

    /// Forgets what is held against a request.
    pub(crate) fn forget(&self, fingerprint: &Fingerprint) {
        self.update(|table| table.forget(fingerprint));
    }

    /// Notes where a suspect runs, until the guard is dropped. `None` for one nobody suspects.
    pub(crate) fn place(
        &self,
        engine: &UpstreamState,
        fingerprint: impl FnOnce() -> Fingerprint,
        now_ms: u64,
    ) -> Option<Placed> {
        if self.is_quiet() {
            return None;
        }
        let place = (engine.addr, fingerprint());
        if self.standing(&place.1, now_ms) == QuarantineStatus::Clear {
            return None;
        }
        lock(&self.placed).push(place);
        Some(Placed { placed: self.placed.clone(), place })
    }

    /// Engines that run another suspect, so that one death does not fall on two.
    pub(crate) fn engines_to_avoid(
        &self,
        fingerprint: impl FnOnce() -> Fingerprint,
        now_ms: u64,
    ) -> BTreeSet<SocketAddr> {
        if self.is_quiet() {
            return BTreeSet::new();
        }
        let fingerprint = fingerprint();
        if self.standing(&fingerprint, now_ms) == QuarantineStatus::Clear {
            return BTreeSet::new();
        }
        let placed = lock(&self.placed);
        let others = placed.iter().filter(|(_, other)| *other != fingerprint);
        others.map(|(addr, _)| *addr).collect()
    }

    fn table(&self) -> MutexGuard<'_, SuspicionTable> {
        lock(&self.table)
    }
}

/// A suspect that runs on an engine.
#[derive(Debug)]
pub(crate) struct Placed {
    placed: Arc<Mutex<Vec<(SocketAddr, Fingerprint)>>>,
    place: (SocketAddr, Fingerprint),
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut placed = lock(&self.placed);
        if let Some(index) = placed.iter().position(|place| *place == self.place) {
            placed.swap_remove(index);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
