use std::collections::{BTreeMap, VecDeque};

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
    /// The era in which it was removed.
    pub(crate) era: u64,
    /// The revision of its last value.
    pub(crate) revision: Option<Revision>,
}

impl RemovedKeys {
    /// Remembers a removal.
    pub(crate) fn insert(&mut self, key: String, era: u64, revision: Option<Revision>) {
        self.by_key.insert(key.clone(), RemovedKey { era, revision });
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

    /// The removal of a key.
    pub(crate) fn get(&self, key: &str) -> Option<RemovedKey> {
        self.by_key.get(key).copied()
    }
}
