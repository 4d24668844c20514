use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use bytes::Bytes;
use comfreymast_ledger::{Applied, Contracts, Ledger, Quarantines, SnapshotError};
use comfreymast_wire::log::Snapshot;
use event_listener::Event;

use crate::recent_entries::RecentEntries;

/// The ledger of this daemon, with copies of the parts that requests read without a lock.
#[derive(Debug, Default)]
pub(crate) struct LedgerState {
    ledger: Mutex<Ledger>,
    contracts: ArcSwap<Contracts>,
    quarantines: ArcSwap<Quarantines>,
    next_offset: AtomicU64,
    recent: Mutex<RecentEntries>,
    changed: Event,
}

impl LedgerState {
    /// The contracts in force.
    pub(crate) fn contracts(&self) -> Arc<Contracts> {
        self.contracts.load_full()
    }

    /// The quarantined requests.
    pub(crate) fn quarantines(&self) -> Arc<Quarantines> {
        self.quarantines.load_full()
    }

    /// The offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset.load(Ordering::Acquire)
    }

    /// Locks the ledger. Requests never take this lock.
    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `entries` in order, then publishes the new state to readers.
    pub(crate) fn apply(&self, entries: &[(u64, Bytes)]) -> Vec<(u64, Applied)> {
        let mut ledger = self.ledger();
        let first_new = ledger.next_offset();
        let applied: Vec<_> = entries
            .iter()
            .map(|(offset, record)| (*offset, ledger.apply(*offset, record)))
            .collect();
        let new_offsets = first_new..ledger.next_offset();
        self.recent().extend(entries.iter().filter(|(offset, _)| new_offsets.contains(offset)));
        if applied.iter().any(|(_, applied)| matches!(applied, Applied::Contract { .. })) {
            self.contracts.store(Arc::new(ledger.contracts().clone()));
        }
        if applied.iter().any(|(_, applied)| matches!(applied, Applied::Quarantine { .. })) {
            self.quarantines.store(Arc::new(ledger.quarantines().clone()));
        }
        self.next_offset.store(ledger.next_offset(), Ordering::Release);
        drop(ledger);
        self.changed.notify(usize::MAX);
        applied
    }

    /// Installs a snapshot if it is ahead of the ledger; returns whether it was installed.
    pub(crate) fn install(&self, snapshot: &Snapshot) -> Result<bool, SnapshotError> {
        if snapshot.upto_offset <= self.next_offset() {
            return Ok(false);
        }
        let restored = Ledger::restore(snapshot)?;
        let mut ledger = self.ledger();
        if restored.next_offset() <= ledger.next_offset() {
            return Ok(false);
        }
        *ledger = restored;
        self.recent().clear();
        self.contracts.store(Arc::new(ledger.contracts().clone()));
        self.quarantines.store(Arc::new(ledger.quarantines().clone()));
        self.next_offset.store(ledger.next_offset(), Ordering::Release);
        drop(ledger);
        self.changed.notify(usize::MAX);
        Ok(true)
    }

    /// Locks the latest applied records, which are kept for peers that cannot read the log.
    pub(crate) fn recent(&self) -> MutexGuard<'_, RecentEntries> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `find` returns a value for the ledger.
    pub(crate) async fn wait_for<T>(&self, find: impl Fn(&Ledger) -> Option<T>) -> T {
        loop {
            let changed = self.changed.listen();
            let found = find(&self.ledger());
            if let Some(found) = found {
                return found;
            }
            changed.await;
        }
    }
}
