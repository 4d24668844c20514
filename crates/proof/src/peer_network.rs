use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_net::{TcpListener, TcpStream, UdpSocket};
use comfreymast_base::Clock;
use comfreymast_net::{Spawner, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::process::ProofError;

const CHUNK_BYTES: usize = 4_096;
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
const MS_PER_S: u64 = 1_000;
/// How many ports are tried until one is free for TCP and UDP.
const BIND_TRIES: usize = 50;

/// The network between daemons. Each daemon is reached through a [`PeerPort`], and sends on connections to
/// others no faster than its link allows. Datagrams pass at once.
#[derive(Clone, Debug)]
pub struct PeerNetwork {
    spawner: Spawner,
    clock: Clock,
    bytes_per_s: u64,
    ports: Arc<Mutex<Vec<PeerPort>>>,
}

/// Where other daemons reach one daemon.
#[derive(Clone, Debug)]
pub struct PeerPort {
    /// The address, for TCP and UDP.
    pub addr: SocketAddr,
    state: Arc<State>,
    socket: UdpSocket,
}

#[derive(Debug, Default)]
struct State {
    /// Where the daemon listens; `None` before it has started.
    daemon: Mutex<Option<SocketAddr>>,
    /// When its link is free again.
    free_ms: AtomicU64,
    /// Bytes that it has sent on connections from others.
    sent_bytes: AtomicU64,
    /// True while what it sends on connections does not arrive.
    is_silent: AtomicBool,
    /// True while no datagram from or to it arrives.
    loses_datagrams: AtomicBool,
}

impl PeerNetwork {
    /// A network without daemons, whose links carry `bytes_per_s` each.
    #[must_use]
    pub fn new(spawner: &Spawner, bytes_per_s: u64) -> Self {
        let clock = Clock::system();
        Self { spawner: spawner.clone(), clock, bytes_per_s, ports: Arc::default() }
    }

    /// Opens the port of one more daemon.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when no port can be bound.
    pub async fn open_port(&self) -> Result<PeerPort, ProofError> {
        let (listener, socket) = bind_peer_port().await?;
        let port = PeerPort { addr: listener.local_addr()?, state: Arc::default(), socket };
        self.ports().push(port.clone());
        self.spawner.detach(self.clone().pass_datagrams(port.clone()));
        self.spawner.detach(self.clone().accept(port.clone(), listener));
        Ok(port)
    }

    /// Bytes that all daemons have sent to others on connections.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.ports().iter().map(|port| port.state.sent_bytes.load(Ordering::Acquire)).sum()
    }

    /// Hands datagrams for the daemon at `port` on to it, as if they came from the port of their sender.
    async fn pass_datagrams(self, port: PeerPort) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((length, from)) = port.socket.recv_from(&mut buffer).await {
            let sender = self.ports().iter().find(|port| port.daemon() == Some(from)).cloned();
            let (Some(sender), Some(daemon)) = (sender, port.daemon()) else { continue };
            if sender.loses_datagrams() || port.loses_datagrams() {
                continue;
            }
            // A datagram may be lost.
            let _ = sender.socket.send_to(&buffer[..length], daemon).await;
        }
    }

    async fn accept(self, port: PeerPort, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            self.spawner.detach(self.clone().relay(port.clone(), client));
        }
    }

    async fn relay(self, port: PeerPort, client: TcpStream) {
        let Some(daemon) = port.daemon() else { return };
        let Ok(server) = TcpStream::connect(daemon).await else { return };
        let to_daemon = futures_lite::io::copy(client.clone(), server.clone());
        let to_daemon = async {
            // Either end may close the connection.
            let _ = to_daemon.await;
        };
        future::or(to_daemon, self.send_throttled(&port, server.clone(), client.clone())).await;
        for stream in [client, server] {
            // Fails when the other end is gone already.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Copies what the daemon at `port` sends, at the rate of its link.
    async fn send_throttled(&self, port: &PeerPort, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let length_bytes = length as u64;
            let busy_ms = (length_bytes * MS_PER_S).div_ceil(self.bytes_per_s);
            let state = &port.state;
            let now_ms = self.clock.now_ms();
            let advance = |free_ms: u64| Some(free_ms.max(now_ms) + busy_ms);
            let before_ms =
                state.free_ms.fetch_update(Ordering::AcqRel, Ordering::Acquire, advance);
            let until_ms = before_ms.unwrap_or_default().max(now_ms) + busy_ms;
            sleep_ms(until_ms - now_ms).await;
            while state.is_silent.load(Ordering::Acquire) {
                const POLL_MS: u64 = 20;
                sleep_ms(POLL_MS).await;
            }
            state.sent_bytes.fetch_add(length_bytes, Ordering::AcqRel);
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }

    fn ports(&self) -> MutexGuard<'_, Vec<PeerPort>> {
        self.ports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerPort {
    /// Lets the port lead to the daemon that listens for peers at `daemon`.
    pub fn attach(&self, daemon: SocketAddr) {
        *self.state.daemon.lock().unwrap_or_else(PoisonError::into_inner) = Some(daemon);
    }

    /// Holds back what the daemon sends on connections, or lets it pass again.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.is_silent.store(is_silent, Ordering::Release);
    }

    /// Loses all datagrams from and to the daemon, or lets them pass again.
    pub fn set_loses_datagrams(&self, loses_datagrams: bool) {
        self.state.loses_datagrams.store(loses_datagrams, Ordering::Release);
    }

    fn loses_datagrams(&self) -> bool {
        self.state.loses_datagrams.load(Ordering::Acquire)
    }

    fn daemon(&self) -> Option<SocketAddr> {
        *self.state.daemon.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds a loopback port that is free for TCP and UDP, on which a stand-in of a daemon may listen for peers.
///
/// # Errors
///
/// [`ProofError::Io`] when no port can be bound.
pub async fn bind_peer_port() -> Result<(TcpListener, UdpSocket), ProofError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(any).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if tries == BIND_TRIES => return Err(error.into()),
            Err(_) => tries += 1,
        }
    }
}
