use std::collections::{BTreeMap, HashMap};

use comfreymast_base::Organisation;
use comfreymast_contract::KeyHash;

use crate::ContractEntry;

/// All contracts in force at one offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contracts {
    entries: BTreeMap<Organisation, ContractEntry>,
    by_key: HashMap<KeyHash, Organisation>,
}

impl Contracts {
    /// The entry of one organisation.
    #[must_use]
    pub fn get(&self, organisation: &str) -> Option<&ContractEntry> {
        self.entries.get(organisation)
    }

    /// The entry of the organisation that holds a key.
    #[must_use]
    pub fn by_key(&self, key: &KeyHash) -> Option<&ContractEntry> {
        self.get(self.by_key.get(key)?.as_str())
    }

    /// Every entry, by organisation.
    pub fn iter(&self) -> impl Iterator<Item = (&Organisation, &ContractEntry)> {
        self.entries.iter()
    }

    /// How many organisations have a contract.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no organisation has a contract.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn insert(&mut self, entry: ContractEntry) {
        let organisation = entry.contract.organisation.clone();
        if let Some(replaced) = self.entries.get(&organisation) {
            for hash in replaced.contract.keys.iter().filter_map(|key| key.hash()) {
                self.by_key.remove(&hash);
            }
        }
        for hash in entry.contract.keys.iter().filter_map(|key| key.hash()) {
            self.by_key.insert(hash, organisation.clone());
        }
        self.entries.insert(organisation, entry);
    }

    /// The organisation that already holds `key`, unless that is `organisation` itself.
    pub(crate) fn other_holder(&self, key: &KeyHash, organisation: &str) -> Option<&Organisation> {
        self.by_key.get(key).filter(|holder| holder.as_str() != organisation)
    }
}
