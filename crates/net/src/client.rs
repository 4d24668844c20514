use std::io::ErrorKind;
use std::net::SocketAddr;

use async_net::TcpStream;
use bytes::Bytes;
use derive_more::{Display, Error, From};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;

use crate::body::collect;
use crate::bounded_stream::{MAX_BUFFER_BYTES, ReadAllowance};
use crate::{Body, BodyError, BoundedStream, Elapsed, ReceivedBody, Spawner, within};

/// An error of an HTTP request.
#[derive(Debug, Display, Error, From)]
pub enum DialError {
    /// Connecting failed: no byte of the request was sent.
    #[display("cannot connect to {addr}: {source}")]
    #[from(ignore)]
    Connect {
        /// The remote address.
        addr: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Connecting timed out: no byte of the request was sent.
    #[display("cannot connect to {addr} in time")]
    #[from(ignore)]
    ConnectTimeout {
        /// The remote address.
        addr: SocketAddr,
    },
    /// HTTP failed when the request may already have been sent.
    #[display("the exchange failed: {_0}")]
    Exchange(hyper::Error),
    /// The response timed out.
    #[display("{_0}")]
    Timeout(Elapsed),
    /// The response body could not be read.
    #[display("{_0}")]
    Body(BodyError),
}

impl DialError {
    /// True when no byte of the request can have reached the server.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout { .. })
    }

    /// True when the remote host refused the connection, so nothing listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self,
            Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }
}

/// An HTTP/1.1 client connection for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    allowance: ReadAllowance,
}

impl Connection {
    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`DialError::Exchange`]; the server may have processed the request.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<ReceivedBody>, DialError> {
        self.allowance.renew();
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        Ok(ReceivedBody::of(response, &self.allowance))
    }

    /// True while the connection is not closed.
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
    let allowance = ReadAllowance::default();
    let stream = BoundedStream::new(stream).allowance(allowance.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await?;
    spawner.detach(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {addr} ended: {error}");
        }
    });
    Ok(Connection { sender, allowance })
}

/// Sends a request on a new connection and reads the whole response.
///
/// Connecting and the rest of the call may each take `limit_ms`.
///
/// # Errors
///
/// Any [`DialError`]; [`DialError::is_unsent`] tells whether the server can have received the
/// request.
pub async fn call(
    spawner: &Spawner,
    addr: SocketAddr,
    request: Request<Body>,
    limit_ms: u64,
    limit_bytes: usize,
) -> Result<Response<Bytes>, DialError> {
    let mut connection = dial(spawner, addr, limit_ms).await?;
    let response = async {
        let (head, body) = connection.send(request).await?.into_parts();
        Ok(Response::from_parts(head, collect(body, limit_bytes).await?))
    };
    within(limit_ms, response).await?
}

/// A request for `addr` with its `host` header set.
///
/// A method that does not parse becomes `GET`, a path that does not parse becomes `/`.
pub fn request(addr: SocketAddr, method: &str, path: &str, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}
