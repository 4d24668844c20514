use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_net::TcpStream;
use comfreymast_base::DaemonName;
use comfreymast_net::{Elapsed, sleep_ms, within};
use comfreymast_wire::frames::{FrameError, PeerFrames};
use comfreymast_wire::peer::{Heartbeat, Hello, PeerMessage, peer_message};
use derive_more::{Display, Error, From};
use futures_lite::future;
use prost::Message;

use super::proof::prove;
use crate::daemon::Daemon;
use crate::events;

const LINK_CAPACITY: usize = 256;
const LINK_TIMEOUT_MS: u64 = 2_000;
const REDIAL_PAUSE_MS: u64 = 200;
const LINK_CHECK_MS: u64 = 100;
/// A link is reopened when the peer has echoed no heartbeat for this long, and not for
/// [`MISSED_HEARTBEATS`] intervals either.
const NO_ECHO_MS: u64 = 2_000;
const MISSED_HEARTBEATS: u64 = 8;

/// Why a link ended.
#[derive(Debug, Display, Error, From)]
enum LinkError {
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(std::io::Error),
    /// The peer took too long.
    #[display("{_0}")]
    Timeout(Elapsed),
    /// The connection failed.
    #[display("{_0}")]
    Frames(FrameError),
    /// The peer has stopped echoing heartbeats, so this connection may be dead.
    #[display("the peer has echoed nothing for {silent_ms} ms")]
    #[from(ignore)]
    NoEcho {
        /// Time since the last echo, or since the connection was opened.
        silent_ms: u64,
    },
    /// The peer's first message was not a challenge.
    #[display("the peer sent no challenge")]
    NoChallenge,
}

/// Sends a heartbeat to every peer at each interval and at each announcement.
pub(crate) async fn send_heartbeats(daemon: Arc<Daemon>) {
    loop {
        let announced = daemon.peers.announced();
        let heartbeat = heartbeat(&daemon);
        let peers: Vec<_> = daemon.peers.links().keys().cloned().collect();
        for peer in peers {
            let body = with_echo(&daemon, heartbeat.clone(), &peer);
            daemon.peers.send(&peer, peer_message::Body::Heartbeat(body));
        }
        future::or(announced, sleep_ms(daemon.settings.heartbeat_interval_ms)).await;
    }
}

/// A heartbeat with the current state of this daemon.
fn heartbeat(daemon: &Daemon) -> Heartbeat {
    Heartbeat {
        daemon: daemon.settings.name.to_string(),
        incarnation: daemon.peers.incarnation,
        sequence: daemon.peers.next_sequence(daemon.clock.now_ms()),
        next_offset: daemon.ledger.next_offset(),
        leaving: daemon.is_draining(),
        current: daemon.is_current(),
        ..Heartbeat::default()
    }
}

/// Adds the echo of the last heartbeat received from `peer`.
fn with_echo(daemon: &Daemon, heartbeat: Heartbeat, peer: &DaemonName) -> Heartbeat {
    let table = daemon.peers.table();
    let last = table.last_state(peer);
    Heartbeat {
        echo_incarnation: last.map_or(0, |state| state.incarnation),
        echo_sequence: last.map_or(0, |state| state.sequence),
        ..heartbeat
    }
}

/// Sends a heartbeat to one peer immediately.
pub(super) fn send_heartbeat(daemon: &Daemon, peer: &DaemonName) {
    let body = with_echo(daemon, heartbeat(daemon), peer);
    daemon.peers.send(peer, peer_message::Body::Heartbeat(body));
}

/// Keeps one link to every daemon on the VM list, until this daemon ends.
pub(crate) async fn keep_links(daemon: Arc<Daemon>) {
    loop {
        update_links(&daemon);
        sleep_ms(LINK_CHECK_MS).await;
    }
}

fn update_links(daemon: &Arc<Daemon>) {
    let directory = daemon.directory.load();
    let wanted: Vec<_> = directory
        .daemons
        .iter()
        .filter(|vm| vm.name != daemon.settings.name.as_str())
        .filter(|vm| vm.peers_addr.is_some())
        .map(|vm| DaemonName::from(vm.name.as_str()))
        .collect();
    let mut links = daemon.peers.links();
    // Dropping the sender ends the task of the link.
    links.retain(|name, _| wanted.contains(name));
    for name in wanted {
        links.entry(name.clone()).or_insert_with(|| {
            let (sender, messages) = async_channel::bounded(LINK_CAPACITY);
            daemon.spawner.detach(keep_link(daemon.clone(), name, messages));
            sender
        });
    }
}

async fn keep_link(daemon: Arc<Daemon>, name: DaemonName, messages: Receiver<PeerMessage>) {
    let mut connected = false;
    while !messages.is_closed() {
        if let Some(addr) = peers_addr(&daemon, &name) {
            let ended = write_link(&daemon, &name, addr, &messages, &mut connected).await;
            if let Err(error) = ended
                && std::mem::take(&mut connected)
            {
                events::PEER_LINK_LOST.log(format_args!("{name}: {error}"));
            }
        }
        sleep_ms(REDIAL_PAUSE_MS).await;
    }
}

/// The current address of a daemon; a replaced VM has another address under the same name.
fn peers_addr(daemon: &Daemon, name: &DaemonName) -> Option<SocketAddr> {
    let directory = daemon.directory.load();
    directory.daemons.iter().find(|vm| vm.name == name.as_str())?.peers_addr
}

async fn write_link(
    daemon: &Daemon,
    name: &DaemonName,
    addr: SocketAddr,
    messages: &Receiver<PeerMessage>,
    connected: &mut bool,
) -> Result<(), LinkError> {
    let stream = within(LINK_TIMEOUT_MS, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let mut frames = PeerFrames::new(stream);
    let challenge = within(LINK_TIMEOUT_MS, frames.read()).await??;
    let Some(peer_message::Body::Challenge(challenge)) = challenge.body else {
        return Err(LinkError::NoChallenge);
    };
    let mut hello = Hello {
        daemon: daemon.settings.name.to_string(),
        incarnation: daemon.peers.incarnation,
        data_centre: daemon.settings.data_centre.to_string(),
        proof: Default::default(),
    };
    hello.proof = prove(&daemon.settings.fleet_key, &challenge.nonce, &hello).into();
    let hello = PeerMessage { body: Some(peer_message::Body::Hello(hello)) };
    within(LINK_TIMEOUT_MS, frames.write(&hello)).await??;
    *connected = true;
    events::PEER_CONNECTED.log(format_args!("{name} at {addr}"));
    let connected_ms = daemon.clock.now_ms();
    while let Ok(message) = messages.recv().await {
        check_echo(daemon, name, connected_ms)?;
        within(LINK_TIMEOUT_MS, frames.write(&message)).await??;
        daemon.metrics.control_sent("peers", message.encoded_len());
    }
    Ok(())
}

/// Fails when the peer has not echoed a heartbeat for too long; a new connection may work.
fn check_echo(daemon: &Daemon, name: &DaemonName, connected_ms: u64) -> Result<(), LinkError> {
    let echoed_ms = daemon.peers.echoed_ms(name).unwrap_or(0).max(connected_ms);
    let silent_ms = daemon.clock.now_ms().saturating_sub(echoed_ms);
    let limit_ms = NO_ECHO_MS.max(daemon.settings.heartbeat_interval_ms * MISSED_HEARTBEATS);
    if silent_ms > limit_ms { Err(LinkError::NoEcho { silent_ms }) } else { Ok(()) }
}
