//! What the store keeps of the software versions of services, so that it outlives all daemons.
//!
//! Load pattern: all daemons restart at once while streams run, and their callers take them up. A version
//! is recorded before the first stream at it begins, and removed when no stream of it can be taken up any
//! more. So a store that has all records names each version that may have begun a stream.

use std::collections::BTreeSet;

use comfreymast_base::hex;
use xxhash_rust::xxh3::xxh3_128;

use crate::version_history::ServiceVersion;

/// The key of [`CompleteMark`] in the store.
pub const MARK_KEY: &str = "complete";
/// The highest era of a store that has never come back from an older copy.
const FIRST_ERA: u64 = 1;

/// States that the store has the records of all versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompleteMark {
    /// The era of the store in which it was written. In a later one, records may be lost.
    pub era: u64,
    /// The longest time for which a stream may be taken up.
    pub take_up_ms: u64,
}

/// The records as one read found them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRecords {
    /// The versions.
    pub versions: BTreeSet<ServiceVersion>,
    /// The mark, if there is one.
    pub mark: Option<CompleteMark>,
    /// True if there are records that this software cannot read.
    pub has_unreadable: bool,
    /// The era of the store.
    pub era: u64,
}

impl VersionRecords {
    /// True if no version is missing.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !self.has_unreadable && self.mark.is_some_and(|mark| mark.era == self.era)
    }

    /// True if nothing was ever written, as far as the store tells.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        let is_empty = self.versions.is_empty() && self.mark.is_none() && !self.has_unreadable;
        is_empty && self.era <= FIRST_ERA
    }
}

/// What a daemon knows when it writes records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions of which streams may still be taken up.
    pub recent: BTreeSet<ServiceVersion>,
    /// The versions whose records are kept; `None` if this daemon does not know, or leaves the removal
    /// to another one.
    pub kept: Option<BTreeSet<ServiceVersion>>,
    /// True if `recent` lacks none.
    pub is_complete: bool,
    /// The longest time for which a stream may be taken up.
    pub take_up_ms: u64,
}

/// The records to write, all at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordChanges {
    /// Versions to add.
    pub added: BTreeSet<ServiceVersion>,
    /// Versions to remove.
    pub removed: BTreeSet<ServiceVersion>,
    /// The mark to write.
    pub mark: Option<CompleteMark>,
}

impl RecordChanges {
    /// True if there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.mark.is_none()
    }
}

/// What to write, given what the store has.
#[must_use]
pub fn changes(records: &VersionRecords, known: &KnownVersions) -> RecordChanges {
    let added = known.recent.difference(&records.versions).cloned().collect();
    let removed = match &known.kept {
        Some(kept) => records.versions.difference(kept).cloned().collect(),
        None => BTreeSet::new(),
    };
    let longest_ms = records.mark.map_or(0, |mark| mark.take_up_ms).max(known.take_up_ms);
    let mark = CompleteMark { era: records.era, take_up_ms: longest_ms };
    let is_due = known.is_complete && records.mark != Some(mark);
    RecordChanges { added, removed, mark: is_due.then_some(mark) }
}

/// The key of a version's record. Hashed, since names may be longer than a key.
#[must_use]
pub fn record_key(version: &ServiceVersion) -> String {
    let service = version.service.as_str();
    let text = match &version.version {
        Some(version) => format!("{service}\n{version}"),
        None => service.to_owned(),
    };
    hex::encode(&xxh3_128(text.as_bytes()).to_be_bytes())
}
