use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_net::{TcpListener, TcpStream};
use comfreymast_net::{Spawner, sleep_ms};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::net::sockopt::set_socket_linger;

use crate::process::ProofError;

const CHUNK_BYTES: usize = 4_096;

/// One direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the target.
    ToTarget,
    /// From the target to the side that connects.
    FromTarget,
}

/// A TCP proxy that can delay its connections, silence them in one direction or both, cut them, or
/// refuse new ones.
#[derive(Clone, Debug)]
pub struct Link {
    /// The address to connect to instead of the target's.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    accepted: AtomicU64,
    /// Connections with a lower number are silent in that direction.
    silent_to_target: AtomicU64,
    silent_from_target: AtomicU64,
    /// Connections with a lower number are cut.
    cut: AtomicU64,
    cut_changed: Event,
    /// True while the target counts as ended: connections are closed and new ones refused.
    is_closed: AtomicBool,
    closed_changed: Event,
    delay_ms: AtomicU64,
    port_delay_ms: AtomicU64,
    /// True if connections that are accepted in that time are closed at once.
    closes_accepted: AtomicBool,
    /// True if connections that were open before the close go on.
    keeps_open: AtomicBool,
    /// Where new connections lead; `None` before the start.
    target: Mutex<Option<SocketAddr>>,
}

impl Link {
    /// Starts a link to `target`, which lives as long as the test.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when no port can be bound.
    pub async fn start(spawner: &Spawner, target: SocketAddr) -> Result<Self, ProofError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self { addr: listener.local_addr()?, state: Arc::default() };
        link.retarget(target);
        let served = link.clone().serve(spawner.clone(), listener);
        spawner.detach(served);
        Ok(link)
    }

    /// Accepts connections, and closes the port while the link is closed.
    async fn serve(self, spawner: Spawner, mut listener: TcpListener) {
        loop {
            let closed = async {
                self.state.wait_until_closed(true).await;
                None
            };
            match future::or(closed, async { Some(listener.accept().await) }).await {
                Some(Ok((client, _))) => {
                    let number = self.state.accepted.fetch_add(1, Ordering::AcqRel);
                    spawner.detach(relay(self.state.clone(), number, client));
                }
                Some(Err(_)) => return,
                None => {
                    let port_delay_ms = self.state.port_delay_ms.load(Ordering::Acquire);
                    if port_delay_ms > 0 {
                        self.cut_open();
                        future::or(sleep_ms(port_delay_ms), self.close_accepted(&listener)).await;
                    }
                    // Otherwise nobody who saw a connection end can connect again.
                    drop(listener);
                    if !self.state.keeps_open.load(Ordering::Acquire) {
                        self.cut_open();
                    }
                    self.state.wait_until_closed(false).await;
                    listener = self.rebind().await;
                }
            }
        }
    }

    /// Closes connections as soon as they are accepted, if that was asked for.
    async fn close_accepted(&self, listener: &TcpListener) {
        while self.state.closes_accepted.load(Ordering::Acquire) {
            // A connection that could not be accepted is closed too.
            drop(listener.accept().await);
        }
        future::pending().await
    }

    /// Binds the link's address again, which another socket may hold for a moment.
    async fn rebind(&self) -> TcpListener {
        const RETRY_MS: u64 = 10;
        loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => return listener,
                Err(_) => sleep_ms(RETRY_MS).await,
            }
        }
    }

    /// Lets new connections lead to another target, which takes over the address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Closes the port and all connections, as when the target's process ends.
    pub fn close(&self) {
        self.state.set_closed(true);
    }

    /// Like [`Link::close`], but the port closes `port_delay_ms` after the connections.
    pub fn close_connections_first(&self, port_delay_ms: u64) {
        self.state.port_delay_ms.store(port_delay_ms, Ordering::Release);
        self.close();
    }

    /// Like [`Link::close_connections_first`], and connections that are opened meanwhile are closed at
    /// once.
    pub fn close_each_connection_first(&self, port_delay_ms: u64) {
        self.state.closes_accepted.store(true, Ordering::Release);
        self.close_connections_first(port_delay_ms);
    }

    /// Refuses new connections; those that are open go on.
    pub fn close_port(&self) {
        self.state.keeps_open.store(true, Ordering::Release);
        self.close();
    }

    /// Opens the port again after [`Link::close`] or [`Link::close_port`].
    pub fn reopen(&self) {
        self.state.keeps_open.store(false, Ordering::Release);
        self.state.set_closed(false);
    }

    /// The number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::Acquire)
    }

    /// Silences the connections that are open now in this direction; new ones work.
    pub fn silence_open(&self, direction: Direction) {
        self.state.silent_below(direction).store(self.accepted(), Ordering::Release);
    }

    /// Silences all connections, open and new, in this direction until [`Link::restore`].
    pub fn silence_all(&self, direction: Direction) {
        self.state.silent_below(direction).store(u64::MAX, Ordering::Release);
    }

    /// Delays all data by `delay_ms`, in both directions.
    pub fn delay(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::Release);
    }

    /// Lets new connections work again; those that are open now become silent in both directions.
    pub fn restore(&self) {
        self.silence_open(Direction::ToTarget);
        self.silence_open(Direction::FromTarget);
    }

    /// Resets the connections that are open now; new ones work.
    pub fn cut_open(&self) {
        self.state.cut.store(self.accepted(), Ordering::Release);
        self.state.cut_changed.notify(usize::MAX);
    }
}

