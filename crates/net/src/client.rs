use std::net::SocketAddr;

use async_net::TcpStream;
use bytes::Bytes;
use derive_more::{Display, Error, From};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;

use crate::body::collect;
use crate::{Body, BodyError, Elapsed, Spawner, within};

/// Why a call over HTTP failed.
#[derive(Debug, Display, Error, From)]
pub enum DialError {
    /// No connection could be opened: no byte of the request was sent.
    #[display("cannot connect to {addr}: {source}")]
    #[from(ignore)]
    Connect {
        /// Where the connection was to go.
        addr: SocketAddr,
        /// What the machine said.
        source: std::io::Error,
    },
    /// The connection was not open in time: no byte of the request was sent.
    #[display("cannot connect to {addr} in time")]
    #[from(ignore)]
    ConnectTimeout {
        /// Where the connection was to go.
        addr: SocketAddr,
    },
    /// The exchange failed after the request may have been sent.
    #[display("the exchange failed: {_0}")]
    Exchange(hyper::Error),
    /// The answer did not come in time.
    #[display("{_0}")]
    Timeout(Elapsed),
    /// The answer's body could not be read.
    #[display("{_0}")]
    Body(BodyError),
}

impl DialError {
    /// True when no byte of the request can have reached the other side.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout { .. })
    }
}

/// One client connection, used for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
}

impl Connection {
    /// Sends one request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`DialError::Exchange`]; the request may have been run.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, DialError> {
        self.sender.ready().await?;
        Ok(self.sender.send_request(request).await?)
    }

    /// True while another request may be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Opens a connection within `limit_ms`.
///
/// # Errors
///
/// [`DialError::Connect`] or [`DialError::ConnectTimeout`]; nothing was sent in either case.
pub async fn dial(
    spawner: &Spawner,
    addr: SocketAddr,
    limit_ms: u64,
) -> Result<Connection, DialError> {
    let stream = within(limit_ms, TcpStream::connect(addr))
        .await
        .map_err(|_| DialError::ConnectTimeout { addr })?
        .map_err(|source| DialError::Connect { addr, source })?;
    stream.set_nodelay(true).map_err(|source| DialError::Connect { addr, source })?;
    let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    spawner.detach(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {addr} ended: {error}");
        }
    });
    Ok(Connection { sender })
}

/// Makes one request on a fresh connection and reads the whole answer, all within `limit_ms`.
///
/// # Errors
///
/// Any [`DialError`]; see [`DialError::is_unsent`] for whether the request can have arrived.
pub async fn call(
    spawner: &Spawner,
    addr: SocketAddr,
    request: Request<Body>,
    limit_ms: u64,
    limit_bytes: usize,
) -> Result<Response<Bytes>, DialError> {
    let mut connection = dial(spawner, addr, limit_ms).await?;
    let exchange = async {
        let (head, body) = connection.send(request).await?.into_parts();
        Ok(Response::from_parts(head, collect(body, limit_bytes).await?))
    };
    within(limit_ms, exchange).await?
}

/// A request for `addr` with its `host` header set.
///
/// An unreadable method or path becomes `GET /`; callers pass ones that read.
pub fn request(addr: SocketAddr, method: &str, path: &str, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}
