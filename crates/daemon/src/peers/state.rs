use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use comfreymast_base::{Clock, DaemonName};
use comfreymast_decide::membership::{MembershipOptions, PeerTable};
use comfreymast_wire::peer::{PeerMessage, peer_message};
use event_listener::{Event, EventListener};

use crate::Settings;

/// The maximum number of own heartbeats whose time is kept.
const MAX_SENT: usize = 1_024;

/// The latest heartbeat of this daemon that a peer had received when it sent its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Echo {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

/// The state of the other daemons, and the links to them.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Identifies this run of the daemon; a later run has a higher number.
    pub(crate) incarnation: u64,
    sequence: AtomicU64,
    /// The sequence numbers of the latest heartbeats and the times they were created.
    sent: Mutex<VecDeque<(u64, u64)>>,
    table: Mutex<PeerTable>,
    links: Mutex<BTreeMap<DaemonName, Sender<PeerMessage>>>,
    /// The time at which the latest heartbeat that each peer echoed was created.
    echoed: Mutex<BTreeMap<DaemonName, u64>>,
    was_current: AtomicBool,
    announced: Event,
    heartbeat_event: Event,
}

impl Peers {
    /// Creates the state without any peers.
    pub(crate) fn new(_settings: &Settings) -> Self {
        Self {
            incarnation: Clock::system().unix_ms(),
            // Sequence number 0 means none.
            sequence: AtomicU64::new(1),
            sent: Mutex::default(),
            table: Mutex::new(PeerTable::new(MembershipOptions::default())),
            links: Mutex::default(),
            echoed: Mutex::default(),
            was_current: AtomicBool::new(true),
            announced: Event::new(),
            heartbeat_event: Event::new(),
        }
    }

    /// Locks the table of daemons from which a heartbeat was received.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the links to peers, by name.
    pub(crate) fn links(&self) -> MutexGuard<'_, BTreeMap<DaemonName, Sender<PeerMessage>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The sequence number for a heartbeat created at `now_ms`.
    pub(crate) fn next_sequence(&self, now_ms: u64) -> u64 {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        let mut sent = self.sent();
        sent.push_back((sequence, now_ms));
        if sent.len() > MAX_SENT {
            sent.pop_front();
        }
        sequence
    }

    /// The time at which this daemon created the heartbeat that a peer echoes.
    pub(crate) fn sent_ms(&self, echo: Echo) -> Option<u64> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        let sent = self.sent();
        sent.iter().rev().find(|(sequence, _)| *sequence == echo.sequence).map(|(_, at_ms)| *at_ms)
    }

    /// Records that a peer echoed the heartbeat created at `sent_ms`.
    pub(crate) fn record_echo(&self, peer: &DaemonName, sent_ms: u64) {
        self.echoed().insert(peer.clone(), sent_ms);
    }

    /// The time at which the latest heartbeat that `peer` echoed was created.
    pub(crate) fn echoed_ms(&self, peer: &DaemonName) -> Option<u64> {
        self.echoed().get(peer).copied()
    }

    fn echoed(&self) -> MutexGuard<'_, BTreeMap<DaemonName, u64>> {
        self.echoed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sent(&self) -> MutexGuard<'_, VecDeque<(u64, u64)>> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores whether this daemon is current; returns the previous value.
    pub(crate) fn swap_current(&self, current: bool) -> bool {
        self.was_current.swap(current, Ordering::AcqRel)
    }

    /// Triggers a heartbeat immediately instead of at the next interval.
    pub(crate) fn announce(&self) {
        self.announced.notify(usize::MAX);
    }

    /// Completes at the next [`Peers::announce`].
    pub(crate) fn announced(&self) -> EventListener {
        self.announced.listen()
    }

    /// Notifies waiters that a heartbeat was received.
    pub(crate) fn notify_heartbeat(&self) {
        self.heartbeat_event.notify(usize::MAX);
    }

    /// Completes when the next heartbeat is received.
    pub(crate) fn heartbeat_received(&self) -> EventListener {
        self.heartbeat_event.listen()
    }

    /// Sends a message to one peer. If the link's queue is full, the message is dropped, because
    /// all messages to peers are repeated.
    pub(crate) fn send(&self, daemon: &DaemonName, body: peer_message::Body) {
        let message = PeerMessage { body: Some(body) };
        if let Some(link) = self.links().get(daemon) {
            let _ = link.try_send(message);
        }
    }

    /// Sends a message to every peer that this daemon has a link to.
    pub(crate) fn broadcast(&self, body: &peer_message::Body) {
        for link in self.links().values() {
            let _ = link.try_send(PeerMessage { body: Some(body.clone()) });
        }
    }
}
