use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use comfreymast_base::{Clock, DaemonName};
use comfreymast_decide::membership::{MembershipOptions, PeerTable};
use comfreymast_wire::peer::{PeerMessage, peer_message};
use event_listener::{Event, EventListener};

use crate::Settings;

/// What this daemon knows of the others, and its links to them.
#[derive(Debug)]
pub(crate) struct Peers {
    /// This run of this daemon. A later run has a higher number.
    pub(crate) incarnation: u64,
    sequence: AtomicU64,
    table: Mutex<PeerTable>,
    links: Mutex<BTreeMap<DaemonName, Sender<PeerMessage>>>,
    announced: Event,
    heard: Event,
}

impl Peers {
    /// No peers yet.
    pub(crate) fn new(_settings: &Settings) -> Self {
        Self {
            incarnation: Clock::system().unix_ms(),
            sequence: AtomicU64::new(0),
            table: Mutex::new(PeerTable::new(MembershipOptions::default())),
            links: Mutex::default(),
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

    /// The number of the next heartbeat.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::AcqRel)
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
