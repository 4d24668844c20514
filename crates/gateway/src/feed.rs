use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use comfreymast_base::StorePosition;
use comfreymast_platform::KeyedRecord;
use comfreymast_wire::news::{self, TopicRecord, TopicSnapshot};

use crate::removed_keys::{RemovedKey, RemovedKeys};

/// Which of two values of one key is newer, whatever their positions: the one with the higher
/// revision.
pub(crate) type Revision = (u64, u64);

/// The newest known record of each key of one topic. It never goes back to an older state: when the
/// store comes back from an older copy, records that the copy lacks are kept until they are written
/// again or [`Feed::drop_unconfirmed`] removes them.
#[derive(Debug)]
pub(crate) struct Feed {
    position: StorePosition,
    is_loaded: bool,
    /// The era in which all keys were read first.
    first_era: u64,
    records: BTreeMap<String, StoredRecord>,
    removed: RemovedKeys,
    /// Keys that an older copy of the store has again, although they were removed.
    resurrected: BTreeSet<String>,
    revision_of: fn(&[u8]) -> Option<Revision>,
    /// True if the order of positions says whether a removed key comes back, where revisions do not.
    keeps_removals: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredRecord {
    position: StorePosition,
    value: Bytes,
}

/// A changed key of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FeedChange {
    /// The key.
    pub(crate) key: String,
    /// The new value; `None` when the key was removed.
    pub(crate) value: Option<Bytes>,
    /// True if it was read as it was written, and not found in a whole topic, where it may be old.
    pub(crate) is_news: bool,
}

/// The store's return from an older copy, as one feed saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EraChange {
    /// The position before.
    pub(crate) before: StorePosition,
    /// The position after.
    pub(crate) after: StorePosition,
    /// Keys whose records the copy lacks, or has in an older revision.
    pub(crate) lost: Vec<String>,
    /// Keys that were removed in an earlier era and are in the copy again.
    pub(crate) resurrected: Vec<String>,
}

/// What a replacement of a feed changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replacement {
    /// The changed keys.
    pub(crate) changes: Vec<FeedChange>,
    /// The change of era, if there was one.
    pub(crate) era_change: Option<EraChange>,
}

/// A record as it is known to the store or to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownRecord {
    /// Its key.
    pub(crate) key: String,
    /// Where it was written.
    pub(crate) position: StorePosition,
    /// Its value.
    pub(crate) value: Bytes,
}

impl KnownRecord {
    /// A record that the store has in `era`; `None` if it removes its key.
    pub(crate) fn of_store(record: KeyedRecord, era: u64) -> Option<Self> {
        let position = StorePosition { era, offset: record.offset };
        Some(Self { key: record.key, position, value: record.value? })
    }
}

impl Feed {
    /// An empty feed whose values are compared by `revision_of`. With `keeps_removals`, removed keys whose
    /// values state no revision do not come back with an older copy of the store.
    pub(crate) fn new(revision_of: fn(&[u8]) -> Option<Revision>, keeps_removals: bool) -> Self {
        Self {
            position: StorePosition::default(),
            is_loaded: false,
            first_era: 0,
            records: BTreeMap::new(),
            removed: RemovedKeys::default(),
            resurrected: BTreeSet::new(),
            revision_of,
            keeps_removals,
        }
    }

    /// The position of the next expected record.
    pub(crate) fn position(&self) -> StorePosition {
        self.position
    }