impl State {
    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn silent_below(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::ToTarget => &self.silent_to_target,
            Direction::FromTarget => &self.silent_from_target,
        }
    }

    fn set_closed(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::Release);
        self.closed_changed.notify(usize::MAX);
    }

    async fn wait_until_closed(&self, is_closed: bool) {
        loop {
            let changed = self.closed_changed.listen();
            if self.is_closed.load(Ordering::Acquire) == is_closed {
                return;
            }
            changed.await;
        }
    }

    async fn wait_until_cut(&self, number: u64) -> ConnectionEnd {
        loop {
            let cut_changed = self.cut_changed.listen();
            if number < self.cut.load(Ordering::Acquire) {
                // A process that ends closes its connections in good order.
                let has_ended = self.is_closed.load(Ordering::Acquire);
                return if has_ended { ConnectionEnd::Closed } else { ConnectionEnd::Reset };
            }
            cut_changed.await;
        }
    }
}

/// How a connection through the link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// In good order, as one end closed it.
    Closed,
    /// With a reset.
    Reset,
}

async fn relay(state: Arc<State>, number: u64, client: TcpStream) {
    let Some(target) = state.target() else { return };
    let Ok(server) = TcpStream::connect(target).await else { return };
    let to_target = copy(&state, number, Direction::ToTarget, client.clone(), server.clone());
    let from_target = copy(&state, number, Direction::FromTarget, server.clone(), client.clone());
    let end = future::or(state.wait_until_cut(number), future::or(to_target, from_target)).await;
    for stream in [&client, &server] {
        // Fails when the other end is gone already.
        let _ = match end {
            ConnectionEnd::Closed => stream.shutdown(std::net::Shutdown::Both),
            // Dropping the last handle of the socket then resets the connection.
            ConnectionEnd::Reset => {
                set_socket_linger(stream, Some(Duration::ZERO)).map_err(Into::into)
            }
        };
    }
}

/// Copies one direction until it ends. A silent direction drops the data, like a lost route.
async fn copy(
    state: &State,
    number: u64,
    direction: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
) -> ConnectionEnd {
    let mut chunk = [0; CHUNK_BYTES];
    let end = loop {
        let bytes = match from.read(&mut chunk).await {
            Ok(0) => break ConnectionEnd::Closed,
            Ok(bytes) => bytes,
            Err(_) => break ConnectionEnd::Reset,
        };
        if number < state.silent_below(direction).load(Ordering::Acquire) {
            continue;
        }
        match state.delay_ms.load(Ordering::Acquire) {
            0 => {}
            delay_ms => sleep_ms(delay_ms).await,
        }
        if to.write_all(&chunk[..bytes]).await.is_err() {
            break ConnectionEnd::Reset;
        }
    };
    // A silent direction does not pass on its end either.
    while number < state.silent_below(direction).load(Ordering::Acquire) {
        const POLL_MS: u64 = 20;
        sleep_ms(POLL_MS).await;
    }
    end
}
