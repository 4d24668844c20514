//! Which daemons live, from their heartbeats.

use std::collections::BTreeMap;

use comfreymast_base::DaemonName;

/// When a silent daemon counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// The longest silence of a daemon that lives.
    pub lost_after_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self { lost_after_ms: 2_000 }
    }
}

/// What a daemon last said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Rises with each start of the daemon.
    pub incarnation: u64,
    /// Rises with each heartbeat of one incarnation.
    pub sequence: u64,
    /// The first log offset it has not yet put in force.
    pub next_offset: u64,
    /// True when it drains.
    pub leaving: bool,
    /// When this was heard.
    pub heard_ms: u64,
}

/// The daemons heard of.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    options: MembershipOptions,
    peers: BTreeMap<DaemonName, PeerState>,
}

impl PeerTable {
    /// An empty table.
    #[must_use]
    pub fn new(options: MembershipOptions) -> Self {
        Self { options, peers: BTreeMap::new() }
    }

    /// Takes in a heartbeat. An older one than the last heard is ignored.
    pub fn heard(&mut self, daemon: DaemonName, state: PeerState) {
        let newer = |known: &PeerState| {
            (state.incarnation, state.sequence) > (known.incarnation, known.sequence)
        };
        if self.peers.get(&daemon).is_none_or(newer) {
            self.peers.insert(daemon, state);
        }
    }

    /// What a daemon last said, if it was not long ago.
    #[must_use]
    pub fn live(&self, daemon: &DaemonName, now_ms: u64) -> Option<&PeerState> {
        let state = self.peers.get(daemon)?;
        (now_ms.saturating_sub(state.heard_ms) <= self.options.lost_after_ms).then_some(state)
    }

    /// What a daemon last said, however long ago.
    #[must_use]
    pub fn last(&self, daemon: &DaemonName) -> Option<&PeerState> {
        self.peers.get(daemon)
    }

    /// Daemons heard within `within_ms` that did not say that they leave.
    pub fn heard_within(
        &self,
        within_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = (&DaemonName, &PeerState)> {
        self.peers.iter().filter(move |(_, state)| {
            !state.leaving && now_ms.saturating_sub(state.heard_ms) <= within_ms
        })
    }

    /// The live daemon that has folded most, and its next offset.
    #[must_use]
    pub fn most_advanced(&self, now_ms: u64) -> Option<(&DaemonName, u64)> {
        self.heard_within(self.options.lost_after_ms, now_ms)
            .map(|(name, state)| (name, state.next_offset))
            .max_by_key(|(_, next_offset)| *next_offset)
    }

    /// Forgets daemons that have been silent for ten times as long as it takes to be lost.
    pub fn forget_lost(&mut self, now_ms: u64) {
        const FORGET_FACTOR: u64 = 10;
        let limit_ms = self.options.lost_after_ms * FORGET_FACTOR;
        self.peers.retain(|_, state| now_ms.saturating_sub(state.heard_ms) <= limit_ms);
    }
}
