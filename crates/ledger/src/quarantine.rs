use std::collections::BTreeMap;

use comfreymast_base::DaemonName;
use comfreymast_wire::log::Quarantine;

use crate::claims::parse_hash;
use crate::{Applied, HASH_BYTES, SkipReason};

const MAX_QUARANTINES: usize = 4_096;

/// SHA-256 of model and prompt.
pub type Fingerprint = [u8; HASH_BYTES];

/// One quarantined request; every daemon refuses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The log offset of the record that declared it.
    pub offset: u64,
    /// How many engines died while running it.
    pub deaths: u32,
    /// The daemon that declared it.
    pub daemon: DaemonName,
    /// When it was declared, by that daemon's clock.
    pub declared_unix_ms: u64,
}

/// The quarantined requests, as the log records them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantines {
    entries: BTreeMap<Fingerprint, QuarantineEntry>,
}

impl Quarantines {
    /// The entry of one request.
    #[must_use]
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&QuarantineEntry> {
        self.entries.get(fingerprint)
    }

    /// True when no request is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Every quarantined request.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &QuarantineEntry)> {
        self.entries.iter()
    }

    /// Applies a record that declares or lifts a quarantine.
    pub(crate) fn apply(&mut self, offset: u64, record: Quarantine) -> Result<Applied, SkipReason> {
        let fingerprint = parse_hash(&record.fingerprint)?;
        if !record.active {
            self.entries.remove(&fingerprint);
            return Ok(Applied::Quarantine { fingerprint, active: false });
        }
        let entry = QuarantineEntry {
            offset,
            deaths: record.deaths,
            daemon: DaemonName::from(record.daemon),
            declared_unix_ms: record.declared_unix_ms,
        };
        self.insert(fingerprint, entry);
        Ok(Applied::Quarantine { fingerprint, active: true })
    }

    pub(crate) fn insert(&mut self, fingerprint: Fingerprint, entry: QuarantineEntry) {
        self.entries.entry(fingerprint).or_insert(entry);
        if self.entries.len() > MAX_QUARANTINES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.offset);
            if let Some((&oldest, _)) = oldest {
                self.entries.remove(&oldest);
            }
        }
    }
}
