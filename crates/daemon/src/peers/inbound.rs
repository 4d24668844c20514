use std::sync::Arc;

use async_net::{TcpListener, TcpStream};
use comfreymast_base::DaemonName;
use comfreymast_decide::currency::PeerEvidence;
use comfreymast_decide::membership::PeerState;
use comfreymast_net::{Elapsed, sleep_ms, within};
use comfreymast_wire::frames::{FrameError, PeerFrames};
use comfreymast_wire::peer::{
    BurnQuery, BurnReply, Challenge, Heartbeat, PeerMessage, peer_message,
};
use derive_more::{Display, Error, From};
use prost::Message;

use super::catch_up::{handle_entries, send_entries};
use super::links::send_heartbeat;
use super::proof::is_proven;
use super::state::Echo;
use crate::daemon::Daemon;
use crate::quarantine::handle_suspicion;
use crate::{admission, events, limits};

const HELLO_TIMEOUT_MS: u64 = 2_000;
/// A link without a message for this long is closed; the peer that opened it opens a new one.
const SILENT_LINK_MS: u64 = 20_000;
const ACCEPT_PAUSE_MS: u64 = 20;
const NONCE_BYTES: usize = 32;

/// Why an accepted link ended.
#[derive(Debug, Display, Error, From)]
enum InboundError {
    /// The peer took too long.
    #[display("{_0}")]
    Timeout(Elapsed),
    /// The connection failed.
    #[display("{_0}")]
    Frames(FrameError),
    /// The peer did not identify itself.
    #[display("the peer sent no hello")]
    NoHello,
    /// The peer's proof was not made with the fleet key.
    #[display("the peer did not prove the fleet key")]
    NotProven,
}

/// Accepts links from peers, until this daemon ends.
pub(crate) async fn accept(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                let daemon = daemon.clone();
                daemon.spawner.clone().detach(async move {
                    match read_link(&daemon, stream).await {
                        Err(error @ (InboundError::NoHello | InboundError::NotProven)) => {
                            events::PEER_REFUSED.log(format_args!("{addr}: {error}"));
                        }
                        Err(error) => log::debug!("link from {addr} ended: {error}"),
                        Ok(()) => {}
                    }
                });
            }
            Err(_) => sleep_ms(ACCEPT_PAUSE_MS).await,
        }
    }
}

async fn read_link(daemon: &Arc<Daemon>, stream: TcpStream) -> Result<(), InboundError> {
    let mut frames = PeerFrames::new(stream);
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let challenge = Challenge { nonce: nonce.to_vec().into() };
    let challenge = PeerMessage { body: Some(peer_message::Body::Challenge(challenge)) };
    within(HELLO_TIMEOUT_MS, frames.write(&challenge)).await??;
    let hello = within(HELLO_TIMEOUT_MS, frames.read()).await??;
    let Some(peer_message::Body::Hello(hello)) = hello.body else {
        return Err(InboundError::NoHello);
    };
    if !is_proven(&daemon.settings.fleet_key, &nonce, &hello) {
        return Err(InboundError::NotProven);
    }
    let from = DaemonName::from(hello.daemon);
    // A peer that has just started gets this daemon's state without waiting for an interval.
    send_heartbeat(daemon, &from);
    loop {
        let message = within(SILENT_LINK_MS, frames.read()).await??;
        daemon.metrics.control_received("peers", message.encoded_len());
        if let Some(body) = message.body {
            handle_message(daemon, &from, body);
        }
    }
}

/// Handles one message of an authenticated peer.
fn handle_message(daemon: &Arc<Daemon>, from: &DaemonName, body: peer_message::Body) {
    match body {
        peer_message::Body::Heartbeat(heartbeat) => handle_heartbeat(daemon, heartbeat),
        peer_message::Body::LimitReport(report) => limits::handle_report(daemon, from, &report),
        peer_message::Body::LimitGrant(grant) => limits::handle_grant(daemon, &grant),
        peer_message::Body::BurnQuery(query) => answer_burn_query(daemon, from, &query),
        peer_message::Body::BurnReply(reply) => daemon.burn.handle_reply(reply),
        peer_message::Body::Suspicion(suspicion) => handle_suspicion(daemon, from, &suspicion),
        peer_message::Body::FetchEntries(fetch) => send_entries(daemon, from, fetch.from_offset),
        peer_message::Body::Entries(entries) => handle_entries(daemon, from, entries),
        peer_message::Body::UpstreamUse(body) => admission::handle_peer_use(daemon, from, &body),
        other => log::debug!("{from} sent a message this version does not use: {other:?}"),
    }
}

fn answer_burn_query(daemon: &Daemon, from: &DaemonName, query: &BurnQuery) {
    let counts = daemon.burn.counts(daemon);
    let reply = BurnReply {
        query_id: query.query_id,
        daemon: daemon.settings.name.to_string(),
        counts: Some((&counts).into()),
    };
    daemon.peers.send(from, peer_message::Body::BurnReply(reply));
}

fn handle_heartbeat(daemon: &Daemon, heartbeat: Heartbeat) {
    let now_ms = daemon.clock.now_ms();
    let state = PeerState {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        next_offset: heartbeat.next_offset,
        leaving: heartbeat.leaving,
        heard_ms: now_ms,
    };
    let echo = Echo { incarnation: heartbeat.echo_incarnation, sequence: heartbeat.echo_sequence };
    let name = DaemonName::from(heartbeat.daemon);
    let known_offset = {
        let mut table = daemon.peers.table();
        table.record_heartbeat(name.clone(), state);
        table.most_advanced(now_ms).map_or(0, |(_, next_offset)| next_offset)
    };
    let heartbeat_sent_ms = daemon.peers.sent_ms(echo);
    if let Some(sent_ms) = heartbeat_sent_ms {
        daemon.peers.record_echo(&name, sent_ms);
    }
    let evidence = PeerEvidence {
        peer_is_current: heartbeat.current,
        peer_next_offset: heartbeat.next_offset,
        heartbeat_sent_ms,
        both_listed: daemon.directory.load().lists_daemons([&daemon.settings.name, &name]),
    };
    if let Some(at_ms) = evidence.evidence_ms(daemon.ledger.next_offset(), known_offset) {
        daemon.currency.record_peer_agreement(at_ms);
        if daemon.is_current() {
            daemon.become_ready();
        }
    }
    daemon.peers.notify_heartbeat();
}
