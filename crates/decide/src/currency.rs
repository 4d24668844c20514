//! Whether this daemon may serve requests under the contracts it holds.
//!
//! A daemon that was paused or partitioned may hold contracts that all other daemons have replaced.
//! It serves only while it has recent evidence of being up to date:
//!
//! * reading the log to its end proves that the daemon was current when the read began;
//! * a heartbeat round trip with a peer that is itself current, and has not applied more of the
//!   log, proves that the daemon was current when it sent its heartbeat. This keeps daemons serving
//!   during an outage of the log.
//!
//! Evidence is dated by the start of the exchange, so a reply that sat in a socket buffer while
//! this daemon was paused does not count as fresh.

/// Maximum age of evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrencyOptions {
    /// A daemon whose evidence is older than this refuses new work.
    pub max_age_ms: u64,
}

impl Default for CurrencyOptions {
    fn default() -> Self {
        Self { max_age_ms: 4_000 }
    }
}

impl CurrencyOptions {
    /// Returns true if evidence from `evidence_ms` is recent enough at `now_ms`.
    ///
    /// ```
    /// use comfreymast_decide::currency::CurrencyOptions;
    /// let options = CurrencyOptions { max_age_ms: 100 };
    /// assert!(options.is_current(Some(50), 150));
    /// assert!(!options.is_current(Some(50), 151));
    /// assert!(!options.is_current(None, 0));
    /// ```
    #[must_use]
    pub fn is_current(&self, evidence_ms: Option<u64>, now_ms: u64) -> bool {
        evidence_ms.is_some_and(|evidence_ms| now_ms.saturating_sub(evidence_ms) <= self.max_age_ms)
    }
}

/// A peer's heartbeat as evidence that this daemon is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEvidence {
    /// Whether the peer itself was current.
    pub peer_is_current: bool,
    /// The first log offset that the peer had not yet applied.
    pub peer_next_offset: u64,
    /// When this daemon sent the heartbeat that the peer echoed; `None` if it echoed none.
    pub heartbeat_sent_ms: Option<u64>,
    /// Whether both daemons are on the VM list, so that contract changes wait for both.
    pub both_listed: bool,
}

impl PeerEvidence {
    /// The time at which the heartbeat proves this daemon to have been current, if it does.
    ///
    /// `next_offset` is the first log offset that this daemon has not yet applied, `known_offset`
    /// the highest such offset among the live peers.
    #[must_use]
    pub fn evidence_ms(&self, next_offset: u64, known_offset: u64) -> Option<u64> {
        let is_behind = next_offset < self.peer_next_offset.max(known_offset);
        if is_behind || !self.peer_is_current || !self.both_listed {
            return None;
        }
        self.heartbeat_sent_ms
    }
}
