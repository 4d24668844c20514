use std::collections::{BTreeMap, BTreeSet, VecDeque};

use comfreymast_base::StorePosition;

use crate::feed::Revision;

/// The store comes back from copies that are only seconds old, so older removals are not needed.
const MAX_REMOVED_KEYS: usize = 1_024;

/// The keys that were removed from a topic lately, so that an older copy of it does not bring them
/// back.
#[derive(Debug, Default)]
pub(crate) struct RemovedKeys {
    by_key: BTreeMap<String, RemovedKey>,
    /// In the order of their removal. May hold keys that were written again.
    order: VecDeque<String>,
}

/// A removed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RemovedKey {
    /// Where it was removed, or is known to have been missing later.
    pub(crate) at: StorePosition,
    /// The offset of its last record.
    pub(crate) last_offset: u64,
    /// The revision of its last value.
    pub(crate) revision: Option<Revision>,
}

impl RemovedKey {
    /// True if a record at `position` is older than the removal, or one that an older copy of the store has
    /// again. The copy ends before the removal, so what it has of the key is at the offset of the last record
    /// or before.
    pub(crate) fn replaces(&self, position: StorePosition) -> bool {
        let is_later_era = position.era > self.at.era;
        position < self.at || (is_later_era && position.offset <= self.last_offset)
    }
}

impl RemovedKeys {
    /// Remembers a removal.
    pub(crate) fn insert(&mut self, key: String, removed: RemovedKey) {
        self.by_key.insert(key.clone(), removed);
        self.order.push_back(key);
        while self.order.len() > MAX_REMOVED_KEYS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_key.remove(&oldest);
            }
        }
    }

    /// Forgets a key that was written again.
    pub(crate) fn remove(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Notes that no key but those `listed` was there at `end`.
    pub(crate) fn confirm(&mut self, listed: &BTreeSet<String>, end: StorePosition) {
        let unlisted = self.by_key.iter_mut().filter(|(key, _)| !listed.contains(*key));
        unlisted.for_each(|(_, removed)| removed.at = removed.at.max(end));
    }

    /// All removals.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&String, &RemovedKey)> {
        self.by_key.iter()
    }

    /// The removal of a key.
    pub(crate) fn get(&self, key: &str) -> Option<RemovedKey> {
        self.by_key.get(key).copied()
    }
}
