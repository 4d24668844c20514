use std::net::SocketAddr;

use async_channel::{Receiver, Sender};
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_wire::news::news;

use crate::peers::Peers;

/// The most messages that may wait to be sent; more are dropped and logged.
const CAPACITY: usize = 1_024;
/// The pauses before a message of this daemon is sent again, since a datagram may be lost.
const RESEND_DELAYS_MS: [u64; 2] = [250, 750];

/// Where a message comes from, which decides who may not know it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This daemon.
    Own,
    /// Another daemon of this data centre, all of which have links to each other.
    OwnDataCentre,
    /// A daemon of another data centre.
    OtherDataCentre,
}

impl Origin {
    /// The origin of a message that a daemon of `data_centre` sent to this one.
    pub(crate) fn of(peers: &Peers, data_centre: &str) -> Self {
        if peers.own_member().data_centre == data_centre {
            Self::OwnDataCentre
        } else {
            Self::OtherDataCentre
        }
    }
}

/// Whom a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// Those links whose daemons may not know what came from there.
    Links(Origin),
    /// One daemon.
    Peer(SocketAddr),
}

/// Messages that are sent to peers at once instead of with the next heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    spawner: Spawner,
    // Boxed, since a bounded channel allocates all its slots at once.
    sender: Sender<Box<(news::Body, Destination)>>,
    queued: Receiver<Box<(news::Body, Destination)>>,
}

impl Outbox {
    /// An empty outbox.
    pub(crate) fn new(spawner: Spawner) -> Self {
        let (sender, queued) = async_channel::bounded(CAPACITY);
        Self { spawner, sender, queued }
    }

    /// Sends a message of this daemon to all links, several times. `message` gets the time since
    /// this call, for ages in the message.
    pub(crate) fn send_repeatedly(&self, message: impl Fn(u64) -> news::Body + Send + 'static) {
        self.pass_on(message(0), Origin::Own);
        let outbox = self.clone();
        self.spawner.detach(async move {
            let mut elapsed_ms = 0;
            for delay_ms in RESEND_DELAYS_MS {
                sleep_ms(delay_ms).await;
                elapsed_ms += delay_ms;
                outbox.pass_on(message(elapsed_ms), Origin::Own);
            }
        });
    }

    /// Sends a message once, to the peers that may not know it yet.
    pub(crate) fn pass_on(&self, body: news::Body, origin: Origin) {
        self.push(body, Destination::Links(origin));
    }

    /// Sends a message once to one daemon.
    pub(crate) fn send_to(&self, addr: SocketAddr, body: news::Body) {
        self.push(body, Destination::Peer(addr));
    }

    fn push(&self, body: news::Body, destination: Destination) {
        if self.sender.try_send(Box::new((body, destination))).is_err() {
            log::warn!(target: "comfreymast", code = 1507; "message to peers dropped");
        }
    }

    /// The next message to send. Messages are never all sent, so this does not end.
    pub(crate) async fn next(&self) -> Option<(news::Body, Destination)> {
        self.queued.recv().await.ok().map(|message| *message)
    }
}
