//! Tests that a daemon forgets those that are gone, and keeps a way to data centres from which it was cut off.

use comfreymast_base::{DaemonName, DataCentre};
use comfreymast_decide::member_expiry::{MemberExpiryOptions, expired, is_fresh, last_seen_ms};

const MINUTE_MS: u64 = 60_000;

struct Known {
    members: Vec<(DaemonName, DataCentre, u64)>,
}

impl Known {
    fn new(count: usize, data_centre: &str, last_seen_ms: u64) -> Self {
        let name = |number| DaemonName::from(format!("{data_centre}-{number}"));
        let entry = |number| (name(number), DataCentre::from(data_centre), last_seen_ms);
        Self { members: (0..count).map(entry).collect() }
    }

    fn and(mut self, other: Self) -> Self {
        self.members.extend(other.members);
        self
    }

    fn expired(&self, now_ms: u64) -> Vec<DaemonName> {
        let members: Vec<_> =
            self.members.iter().map(|(name, centre, seen_ms)| (name, centre, *seen_ms)).collect();
        expired(&members, now_ms, &MemberExpiryOptions::default())
    }
}

/// Guards against dead daemons that are kept because others name them: a small fleet then takes itself for a large
/// one, in which few daemons read the store.
#[test]
fn daemons_that_were_replaced_are_forgotten_although_others_still_name_them() {
    let options = MemberExpiryOptions::default();
    // Two daemons name a dead one to each other, each with the age that it knows.
    let died_ms = 1_000;
    let (mut first, mut second) = (died_ms, died_ms);
    for now_ms in (died_ms..2 * MINUTE_MS).step_by(150) {
        first = first.max(last_seen_ms(Some(now_ms - second), now_ms, &options));
        second = second.max(last_seen_ms(Some(now_ms - first), now_ms, &options));
    }
    assert!(!is_fresh(first, died_ms + options.ttl_ms, &options));
    let known = Known::new(100, "a", died_ms).and(Known::new(9, "a", MINUTE_MS));
    let forgotten = known.expired(MINUTE_MS);
    assert_eq!(forgotten.len(), 100);
}

/// Guards against records of the store, which outlive their daemons, that count as news of them.
#[test]
fn a_report_without_an_age_counts_for_a_short_time() {
    let options = MemberExpiryOptions::default();
    let seen_ms = last_seen_ms(None, MINUTE_MS, &options);
    assert!(is_fresh(seen_ms, MINUTE_MS + options.unconfirmed_ttl_ms - 1, &options));
    assert!(!is_fresh(seen_ms, MINUTE_MS + options.unconfirmed_ttl_ms, &options));
}

/// Guards against data centres that forget each other while they are partitioned.
#[test]
fn some_daemons_of_each_data_centre_are_kept_however_old() {
    let known = Known::new(30, "a", 10 * MINUTE_MS)
        .and(Known::new(30, "b", MINUTE_MS))
        .and(Known::new(2, "c", MINUTE_MS));
    let forgotten = known.expired(10 * MINUTE_MS);
    assert_eq!(forgotten.len(), 27);
    assert!(forgotten.iter().all(|name| name.as_str().starts_with('b')));
}
