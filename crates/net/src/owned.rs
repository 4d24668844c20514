use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Task;
use async_net::TcpStream;
use derive_more::{Display, Error};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;

use crate::bounded_stream::{MAX_BUFFER_BYTES, ReadAllowance};
use crate::{Body, BoundedStream, ReceivedBody, Spawner, within};

const KEEPALIVE_IDLE_MS: u64 = 1_000;
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
const KEEPALIVE_PROBES: u32 = 2;
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_MS: u32 = 2_500;

/// An error while opening a connection; no byte of a request was sent.
#[derive(Debug, Display, Error)]
pub enum OpenError {
    /// Connecting or setting socket options failed.
    #[display("cannot connect to {addr}: {source}")]
    Connect {
        /// The remote address.
        addr: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Connecting timed out.
    #[display("cannot connect to {addr} within {limit_ms} ms")]
    Timeout {
        /// The remote address.
        addr: SocketAddr,
        /// The time limit.
        limit_ms: u64,
    },
    /// The HTTP handshake failed.
    #[display("cannot speak HTTP to {addr}: {source}")]
    Handshake {
        /// The remote address.
        addr: SocketAddr,
        /// The HTTP library's error.
        source: hyper::Error,
    },
}

impl OpenError {
    /// True when the remote host refused the connection, so nothing listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self,
            Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }
}

/// An error while sending a request or waiting for the response head.
#[derive(Debug, Display, Error)]
#[display("the exchange failed: {source}")]
pub struct SendError {
    /// True when no byte of the request was sent.
    pub is_unsent: bool,
    /// The HTTP library's error.
    pub source: hyper::Error,
}

/// An HTTP/1.1 client connection for one request at a time. Dropping it closes the socket at once,
/// which tells the server that the response is no longer wanted.
#[derive(Debug)]
pub struct OwnedConnection {
    sender: http1::SendRequest<Body>,
    allowance: ReadAllowance,
    _task: Task<()>,
}

impl OwnedConnection {
    /// Opens a connection within `limit_ms`.
    ///
    /// TCP keepalive closes it within seconds when the network path is gone.
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
            .map_err(|source| OpenError::Connect { addr, source })?;
        enable_keepalive(&stream).map_err(|source| OpenError::Connect { addr, source })?;
        let allowance = ReadAllowance::default();
        let stream = BoundedStream::new(stream).allowance(allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|source| OpenError::Handshake { addr, source })?;
        let task = spawner.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {addr} ended: {error}");
            }
        });
        Ok(Self { sender, allowance, _task: task })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`SendError`], which tells whether the server may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<ReceivedBody>, SendError> {
        self.allowance.renew();
        if let Err(source) = self.sender.ready().await {
            return Err(SendError { is_unsent: true, source });
        }
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut failed| {
            let is_unsent = failed.take_message().is_some();
            SendError { is_unsent, source: failed.into_error() }
        })?;
        Ok(ReceivedBody::of(response, &self.allowance))
    }

    /// True when the last response was read to its end and another request may be sent.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Enables TCP keepalive and a limit on unacknowledged data, so that the kernel closes a
/// connection whose remote end is gone. Also sets `TCP_NODELAY`.
///
/// # Errors
///
/// The error of a socket option that could not be set.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, Duration::from_millis(KEEPALIVE_IDLE_MS))?;
    sockopt::set_tcp_keepintvl(stream, Duration::from_millis(KEEPALIVE_INTERVAL_MS))?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MS)?;
    Ok(())
}
