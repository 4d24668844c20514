//! Which software version began a stream, and which versions a service had.

use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::stream_origins::{StreamOrigin, StreamOrigins, holders, origin_key};
use comfreymast_decide::version_history::VersionHistory;

fn version(name: &str) -> Option<SoftwareVersion> {
    Some(SoftwareVersion::from(name))
}

fn origin(name: &str, expires_ms: u64) -> StreamOrigin {
    StreamOrigin { service: Some(Service::from("engines")), version: version(name), expires_ms }
}

#[test]
fn an_attempt_of_another_organisation_is_unknown() {
    let mut origins = StreamOrigins::default();
    origins.record(origin_key("org", "a1"), origin("v1", 1_000), 0);
    assert_eq!(origins.find(&origin_key("org", "a1"), 10), Some(&origin("v1", 1_000)));
    assert_eq!(origins.find(&origin_key("other", "a1"), 10), None);
    assert_eq!(origins.find(&origin_key("org", "a1"), 1_000), None);
}

#[test]
fn the_first_event_of_an_attempt_decides_its_version() {
    let mut origins = StreamOrigins::default();
    let key = origin_key("org", "a1");
    origins.record(key, origin("v1", 1_000), 0);
    origins.record(key, origin("v2", 2_000), 1);
    assert_eq!(origins.find(&key, 10), Some(&origin("v1", 1_000)));
}

#[test]
fn the_streams_that_are_kept_are_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..20_000 {
        origins.record(origin_key("org", &number.to_string()), origin("v1", 50_000), 0);
    }
    assert_eq!(origins.len(), 16_384);
    assert!(origins.find(&origin_key("org", "19999"), 1).is_some());
    origins.record(origin_key("org", "last"), origin("v1", 90_000), 60_000);
    assert_eq!(origins.len(), 1, "the others have expired");
}

#[test]
fn all_daemons_choose_the_same_holders_and_a_lost_one_changes_only_its_place() {
    let names: Vec<_> = (0..40).map(|number| format!("d{number}")).collect();
    let key = origin_key("org", "a1");
    let chosen = holders(&key, names.iter().map(String::as_str), 8);
    assert_eq!(chosen.len(), 8);
    assert_eq!(holders(&key, names.iter().rev().map(String::as_str), 8), chosen);
    let without: Vec<_> =
        names.iter().map(String::as_str).filter(|name| *name != chosen[0]).collect();
    let others = holders(&key, without.into_iter(), 8);
    assert_eq!(others[..7], chosen[1..]);
    assert_eq!(holders(&key, ["d1", "d2"].into_iter(), 8).len(), 2);
}

#[test]
fn a_service_has_only_one_version_if_no_other_was_there_in_that_time() {
    let mut history = VersionHistory::default();
    assert_eq!(history.only_version(0), None);
    history.record([version("v1"), version("v1")].into_iter(), 1_000);
    assert_eq!(history.only_version(0), Some(&version("v1")));
    history.record([version("v1"), version("v2")].into_iter(), 5_000);
    history.record([version("v2")].into_iter(), 9_000);
    assert_eq!(history.only_version(4_000), None, "the last stream of v1 may be taken up");
    assert_eq!(history.only_version(6_000), Some(&version("v2")));
    history.record([None].into_iter(), 9_500);
    assert_eq!(history.only_version(6_000), None, "one that states no version is another");
}
