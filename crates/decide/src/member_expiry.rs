//! When a daemon forgets another one.
//!
//! Load pattern: VMs are replaced all day, and those that are left tell each other of all daemons that they know.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use comfreymast_base::{DaemonName, DataCentre};

/// How long daemons are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberExpiryOptions {
    /// How long a daemon is kept after it was last heard of.
    pub ttl_ms: u64,
    /// How long a daemon is kept of which nobody says when it was heard.
    pub unconfirmed_ttl_ms: u64,
    /// So many daemons of each data centre are kept however old they are. Without them, data centres that were
    /// partitioned for longer than `ttl_ms` would not find each other again.
    pub kept_per_data_centre: usize,
}

impl Default for MemberExpiryOptions {
    fn default() -> Self {
        Self { ttl_ms: 30_000, unconfirmed_ttl_ms: 10_000, kept_per_data_centre: 3 }
    }
}

/// When a daemon was last heard of that is reported at `now_ms` with this age, if the report has one.
///
/// A report without an age does not extend the time for which a daemon is kept beyond `unconfirmed_ttl_ms`, since
/// dead daemons are reported in the same way.
#[must_use]
pub fn last_seen_ms(age_ms: Option<u64>, now_ms: u64, options: &MemberExpiryOptions) -> u64 {
    let unconfirmed_age_ms = options.ttl_ms.saturating_sub(options.unconfirmed_ttl_ms);
    now_ms.saturating_sub(age_ms.unwrap_or(unconfirmed_age_ms))
}

/// True if a daemon or an address that was last heard of at `last_seen_ms` has not expired.
#[must_use]
pub fn is_fresh(last_seen_ms: u64, now_ms: u64, options: &MemberExpiryOptions) -> bool {
    now_ms.saturating_sub(last_seen_ms) < options.ttl_ms
}

/// The daemons to forget, of `members` with their data centres and the times at which they were last heard of.
#[must_use]
pub fn expired(
    members: &[(&DaemonName, &DataCentre, u64)],
    now_ms: u64,
    options: &MemberExpiryOptions,
) -> Vec<DaemonName> {
    let is_old = |last_seen_ms| !is_fresh(last_seen_ms, now_ms, options);
    if !members.iter().any(|(.., last_seen_ms)| is_old(*last_seen_ms)) {
        return Vec::new();
    }
    let mut latest = members.to_vec();
    latest.sort_by_key(|(.., last_seen_ms)| Reverse(*last_seen_ms));
    let mut counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let forgotten = latest.into_iter().filter(|(_, data_centre, last_seen_ms)| {
        let count = counts.entry(data_centre).or_default();
        *count += 1;
        *count > options.kept_per_data_centre && is_old(*last_seen_ms)
    });
    forgotten.map(|(name, ..)| name.clone()).collect()
}
