use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::{Clock, Service};
use comfreymast_decide::version_history::ServiceVersion;
use comfreymast_decide::version_records::{CompleteMark, RecordChanges, VersionRecords};
use comfreymast_fleet::Configuration;
use event_listener::Event;

use crate::on_demand::OnDemand;

/// How much longer than the time limit of its route a stream may be taken up.
const TAKE_UP_MARGIN_MS: u64 = 2_000;

/// What this daemon knows of the records of versions in the store.
#[derive(Debug)]
pub(crate) struct VersionRecordState {
    /// Reading and writing the records.
    pub(super) rounds: OnDemand,
    records: Mutex<KnownRecords>,
    /// The longest time for which a stream of any configuration may be taken up.
    take_up_ms: AtomicU64,
    /// True if all daemons that ever announced themselves record versions.
    is_recorded_from_start: AtomicBool,
    /// True once this daemon has announced itself.
    is_announced: AtomicBool,
    announced: Event,
    /// True once unreadable records were logged.
    pub(super) has_logged_unreadable: AtomicBool,
}

#[derive(Debug, Default)]
struct KnownRecords {
    /// The services that run streams.
    services: BTreeSet<Service>,
    /// The versions that were in the store when it was last read or written.
    stored: BTreeSet<ServiceVersion>,
    /// Those of them that cannot have been removed since.
    confirmed: BTreeSet<ServiceVersion>,
    mark: Option<CompleteMark>,
}

impl VersionRecordState {
    /// Nothing is known.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            rounds: OnDemand::new(clock),
            records: Mutex::default(),
            take_up_ms: AtomicU64::new(0),
            is_recorded_from_start: AtomicBool::new(false),
            is_announced: AtomicBool::new(false),
            announced: Event::new(),
            has_logged_unreadable: AtomicBool::new(false),
        }
    }

    /// Takes the services and time limits of a configuration into account. Those of earlier ones still
    /// count, as streams that began under them may be taken up.
    pub(crate) fn apply_configuration(&self, configuration: &Configuration) {
        let mut records = self.records();
        for route in configuration.routes.iter().filter(|route| route.is_stream) {
            self.record_take_up_ms(route.timeout_ms + TAKE_UP_MARGIN_MS);
            records.services.extend(route.targets.iter().map(|target| target.service.clone()));
        }
    }

    /// The longest time for which a stream may be taken up.
    pub(crate) fn take_up_ms(&self) -> u64 {
        self.take_up_ms.load(Ordering::Acquire)
    }

    /// Records that this daemon has announced itself, and whether all daemons that ever did so record
    /// versions.
    pub(crate) fn record_announced(&self, do_all_record: bool) {
        self.is_recorded_from_start.store(do_all_record, Ordering::Release);
        self.is_announced.store(true, Ordering::Release);
        self.announced.notify(usize::MAX);
    }

    /// Completes once this daemon has announced itself.
    pub(super) async fn announced(&self) {
        let announced = self.announced.listen();
        if !self.is_announced.load(Ordering::Acquire) {
            announced.await;
        }
    }

    /// True if all daemons that ever announced themselves record versions.
    pub(super) fn is_recorded_from_start(&self) -> bool {
        self.is_recorded_from_start.load(Ordering::Acquire)
    }

    /// True if `version` is in the store.
    pub(super) fn is_confirmed(&self, version: &ServiceVersion) -> bool {
        self.records().confirmed.contains(version)
    }

    /// Those of `versions` whose services run streams.
    pub(super) fn of_streams(
        &self,
        versions: BTreeSet<ServiceVersion>,
    ) -> BTreeSet<ServiceVersion> {
        let records = self.records();
        let runs_streams = |version: &ServiceVersion| records.services.contains(&version.service);
        versions.into_iter().filter(runs_streams).collect()
    }

    /// What the store had at the last read, and what was written since.
    pub(super) fn stored(&self) -> (BTreeSet<ServiceVersion>, Option<CompleteMark>) {
        let records = self.records();
        (records.stored.clone(), records.mark)
    }

    /// Takes over what was read, and what was written after that.
    pub(super) fn set_stored(&self, read: VersionRecords, written: &RecordChanges) {
        let mut records = self.records();
        records.stored = read.versions;
        records.stored.extend(written.added.iter().cloned());
        records.stored.retain(|version| !written.removed.contains(version));
        records.confirmed = records.stored.clone();
        records.mark = written.mark.or(read.mark);
    }

    /// Does not rely on records of versions that services do not have now: another daemon may remove
    /// them.
    pub(super) fn retain_present(&self, present: &BTreeSet<ServiceVersion>) {
        self.records().confirmed.retain(|version| present.contains(version));
    }

    /// Forgets everything, since the store may have lost it.
    pub(crate) fn forget_stored(&self) {
        let mut records = self.records();
        records.stored.clear();
        records.confirmed.clear();
        records.mark = None;
    }

    /// Notes for how long streams may be taken up, unless a longer time is known.
    pub(super) fn record_take_up_ms(&self, take_up_ms: u64) {
        self.take_up_ms.fetch_max(take_up_ms, Ordering::AcqRel);
    }

    fn records(&self) -> MutexGuard<'_, KnownRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
