//! The software versions that a service had in the last while.

use std::collections::BTreeMap;

use comfreymast_base::SoftwareVersion;

/// How long a version is remembered after its last upstream was gone.
const KEEP_MS: u64 = 3_600_000;

/// When each version of a service was last seen. Upstreams that state none count as one version.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    last_seen_ms: BTreeMap<Option<SoftwareVersion>, u64>,
}

impl VersionHistory {
    /// Records the versions of the upstreams that the service has, or has just had, at `now_ms`.
    pub fn record(&mut self, versions: impl Iterator<Item = Option<SoftwareVersion>>, now_ms: u64) {
        for version in versions {
            self.last_seen_ms.insert(version, now_ms);
        }
        self.last_seen_ms.retain(|_, seen_ms| now_ms.saturating_sub(*seen_ms) < KEEP_MS);
    }

    /// The only version that the service has had since `since_ms`, if it was only one.
    #[must_use]
    pub fn only_version(&self, since_ms: u64) -> Option<&Option<SoftwareVersion>> {
        let mut recent = self.last_seen_ms.iter().filter(|(_, seen_ms)| **seen_ms >= since_ms);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }
}