    /// True once all keys have been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Applies the records read up to `next`, and returns what changed. Records of another era are
    /// ignored.
    pub(crate) fn apply(
        &mut self,
        records: Vec<KeyedRecord>,
        next: StorePosition,
    ) -> Vec<FeedChange> {
        if next.era != self.position.era {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for record in records {
            let position = StorePosition { era: next.era, offset: record.offset };
            if position >= self.position {
                let change = self.accept(record.key, position, record.value);
                changes.extend(change.map(|change| FeedChange { is_news: true, ..change }));
            }
        }
        self.position = self.position.max(next);
        changes
    }

    /// Replaces the feed with the newest record of each key as of `end`, and removes keys without
    /// one, unless their records are of an earlier era and not among the `removals` that a peer knows.
    /// Once loaded, the feed ignores a state that is older than its own.
    pub(crate) fn replace(
        &mut self,
        records: Vec<KnownRecord>,
        removals: Vec<(String, RemovedKey)>,
        end: StorePosition,
    ) -> Replacement {
        if self.is_loaded && end < self.position {
            return Replacement::default();
        }
        let before = self.position;
        let is_new_era = self.is_loaded && end.era > before.era;
        let kept_lost = self.has_lost_records();
        self.position = self.position.max(end);
        let listed: BTreeSet<_> = records.iter().map(|record| record.key.clone()).collect();
        let removed: Vec<_> = self
            .records
            .iter()
            .filter(|(key, stored)| stored.position.era == end.era && !listed.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes: Vec<_> =
            removed.into_iter().filter_map(|key| self.accept(key, end, None)).collect();
        for (key, removal) in removals {
            if !listed.contains(&key) {
                changes.extend(self.apply_removal(key, removal));
            }
        }
        for record in records {
            let key = record.key.clone();
            changes.extend(self.accept(record.key, record.position, Some(record.value)));
            if self.keeps_removals && self.removed.get(&key).is_some() {
                self.resurrected.insert(key);
            }
        }
        if self.keeps_removals {
            self.removed.confirm(&listed, end);
            self.resurrected.retain(|key| listed.contains(key));
        }
        if !self.is_loaded {
            self.first_era = end.era;
        }
        self.is_loaded = true;
        // A daemon that started after the return learns from peers what the store lost.
        let learned_of_return = !kept_lost && self.has_lost_records();
        let era_change = (is_new_era || learned_of_return).then(|| EraChange {
            before,
            after: self.position,
            lost: self.unconfirmed(),
            resurrected: listed.into_iter().filter(|key| !self.records.contains_key(key)).collect(),
        });
        Replacement { changes, era_change }
    }

    /// True if the feed knows more than the store: it has records of an earlier era, which the store has lost,
    /// or knows of keys which are in the store that they were removed.
    pub(crate) fn keeps_lost_records(&self) -> bool {
        !self.resurrected.is_empty() || self.has_lost_records()
    }

    fn has_lost_records(&self) -> bool {
        self.records.values().any(|stored| stored.position.era < self.position.era)
    }

    /// True if the feed has not seen the store in an earlier era.
    pub(crate) fn is_in_first_era(&self) -> bool {
        self.is_loaded && self.position.era == self.first_era
    }

    /// Removes the records of earlier eras, which nobody has written again.
    pub(crate) fn drop_unconfirmed(&mut self) -> Vec<FeedChange> {
        let position = self.position;
        let keys = self.unconfirmed().into_iter();
        keys.filter_map(|key| self.set(key, position, None)).collect()
    }

    /// The value of a key whose record is of an earlier era.
    pub(crate) fn unconfirmed_value(&self, key: &str) -> Option<Bytes> {
        let stored = self.records.get(key)?;
        (stored.position.era < self.position.era).then(|| stored.value.clone())
    }

    /// True if `key` was removed in an earlier era, and nothing of it was written since.
    pub(crate) fn was_removed_before(&self, key: &str) -> bool {
        self.removed.get(key).is_some_and(|removed| removed.at.era < self.position.era)
    }

    /// True when the feed has a record of `key`.
    pub(crate) fn contains_key(&self, key: &str) -> bool {
        self.records.contains_key(key)
    }

    /// The whole feed, for a peer that cannot read it from the store.
    pub(crate) fn snapshot(&self) -> TopicSnapshot {
        let records = self.records.iter().map(|(key, stored)| TopicRecord {
            key: key.clone(),
            offset: stored.position.offset,
            value: stored.value.clone(),
            era: stored.position.era,
        });
        let removed = self.removed.iter().filter(|_| self.keeps_removals);
        let removed = removed.map(|(key, removed)| news::RemovedKey {
            key: key.clone(),
            offset: removed.at.offset,
            era: removed.at.era,
            last_offset: removed.last_offset,
        });
        TopicSnapshot {
            next_offset: self.position.offset,
            records: records.collect(),
            era: self.position.era,
            removed: removed.collect(),
        }
    }

    /// Applies the removal of a key that a peer knows, unless a later record of it is known here.
    fn apply_removal(&mut self, key: String, removal: RemovedKey) -> Option<FeedChange> {
        match self.records.get(&key) {
            Some(stored) if !removal.replaces(stored.position) => None,
            Some(_) => self.set(key, removal.at, None),
            None => {
                if self.removed.get(&key).is_none_or(|known| known.at < removal.at) {
                    self.removed.insert(key, removal);
                }
                None
            }
        }
    }

    fn unconfirmed(&self) -> Vec<String> {
        let era = self.position.era;
        let unconfirmed = self.records.iter().filter(|(_, stored)| stored.position.era < era);
        unconfirmed.map(|(key, _)| key.clone()).collect()
    }

    /// Sets a key unless what is known of it from an earlier era is newer.
    fn accept(
        &mut self,
        key: String,
        position: StorePosition,
        value: Option<Bytes>,
    ) -> Option<FeedChange> {
        if value.as_ref().is_some_and(|value| self.is_outdated(&key, position, value)) {
            return None;
        }
        self.set(key, position, value)
    }

    /// True if a record is older than what is known of its key, although the store gave it later:
    /// the store came back from a copy in between.
    fn is_outdated(&self, key: &str, position: StorePosition, value: &[u8]) -> bool {
        let is_appended = position >= self.position;
        if let Some(known) = self.records.get(key) {
            let order = position.era.cmp(&known.position.era);
            if order == Ordering::Equal {
                return false;
            }
            let revisions = ((self.revision_of)(value), (self.revision_of)(&known.value));
            let (Some(revision), Some(known_revision)) = revisions else {
                // Without revisions, a record of an earlier era replaces none of a later one.
                return order == Ordering::Less;
            };
            return match order {
                Ordering::Greater => revision < known_revision,
                Ordering::Equal | Ordering::Less => revision <= known_revision,
            };
        }
        let Some(removed) = self.removed.get(key) else { return false };
        match ((self.revision_of)(value), removed.revision) {
            (Some(revision), Some(removed_revision)) => {
                let is_earlier_era = removed.at.era < self.position.era;
                // The copy may have the very value that was removed.
                let is_older = if is_appended {
                    revision < removed_revision
                } else {
                    revision <= removed_revision
                };
                is_earlier_era && is_older
            }
            _ => self.keeps_removals && !is_appended && removed.replaces(position),
        }
    }

    fn set(
        &mut self,
        key: String,
        position: StorePosition,
        value: Option<Bytes>,
    ) -> Option<FeedChange> {
        let known = match &value {
            Some(value) => {
                let stored = StoredRecord { position, value: value.clone() };
                self.records.insert(key.clone(), stored)
            }
            None => self.records.remove(&key),
        };
        self.resurrected.remove(&key);
        match (&known, &value) {
            (Some(known), None) => {
                let removed = RemovedKey {
                    at: position,
                    last_offset: known.position.offset,
                    revision: (self.revision_of)(&known.value),
                };
                self.removed.insert(key.clone(), removed);
            }
            // What was removed before is removed still.
            (None, None) if self.keeps_removals => {}
            _ => self.removed.remove(&key),
        }
        let known = known.map(|known| known.value);
        (known != value).then_some(FeedChange { key, value, is_news: false })
    }
}

/// Leaves out records that a later value of their key replaces.
pub(crate) fn without_superseded(mut records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
    let mut written_later = BTreeSet::new();
    let mut kept: Vec<_> = Vec::with_capacity(records.len());
    while let Some(record) = records.pop() {
        if written_later.contains(&record.key) {
            continue;
        }
        if record.value.is_some() {
            written_later.insert(record.key.clone());
        }
        kept.push(record);
    }
    kept.reverse();
    kept
}
