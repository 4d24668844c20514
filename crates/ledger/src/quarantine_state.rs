//! Conversion of quarantines to and from snapshot state.

use comfreymast_base::DaemonName;
use comfreymast_wire::log::{Quarantine, QuarantineState};

use crate::claims::parse_hash;
use crate::{QuarantineEntry, Quarantines, SkipReason, SnapshotError};

impl Quarantines {
    /// The snapshot state of every quarantined request.
    pub(crate) fn states(&self) -> Vec<QuarantineState> {
        let states = self.iter().map(|(fingerprint, entry)| QuarantineState {
            quarantine: Some(Quarantine {
                fingerprint: fingerprint.to_vec().into(),
                active: true,
                deaths: entry.deaths,
                daemon: entry.daemon.to_string(),
                declared_unix_ms: entry.declared_unix_ms,
            }),
            offset: entry.offset,
        });
        states.collect()
    }

    /// Rebuilds the quarantines from their snapshot state.
    pub(crate) fn restore(states: Vec<QuarantineState>) -> Result<Self, SnapshotError> {
        let mut quarantines = Self::default();
        for state in states {
            let quarantine = state.quarantine.ok_or(SkipReason::Undecodable)?;
            let entry = QuarantineEntry {
                offset: state.offset,
                deaths: quarantine.deaths,
                daemon: DaemonName::from(quarantine.daemon),
                declared_unix_ms: quarantine.declared_unix_ms,
            };
            quarantines.insert(parse_hash(&quarantine.fingerprint)?, entry);
        }
        Ok(quarantines)
    }
}
