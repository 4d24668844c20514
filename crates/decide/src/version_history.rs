//! The software versions that services had in the last while.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use comfreymast_base::{Service, SoftwareVersion};

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
        let mut recent = self.since(since_ms);
        let version = recent.next()?;
        recent.next().is_none().then_some(version)
    }

    fn since(&self, since_ms: u64) -> impl Iterator<Item = &Option<SoftwareVersion>> {
        let seen = self.last_seen_ms.iter().filter(move |(_, seen_ms)| **seen_ms >= since_ms);
        seen.map(|(version, _)| version)
    }
}

/// A software version of a service; `None` if its upstreams state none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: Service,
    /// The version.
    pub version: Option<SoftwareVersion>,
}

/// The versions of all services, and for how long all of them are known.
#[derive(Clone, Debug)]
pub struct ServiceVersions {
    histories: HashMap<Service, VersionHistory>,
    /// Since when no version is missing; `None` if none ever was.
    known_since_ms: Option<u64>,
}

impl ServiceVersions {
    /// Nothing is known from before `now_ms`.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self { histories: HashMap::new(), known_since_ms: Some(now_ms) }
    }

    /// Records the versions that a service has, or has just had, at `now_ms`.
    pub fn record(
        &mut self,
        service: &Service,
        versions: impl Iterator<Item = Option<SoftwareVersion>>,
        now_ms: u64,
    ) {
        self.histories.entry(service.clone()).or_default().record(versions, now_ms);
    }

    /// Adds the versions that services had before, with which all are known.
    pub fn record_past(&mut self, past: &BTreeSet<ServiceVersion>, now_ms: u64) {
        for ServiceVersion { service, version } in past {
            self.record(service, std::iter::once(version.clone()), now_ms);
        }
        self.known_since_ms = None;
    }

    /// Notes that versions may have come and gone unseen until `now_ms`.
    pub fn record_gap(&mut self, now_ms: u64) {
        self.known_since_ms = Some(now_ms);
    }

    /// True if all versions of the last `span_ms` are known.
    #[must_use]
    pub fn is_known_for(&self, span_ms: u64, now_ms: u64) -> bool {
        self.known_since_ms.is_none_or(|since_ms| since_ms + span_ms <= now_ms)
    }

    /// The only version that a service has had in the last `span_ms`, if that is known and it was only
    /// one.
    #[must_use]
    pub fn only_version(
        &self,
        service: &Service,
        span_ms: u64,
        now_ms: u64,
    ) -> Option<&Option<SoftwareVersion>> {
        if !self.is_known_for(span_ms, now_ms) {
            return None;
        }
        self.histories.get(service)?.only_version(now_ms.saturating_sub(span_ms))
    }

    /// The versions that were seen in the last `span_ms`.
    #[must_use]
    pub fn recent(&self, span_ms: u64, now_ms: u64) -> BTreeSet<ServiceVersion> {
        let since_ms = now_ms.saturating_sub(span_ms);
        let of_service = |(service, history): (&Service, &VersionHistory)| {
            let versions = history.since(since_ms).cloned();
            let version = |version| ServiceVersion { service: service.clone(), version };
            versions.map(version).collect::<Vec<_>>()
        };
        self.histories.iter().flat_map(of_service).collect()
    }
}
