use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use comfreymast_base::{Clock, DaemonName};
use comfreymast_decide::membership::{MembershipOptions, PeerTable};
use comfreymast_wire::peer::{PeerMessage, peer_message};
use event_listener::{Event, EventListener};

use crate::Settings;

/// How many of its own heartbeats a daemon remembers the time of.
const MAX_SENT: usize = 1_024;

/// The latest heartbeat of this daemon that a peer had heard when it sent its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Echo {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

/// What this daemon knows of the others, and its links to them.
#[derive(Debug)]
pub(crate) struct Peers {
    /// This run of this daemon. A later run has a higher number.
    pub(crate) incarnation: u64,
    sequence: AtomicU64,
    /// When each of the latest heartbeats was made, by its sequence.
    sent: Mutex<VecDeque<(u64, u64)>>,
    table: Mutex<PeerTable>,
    links: Mutex<BTreeMap<DaemonName, Sender<PeerMessage>>>,
    /// When the latest heartbeat that each peer echoed was made.
    echoed: Mutex<BTreeMap<DaemonName, u64>>,
    was_current: AtomicBool,
    announced: Event,
    heard: Event,
}

impl Peers {
    /// No peers yet.
    pub(crate) fn new(_settings: &Settings) -> Self {
        Self {
            incarnation: Clock::system().unix_ms(),
            // A sequence of 0 stands for none.
            sequence: AtomicU64::new(1),
            sent: Mutex::default(),
            table: Mutex::new(PeerTable::new(MembershipOptions::default())),
            links: Mutex::default(),
            echoed: Mutex::default(),
            was_current: AtomicBool::new(true),
            announced: Event::new(),
            heard: Event::new(),
        }
    }

    /// The daemons heard of.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Links to peers, by name.
    pub(crate) fn links(&self) -> MutexGuard<'_, BTreeMap<DaemonName, Sender<PeerMessage>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of the next heartbeat, made at `now_ms`.
    pub(crate) fn next_sequence(&self, now_ms: u64) -> u64 {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        let mut sent = self.sent();
        sent.push_back((sequence, now_ms));
        if sent.len() > MAX_SENT {
            sent.pop_front();
        }
        sequence
    }

    /// When this daemon made the heartbeat that a peer echoes.
    pub(crate) fn sent_ms(&self, echo: Echo) -> Option<u64> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        let sent = self.sent();
        sent.iter().rev().find(|(sequence, _)| *sequence == echo.sequence).map(|(_, at_ms)| *at_ms)
    }

    /// A peer echoed the heartbeat that was made at `sent_ms`.
    pub(crate) fn note_echo(&self, peer: &DaemonName, sent_ms: u64) {
        self.echoed().insert(peer.clone(), sent_ms);
    }

    /// When the latest heartbeat that `peer` echoed was made.
    pub(crate) fn echoed_ms(&self, peer: &DaemonName) -> Option<u64> {
        self.echoed().get(peer).copied()
    }

    fn echoed(&self) -> MutexGuard<'_, BTreeMap<DaemonName, u64>> {
        self.echoed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sent(&self) -> MutexGuard<'_, VecDeque<(u64, u64)>> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes whether this daemon is current; returns what was noted before.
    pub(crate) fn swap_current(&self, current: bool) -> bool {
        self.was_current.swap(current, Ordering::AcqRel)
    }

    /// Sends a heartbeat now instead of at the next interval.
    pub(crate) fn announce(&self) {
        self.announced.notify(usize::MAX);
    }

    /// Completes at the next [`Peers::announce`].
    pub(crate) fn announced(&self) -> EventListener {
        self.announced.listen()
    }

    /// Tells waiters that a heartbeat came in.
    pub(crate) fn notify_heard(&self) {
        self.heard.notify(usize::MAX);
    }

    /// Completes when the next heartbeat has come in.
    pub(crate) fn heard(&self) -> EventListener {
        self.heard.listen()
    }

    /// Sends to one peer. A message that does not fit its link's queue is dropped: all that
    /// peers say is said again.
    pub(crate) fn send(&self, daemon: &DaemonName, body: peer_message::Body) {
        let message = PeerMessage { body: Some(body) };
        if let Some(link) = self.links().get(daemon) {
            let _ = link.try_send(message);
        }
    }

    /// Sends to every peer that this daemon has a link to.
    pub(crate) fn broadcast(&self, body: &peer_message::Body) {
        for link in self.links().values() {
            let _ = link.try_send(PeerMessage { body: Some(body.clone()) });
        }
    }
}
