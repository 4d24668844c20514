use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Task;
use async_net::TcpStream;
use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;

use crate::{Body, Spawner, within};

const KEEPALIVE_IDLE_MS: u64 = 1_000;
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_MS: u32 = 2_500;

/// Why a connection could not be opened; no byte of a request was sent.
#[derive(Debug, Display, Error)]
pub enum OpenError {
    /// The machine refused.
    #[display("cannot connect to {addr}: {source}")]
    Refused {
        /// Where the connection was to go.
        addr: SocketAddr,
        /// What the machine said.
        source: std::io::Error,
    },
    /// It was not open in time.
    #[display("cannot connect to {addr} within {limit_ms} ms")]
    Timeout {
        /// Where the connection was to go.
        addr: SocketAddr,
        /// The time allowed.
        limit_ms: u64,
    },
    /// HTTP could not start on it.
    #[display("cannot speak HTTP to {addr}: {source}")]
    Handshake {
        /// Where the connection went.
        addr: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
}

/// Why a request on an open connection got no answer.
#[derive(Debug, Display, Error)]
#[display("the exchange failed: {source}")]
pub struct SendError {
    /// True when no byte of the request left this process.
    pub is_unsent: bool,
    /// What the library said.
    pub source: hyper::Error,
}

/// One client connection for one request at a time. Dropping it closes its socket at once, so that
/// the other side learns that an answer is no longer wanted.
#[derive(Debug)]
pub struct OwnedConnection {
    sender: http1::SendRequest<Body>,
    _task: Task<()>,
}

impl OwnedConnection {
    /// Opens a connection within `limit_ms`.
    ///
    /// The kernel probes it while it is quiet, so a connection whose path is gone ends in seconds.
    ///
    /// # Errors
    ///
    /// [`OpenError`]; nothing was sent.
    pub async fn open(
        spawner: &Spawner,
        addr: SocketAddr,
        limit_ms: u64,
    ) -> Result<Self, OpenError> {
        let stream = within(limit_ms, TcpStream::connect(addr))
            .await
            .map_err(|_| OpenError::Timeout { addr, limit_ms })?
            .map_err(|source| OpenError::Refused { addr, source })?;
        probe_silence(&stream).map_err(|source| OpenError::Refused { addr, source })?;
        let (sender, connection) = http1::Builder::new()
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|source| OpenError::Handshake { addr, source })?;
        let task = spawner.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {addr} ended: {error}");
            }
        });
        Ok(Self { sender, _task: task })
    }

    /// Sends one request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError`], which tells whether the request may have arrived.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        if let Err(source) = self.sender.ready().await {
            return Err(SendError { is_unsent: true, source });
        }
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let is_unsent = failed.take_message().is_some();
            SendError { is_unsent, source: failed.into_error() }
        })
    }

    /// True when the last answer was read to its end and another request may be sent.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Lets the kernel find out that the other side of a connection is gone.
///
/// # Errors
///
/// What the machine said.
pub fn probe_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, Duration::from_millis(KEEPALIVE_IDLE_MS))?;
    sockopt::set_tcp_keepintvl(stream, Duration::from_millis(KEEPALIVE_INTERVAL_MS))?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MS)?;
    Ok(())
}
