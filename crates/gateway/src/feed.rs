use std::collections::BTreeMap;

use bytes::Bytes;
use comfreymast_platform::KeyedRecord;
use comfreymast_wire::news::{TopicRecord, TopicSnapshot};

/// The newest known record of each key of one topic. It never goes back to an older state.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    next_offset: u64,
    is_loaded: bool,
    records: BTreeMap<String, (u64, Bytes)>,
}

/// A changed key of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FeedChange {
    /// The key.
    pub(crate) key: String,
    /// The new value; `None` when the key was removed.
    pub(crate) value: Option<Bytes>,
}

impl Feed {
    /// The offset of the next expected record.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// True once all keys have been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Applies the records read up to `next_offset`, and returns what changed.
    pub(crate) fn apply(&mut self, records: Vec<KeyedRecord>, next_offset: u64) -> Vec<FeedChange> {
        let mut changes = Vec::new();
        for record in records {
            if record.offset >= self.next_offset {
                changes.extend(self.set(record.key, record.offset, record.value));
            }
        }
        self.next_offset = self.next_offset.max(next_offset);
        changes
    }

    /// Replaces the feed with the newest record of each key as of `end_offset`, and removes keys
    /// without one. Once loaded, the feed ignores a state that is older than its own.
    pub(crate) fn replace(
        &mut self,
        records: Vec<KeyedRecord>,
        end_offset: u64,
    ) -> Vec<FeedChange> {
        if self.is_loaded && end_offset < self.next_offset {
            return Vec::new();
        }
        let removed: Vec<_> = self
            .records
            .keys()
            .filter(|key| !records.iter().any(|record| record.key == **key))
            .cloned()
            .collect();
        let mut changes: Vec<_> =
            removed.into_iter().filter_map(|key| self.set(key, end_offset, None)).collect();
        for record in records {
            changes.extend(self.set(record.key, record.offset, record.value));
        }
        self.next_offset = self.next_offset.max(end_offset);
        self.is_loaded = true;
        changes
    }

    /// The whole feed, for a peer that cannot read it from the store.
    pub(crate) fn snapshot(&self) -> TopicSnapshot {
        let records = self.records.iter().map(|(key, (offset, value))| TopicRecord {
            key: key.clone(),
            offset: *offset,
            value: value.clone(),
        });
        TopicSnapshot { next_offset: self.next_offset, records: records.collect() }
    }

    fn set(&mut self, key: String, offset: u64, value: Option<Bytes>) -> Option<FeedChange> {
        let is_unchanged = match (&value, self.records.get(&key)) {
            (Some(value), Some((_, current))) => value == current,
            (None, None) => true,
            _ => false,
        };
        match &value {
            Some(value) => self.records.insert(key.clone(), (offset, value.clone())),
            None => self.records.remove(&key),
        };
        (!is_unchanged).then_some(FeedChange { key, value })
    }
}
