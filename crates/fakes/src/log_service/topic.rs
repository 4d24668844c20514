use std::collections::{BTreeMap, VecDeque};

use base64::Engine as _;
use bytes::{Buf, Bytes};
use serde::Serialize;

const LENGTH_BYTES: usize = 4;
const PAGE_ITEMS: usize = 500;

/// The records of one partition.
#[derive(Debug)]
pub(super) struct TopicState {
    start: u64,
    records: VecDeque<Bytes>,
    /// The newest record of each key, in topics that keep these.
    newest: Option<BTreeMap<String, (u64, Bytes)>>,
}

/// A page of the newest record of each key.
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
                keep_newest(newest, offset, record.clone());
            }
            self.records.push_back(record);
        }
    }

    /// Drops the oldest records until `kept` are left; 0 keeps all.
    pub(super) fn expire(&mut self, kept: usize) {
        while kept > 0 && self.records.len() > kept {
            self.records.pop_front();
            self.start += 1;
        }
    }

    pub(super) fn records_from(&self, from: u64) -> impl Iterator<Item = &Bytes> {
        let skip = usize::try_from(from.saturating_sub(self.start)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip)
    }

    pub(super) fn newest(&self, after: Option<&str>) -> NewestPage {
        let all = self.newest.iter().flatten();
        let rest: Vec<_> =
            all.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after)).collect();
        let items = rest.iter().take(PAGE_ITEMS).map(|(key, (offset, value))| NewestItem {
            key: (*key).clone(),
            value: base64::engine::general_purpose::STANDARD.encode(value),
            offset: *offset,
        });
        NewestPage { items: items.collect(), has_more: rest.len() > PAGE_ITEMS, end: self.end() }
    }
}

fn keep_newest(newest: &mut BTreeMap<String, (u64, Bytes)>, offset: u64, mut record: Bytes) {
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

/// The records of an append's body; `None` when it ends inside one.
pub(super) fn split(mut bytes: Bytes) -> Option<Vec<Bytes>> {
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
