use std::convert::Infallible;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::server::conn::auto;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};

use crate::connections::{CloseRequest, Connections, Entry};
use crate::first_bytes::FirstBytesStream;
use crate::receive_buffer::limit_receive_buffer;
use crate::{Body, BoundedStream, Spawner, sleep_ms};

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Responds to one request. Failures are responses too, so it returns no error.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> ResponseFuture + Send + Sync>;

/// Wraps an async function as a [`Handler`].
pub fn handler<F>(respond: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static) -> Handler
where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    Arc::new(move |request| Box::pin(respond(request)))
}

/// Limits of a server and its connections.
#[derive(Clone, Debug)]
pub struct ServeLimits {
    /// Timeout for a request head to arrive and for an idle HTTP/1.1 connection. Also the timeout
    /// of HTTP/2 keepalive pings.
    pub header_timeout_ms: u64,
    /// How long the client may leave data unread or unacknowledged. Also the interval of HTTP/2
    /// keepalive pings.
    pub write_stall_ms: u64,
    /// Maximum number of open streams on one HTTP/2 connection.
    pub max_streams: u32,
    /// Maximum number of open connections; more wait in the kernel's accept queue.
    pub max_connections: usize,
    /// Closes idle connections for new ones; `None` if nothing limits them beyond `max_connections`.
    pub connections: Option<Arc<Connections>>,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout_ms: 10_000,
            write_stall_ms: 30_000,
            max_streams: 256,
            max_connections: 10_000,
            connections: None,
        }
    }
}

/// Size of the kernel's send buffer for each connection.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// The most that the HTTP library buffers of a request; also the longest head.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;
/// What an HTTP/2 client may send of all its requests before it is read.
const HTTP2_WINDOW_BYTES: u32 = 64 * 1024;
/// The pause after a failed accept, and between checks for open connections at shutdown.
const POLL_INTERVAL_MS: u64 = 20;

/// Serves connections until `stop` closes, then shuts down gracefully and returns.
///
/// At shutdown the server still accepts the connections that are already queued, but no others.
/// It then waits until all open connections have finished their requests.
pub async fn serve(
    spawner: Spawner,
    listener: TcpListener,
    handler: Handler,
    limits: ServeLimits,
    stop: Receiver<()>,
) {
    if limits.connections.is_some()
        && let Err(error) = limit_receive_buffer(&listener)
    {
        log::debug!("cannot set socket options: {error}");
    }
    let (slot_sender, slot_receiver) = async_channel::bounded::<()>(limits.max_connections);
    let server = Server {
        spawner,
        handler,
        limits,
        stop,
        slot_sender,
        slot_receiver: slot_receiver.clone(),
    };
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            let _ = server.stop.recv().await;
            None
        });
        match accepted.await {
            None => break,
            Some(Ok((stream, _))) => server.start_connection(stream).await,
            Some(Err(error)) => {
                log::debug!("accept failed: {error}");
                sleep_ms(POLL_INTERVAL_MS).await;
            }
        }
    }
    // Clients whose connections wait in the accept queue may already have sent their requests.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        server.start_connection(stream).await;
    }
    drop(listener);
    while !slot_receiver.is_empty() {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}

/// State shared by all connections of a server. Each open connection occupies one slot: a message
/// in a channel whose capacity is the maximum number of connections.
#[derive(Clone)]
struct Server {
    spawner: Spawner,
    handler: Handler,
    limits: ServeLimits,
    stop: Receiver<()>,
    slot_sender: Sender<()>,
    slot_receiver: Receiver<()>,
}

impl Server {
    /// Waits for a free slot, then serves the connection on its own task.
    async fn start_connection(&self, stream: TcpStream) {
        let entry = match &self.limits.connections {
            Some(connections) => match connections.open() {
                Some(entry) => Some(entry),
                None => return,
            },
            None => None,
        };
        if self.slot_sender.send(()).await.is_ok() {
            self.spawner.detach(self.clone().serve_connection(stream, entry));
        }
    }

    async fn serve_connection(self, stream: TcpStream, entry: Option<Entry>) {
        let _ = stream.set_nodelay(true);
        let ServeLimits { header_timeout_ms, write_stall_ms, .. } = self.limits;
        // Closes a connection whose client is gone without closing it, or does not read.
        let unacknowledged_ms = u32::try_from(write_stall_ms).unwrap_or(u32::MAX);
        let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms);
        // By default the kernel would buffer megabytes for a slow reader.
        let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
        let socket = stream.clone();
        let stream = FirstBytesStream::new(stream, header_timeout_ms);
        let handler = self.handler.clone();
        let guarded = entry.as_ref().map(|entry| entry.handler(handler.clone()));
        let service = service_fn(move |request| {
            let response: ResponseFuture = match &guarded {
                Some(guarded) => Box::pin(guarded.respond(request)),
                None => handler(request),
            };
            async move { Ok::<_, Infallible>(response.await) }
        });
        let builder = self.builder();
        let mut connection =
            pin!(builder.serve_connection(FuturesIo::new(BoundedStream::new(stream)), service));
        let stopped = async {
            let _ = self.stop.recv().await;
            ConnectionStep::Stopped
        };
        let running = async {
            let _ = connection.as_mut().await;
            ConnectionStep::Ended
        };
        let step = future::or(running, future::or(stopped, close_requested(entry.as_ref()))).await;
        match step {
            ConnectionStep::Ended | ConnectionStep::CloseNow => {}
            ConnectionStep::Stopped | ConnectionStep::CloseAfterWrites => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
        if let Some(entry) = &entry
            && step == ConnectionStep::Ended
        {
            entry.linger(socket).await;
        }
        let _ = self.slot_receiver.try_recv();
        drop(self.slot_sender);
    }

    fn builder(&self) -> auto::Builder<SmolExecutor<Arc<async_executor::Executor<'static>>>> {
        let mut builder = auto::Builder::new(SmolExecutor::new(self.spawner.executor()));
        builder
            .http1()
            .timer(SmolTimer::new())
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .header_read_timeout(Duration::from_millis(self.limits.header_timeout_ms));
        builder
            .http2()
            .timer(SmolTimer::new())
            .initial_connection_window_size(HTTP2_WINDOW_BYTES)
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .max_concurrent_streams(self.limits.max_streams)
            .keep_alive_interval(Duration::from_millis(self.limits.write_stall_ms))
            .keep_alive_timeout(Duration::from_millis(self.limits.header_timeout_ms));
        builder
    }
}

/// What a connection's task does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionStep {
    /// The connection has ended.
    Ended,
    /// The server stops.
    Stopped,
    /// Another connection needs its place, and no answer is owed on it.
    CloseNow,
    /// Another connection needs its place.
    CloseAfterWrites,
}

async fn close_requested(entry: Option<&Entry>) -> ConnectionStep {
    let Some(entry) = entry else { return future::pending().await };
    loop {
        match entry.close_requested().await {
            CloseRequest::Now => return ConnectionStep::CloseNow,
            CloseRequest::AfterWrites => return ConnectionStep::CloseAfterWrites,
            CloseRequest::Cancelled => {}
        }
    }
}
