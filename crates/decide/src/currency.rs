//! Whether this daemon may serve on the contracts it holds.
//!
//! A daemon that was paused, or is cut off, may hold contracts that every other daemon has
//! replaced. It serves only while it has evidence that it is up to date, and evidence ages:
//!
//! * a read of the log that reached the log's end is evidence of the time the read began;
//! * a round trip with a peer that is itself current, and whose fold is not ahead, is evidence of
//!   the time this daemon's heartbeat left. It carries daemons over an outage of the log.
//!
//! Evidence is dated by the start of the exchange, so an answer that waited in a socket while this
//! daemon was paused proves nothing.

/// How old evidence may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrencyOptions {
    /// The age past which a daemon refuses new work.
    pub max_age_ms: u64,
}

impl Default for CurrencyOptions {
    fn default() -> Self {
        Self { max_age_ms: 4_000 }
    }
}

impl CurrencyOptions {
    /// True while evidence from `evidence_ms` still counts at `now_ms`.
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
        evidence_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= self.max_age_ms)
    }
}

/// A heartbeat of a peer, as evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEvidence {
    /// Whether the peer was current itself.
    pub peer_is_current: bool,
    /// The first offset the peer had not folded.
    pub peer_next_offset: u64,
    /// When this daemon sent the heartbeat that the peer answered; `None` if it answered none.
    pub asked_ms: Option<u64>,
    /// Whether both daemons are on the VM list, so that changes wait for them.
    pub both_listed: bool,
}

impl PeerEvidence {
    /// The time up to which the heartbeat proves a fold up to `next_offset` to be current.
    ///
    /// `known_offset` is the highest offset that any live peer has folded.
    #[must_use]
    pub fn proves(&self, next_offset: u64, known_offset: u64) -> Option<u64> {
        let is_behind = next_offset < self.peer_next_offset.max(known_offset);
        if is_behind || !self.peer_is_current || !self.both_listed {
            return None;
        }
        self.asked_ms
    }
}
