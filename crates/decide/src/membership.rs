//! Which daemons are live, from their heartbeats.

use std::collections::BTreeMap;

use comfreymast_base::DaemonName;

/// When a daemon without heartbeats counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Maximum time since the last heartbeat of a live daemon.
    pub lost_after_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self { lost_after_ms: 2_000 }
    }
}

/// The state in a daemon's last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Increases with each start of the daemon.
    pub incarnation: u64,
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
    /// The first log offset that the daemon has not yet applied.
    pub next_offset: u64,
    /// True if the daemon is draining.
    pub leaving: bool,
    /// When the heartbeat was received.
    pub heard_ms: u64,
}

/// The last known state of each daemon.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    options: MembershipOptions,
    peers: BTreeMap<DaemonName, PeerState>,
}

impl PeerTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: MembershipOptions) -> Self {
        Self { options, peers: BTreeMap::new() }
    }

    /// Records a heartbeat, unless it is older than the last one.
    pub fn record_heartbeat(&mut self, daemon: DaemonName, state: PeerState) {
        let is_newer = |known: &PeerState| {
            (state.incarnation, state.sequence) > (known.incarnation, known.sequence)
        };
        if self.peers.get(&daemon).is_none_or(is_newer) {
            self.peers.insert(daemon, state);
        }
    }

    /// The last state of a daemon, if it is live.
    #[must_use]
    pub fn live(&self, daemon: &DaemonName, now_ms: u64) -> Option<&PeerState> {
        let state = self.peers.get(daemon)?;
        (now_ms.saturating_sub(state.heard_ms) <= self.options.lost_after_ms).then_some(state)
    }

    /// The last state of a daemon, however old.
    #[must_use]
    pub fn last_state(&self, daemon: &DaemonName) -> Option<&PeerState> {
        self.peers.get(daemon)
    }

    /// Daemons whose last heartbeat is at most `within_ms` old and that are not leaving.
    pub fn heard_within(
        &self,
        within_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = (&DaemonName, &PeerState)> {
        self.peers.iter().filter(move |(_, state)| {
            !state.leaving && now_ms.saturating_sub(state.heard_ms) <= within_ms
        })
    }

    /// The live daemon that has applied most of the log, and its next offset.
    #[must_use]
    pub fn most_advanced(&self, now_ms: u64) -> Option<(&DaemonName, u64)> {
        self.heard_within(self.options.lost_after_ms, now_ms)
            .map(|(name, state)| (name, state.next_offset))
            .max_by_key(|(_, next_offset)| *next_offset)
    }

    /// Removes daemons that have been silent for ten times [`MembershipOptions::lost_after_ms`].
    pub fn forget_lost(&mut self, now_ms: u64) {
        const FORGET_FACTOR: u64 = 10;
        let limit_ms = self.options.lost_after_ms * FORGET_FACTOR;
        self.peers.retain(|_, state| now_ms.saturating_sub(state.heard_ms) <= limit_ms);
    }
}
