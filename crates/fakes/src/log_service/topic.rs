use std::collections::{BTreeMap, VecDeque};

use base64::Engine as _;
use bytes::{Buf, Bytes};
use serde::Serialize;

const LENGTH_BYTES: usize = 4;
const PAGE_ITEMS: usize = 500;
/// A page ends with the item that exceeds this size.
const PAGE_BYTES: usize = 1024 * 1024;

/// The retained records of one topic.
#[derive(Clone, Debug)]
pub(super) struct TopicState {
    /// The offset of the oldest retained record.
    start: u64,
    records: VecDeque<Bytes>,
    /// The newest record of each key with its offset, in keyed topics.
    newest: Option<BTreeMap<String, (u64, Bytes)>>,
}

/// A page of newest records, ordered by key.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct NewestPage {
    items: Vec<NewestItem>,
    has_more: bool,
    end: u64,
}

#[derive(Serialize)]
struct NewestItem {
    key: String,
    value: String,
    offset: u64,
}

impl TopicState {
    pub(super) fn new(is_keyed: bool) -> Self {
        Self { start: 0, records: VecDeque::new(), newest: is_keyed.then(BTreeMap::new) }
    }

    pub(super) fn start(&self) -> u64 {
        self.start
    }

    pub(super) fn end(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    pub(super) fn append(&mut self, records: Vec<Bytes>) {
        for record in records {
            let offset = self.end();
            if let Some(newest) = &mut self.newest {
                update_newest(newest, offset, record.clone());
            }
            self.records.push_back(record);
        }
    }

    /// Drops the oldest records until `retained` are left; 0 retains all.
    pub(super) fn expire(&mut self, retained: usize) {
        while retained > 0 && self.records.len() > retained {
            self.records.pop_front();
            self.start += 1;
        }
    }

    pub(super) fn records_from(&self, from: u64) -> impl Iterator<Item = &Bytes> {
        let skip = usize::try_from(from.saturating_sub(self.start)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip)
    }

    pub(super) fn newest(&self, after: Option<&str>) -> NewestPage {
        let newest = self.newest.iter().flatten();
        let remaining: Vec<_> =
            newest.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after)).collect();
        let mut page_bytes = 0;
        let page = remaining.iter().take(PAGE_ITEMS).take_while(|(_, (_, value))| {
            let is_full = page_bytes >= PAGE_BYTES;
            page_bytes += value.len();
            !is_full
        });
        let items = page.map(|(key, (offset, value))| NewestItem {
            key: (*key).clone(),
            value: base64::engine::general_purpose::STANDARD.encode(value),
            offset: *offset,
        });
        let items: Vec<_> = items.collect();
        let has_more = remaining.len() > items.len();
        NewestPage { items, has_more, end: self.end() }
    }
}

/// A keyed record is a length byte, the key and the value. An empty value deletes the key.
fn update_newest(newest: &mut BTreeMap<String, (u64, Bytes)>, offset: u64, mut record: Bytes) {
    if record.is_empty() {
        return;
    }
    let key_len = usize::from(record.get_u8()).min(record.len());
    let key = String::from_utf8_lossy(&record.split_to(key_len)).into_owned();
    if record.is_empty() {
        newest.remove(&key);
    } else {
        newest.insert(key, (offset, record));
    }
}

/// Splits the body of an append into its length-prefixed records; `None` when one is truncated.
pub(super) fn split_records(mut bytes: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        if bytes.len() < LENGTH_BYTES {
            return None;
        }
        let length = usize::try_from(bytes.get_u32()).ok()?;
        if bytes.len() < length {
            return None;
        }
        records.push(bytes.split_to(length));
    }
    Some(records)
}
