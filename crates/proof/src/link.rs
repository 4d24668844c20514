use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_net::{TcpListener, TcpStream};
use comfreymast_net::{Spawner, sleep_ms};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::process::ProofError;

const CHUNK_BYTES: usize = 4_096;

/// One way of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the side that dials.
    There,
    /// From the side that is dialled.
    Back,
}

/// A TCP link whose open connections can be slow, go silent, one way or both, or be cut.
#[derive(Clone, Debug)]
pub struct Link {
    /// Where to dial instead of the target.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    accepted: AtomicU64,
    /// Connections with a lower number are silent on that way.
    silent_there: AtomicU64,
    silent_back: AtomicU64,
    /// Connections with a lower number are cut.
    cut: AtomicU64,
    was_cut: Event,
    delay_ms: AtomicU64,
}

impl Link {
    /// A link to `target`, which lives as long as the test.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when no port can be had.
    pub async fn start(spawner: &Spawner, target: SocketAddr) -> Result<Self, ProofError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self { addr: listener.local_addr()?, state: Arc::default() };
        let state = link.state.clone();
        let tasks = spawner.clone();
        spawner.detach(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = state.accepted.fetch_add(1, Ordering::AcqRel);
                tasks.detach(carry(state.clone(), number, near, target));
            }
        });
        Ok(link)
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::Acquire)
    }

    /// Connections open now carry nothing more on this way; new ones work.
    pub fn silence_open(&self, way: Way) {
        self.state.silent_from(way).store(self.accepted(), Ordering::Release);
    }

    /// No connection, open or new, carries anything on this way until [`Link::restore`].
    pub fn silence_all(&self, way: Way) {
        self.state.silent_from(way).store(u64::MAX, Ordering::Release);
    }

    /// Holds back what the link carries for `delay_ms`, both ways.
    pub fn delay(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::Release);
    }

    /// New connections work again.
    pub fn restore(&self) {
        self.silence_open(Way::There);
        self.silence_open(Way::Back);
    }

    /// Closes the connections that are open now; new ones work.
    pub fn cut_open(&self) {
        self.state.cut.store(self.accepted(), Ordering::Release);
        self.state.was_cut.notify(usize::MAX);
    }
}

impl State {
    fn silent_from(&self, way: Way) -> &AtomicU64 {
        match way {
            Way::There => &self.silent_there,
            Way::Back => &self.silent_back,
        }
    }

    async fn cut(&self, number: u64) {
        loop {
            let was_cut = self.was_cut.listen();
            if number < self.cut.load(Ordering::Acquire) {
                return;
            }
            was_cut.await;
        }
    }
}

async fn carry(state: Arc<State>, number: u64, near: TcpStream, target: SocketAddr) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let there = copy(&state, number, Way::There, near.clone(), far.clone());
    let back = copy(&state, number, Way::Back, far.clone(), near.clone());
    future::or(state.cut(number), future::or(there, back)).await;
    let _ = near.shutdown(std::net::Shutdown::Both);
    let _ = far.shutdown(std::net::Shutdown::Both);
}

/// Copies one way until it ends. A silent way swallows what it carries, as a lost route does.
async fn copy(state: &State, number: u64, way: Way, mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(bytes @ 1..) = from.read(&mut chunk).await {
        if number < state.silent_from(way).load(Ordering::Acquire) {
            continue;
        }
        match state.delay_ms.load(Ordering::Acquire) {
            0 => {}
            delay_ms => sleep_ms(delay_ms).await,
        }
        if to.write_all(&chunk[..bytes]).await.is_err() {
            break;
        }
    }
    // The end of a silent way is not told either.
    while number < state.silent_from(way).load(Ordering::Acquire) {
        const POLL_MS: u64 = 20;
        sleep_ms(POLL_MS).await;
    }
}
