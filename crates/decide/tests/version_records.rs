//! Tests of what the store keeps of software versions.

use std::collections::BTreeSet;

use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::version_history::{ServiceVersion, ServiceVersions};
use comfreymast_decide::version_records::{
    CompleteMark, KnownVersions, VersionRecords, changes, record_key,
};

const TAKE_UP_MS: u64 = 8_000;

fn of(service: &str, version: &str) -> ServiceVersion {
    ServiceVersion {
        service: Service::from(service),
        version: (!version.is_empty()).then(|| SoftwareVersion::from(version)),
    }
}

fn set(versions: &[&str]) -> BTreeSet<ServiceVersion> {
    versions.iter().map(|version| of("pool", version)).collect()
}

fn mark(era: u64) -> CompleteMark {
    CompleteMark { era, take_up_ms: TAKE_UP_MS }
}

fn known(recent: &[&str], is_complete: bool) -> KnownVersions {
    KnownVersions { recent: set(recent), kept: None, is_complete, take_up_ms: TAKE_UP_MS }
}

#[test]
fn records_are_complete_only_with_a_mark_of_the_current_era() {
    let mut records = VersionRecords { era: 2, mark: Some(mark(2)), ..VersionRecords::default() };
    assert!(records.is_complete());
    records.era = 3;
    assert!(!records.is_complete(), "the store may have lost some");
    records = VersionRecords { mark: Some(mark(3)), has_unreadable: true, ..records };
    assert!(!records.is_complete(), "nobody knows which version that is");
}

#[test]
fn nothing_is_concluded_from_missing_records_once_the_store_has_come_back_from_a_copy() {
    assert!(VersionRecords::default().is_untouched());
    assert!(!VersionRecords { era: 2, ..VersionRecords::default() }.is_untouched());
    let records = VersionRecords { versions: set(&["v1"]), ..VersionRecords::default() };
    assert!(!records.is_untouched());
}

#[test]
fn a_daemon_adds_what_is_missing_and_marks_what_it_knows_whole() {
    let records = VersionRecords { versions: set(&["v1"]), era: 1, ..VersionRecords::default() };
    let written = changes(&records, &known(&["v1", "v2"], false));
    assert_eq!(written.added, set(&["v2"]));
    assert_eq!(written.mark, None, "earlier versions may be missing");
    let written = changes(&records, &known(&["v1"], true));
    assert_eq!((written.added, written.mark), (set(&[]), Some(mark(1))));
    let marked = VersionRecords { mark: Some(mark(1)), ..records };
    assert!(changes(&marked, &known(&["v1"], true)).is_empty());
}

#[test]
fn a_mark_keeps_the_longest_time_for_which_a_stream_may_be_taken_up() {
    let long = CompleteMark { era: 1, take_up_ms: 40_000 };
    let records = VersionRecords { mark: Some(long), era: 2, ..VersionRecords::default() };
    let written = changes(&records, &known(&[], true));
    assert_eq!(written.mark, Some(CompleteMark { era: 2, ..long }));
}

#[test]
fn only_versions_that_are_gone_for_long_are_removed() {
    let records = VersionRecords { versions: set(&["v1", "v2"]), ..VersionRecords::default() };
    let kept = Some(set(&["v2"]));
    let written = changes(&records, &KnownVersions { kept, ..known(&["v2"], false) });
    assert_eq!(written.removed, set(&["v1"]));
    assert!(changes(&records, &known(&["v2"], false)).removed.is_empty(), "it does not know");
}

#[test]
fn versions_of_different_services_and_upstreams_without_one_have_different_keys() {
    let versions = [of("pool", "v1"), of("pool", "v2"), of("pool", ""), of("other", "v1")];
    let keys: BTreeSet<_> = versions.iter().map(record_key).collect();
    assert_eq!(keys.len(), versions.len());
}

#[test]
fn versions_from_before_the_start_are_known_only_from_records() {
    let pool = Service::from("pool");
    let v1 = Some(SoftwareVersion::from("v1"));
    let mut versions = ServiceVersions::new(0);
    versions.record(&pool, std::iter::once(v1.clone()), 1_000);
    assert_eq!(versions.only_version(&pool, TAKE_UP_MS, 1_000), None);
    assert_eq!(versions.only_version(&pool, TAKE_UP_MS, TAKE_UP_MS), Some(&v1));
    versions.record_past(&set(&["v1"]), 1_000);
    assert_eq!(versions.only_version(&pool, TAKE_UP_MS, 1_000), Some(&v1));
    versions.record_past(&set(&["v1", "v2"]), 2_000);
    assert_eq!(versions.only_version(&pool, TAKE_UP_MS, 2_000), None);
    versions.record(&pool, std::iter::once(v1.clone()), 12_000);
    assert_eq!(versions.only_version(&pool, TAKE_UP_MS, 12_000), Some(&v1));
}

#[test]
fn after_a_suspension_earlier_versions_are_unknown() {
    let pool = Service::from("pool");
    let mut versions = ServiceVersions::new(0);
    versions.record_past(&set(&["v1"]), 1_000);
    versions.record_gap(20_000);
    assert!(!versions.is_known_for(TAKE_UP_MS, 21_000));
    assert_eq!(versions.only_version(&pool, TAKE_UP_MS, 21_000), None);
    assert!(versions.is_known_for(TAKE_UP_MS, 28_000));
}
