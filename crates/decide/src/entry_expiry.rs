//! How long an upstream whose entry was deleted stays in use.
//!
//! Upstreams register in a store, and their entries expire if they cannot renew them. Right after an
//! outage of the store a deleted entry may therefore belong to an upstream that is alive and about to
//! register again; at any other time the upstream is leaving.

/// The limits on how long a deleted entry is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryExpiryOptions {
    /// The time after an outage within which live upstreams have registered again.
    pub return_limit_ms: u64,
    /// The time within which a leaving upstream must stop getting new requests.
    pub leave_limit_ms: u64,
}

/// How long to keep a deleted entry in use, given the time since the last sign of an outage. `None`
/// if there was no outage.
#[must_use]
pub fn keep_ms(outage_age_ms: Option<u64>, options: &EntryExpiryOptions) -> u64 {
    let Some(outage_age_ms) = outage_age_ms else { return 0 };
    options.return_limit_ms.saturating_sub(outage_age_ms).min(options.leave_limit_ms)
}
