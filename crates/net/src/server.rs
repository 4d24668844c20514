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

use crate::guarded::GuardedStream;
use crate::{Body, Spawner, sleep_ms};

type Answering = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Answers one request. Every failure is an answer, so this cannot fail.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> Answering + Send + Sync>;

/// Wraps an async function as a [`Handler`].
pub fn handler<F>(answer: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static) -> Handler
where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    Arc::new(move |request| Box::pin(answer(request)))
}

/// Bounds on what a connection may take.
#[derive(Clone, Debug)]
pub struct ServeLimits {
    /// How long the head of a request may take to arrive, and an HTTP/1.1 connection be idle.
    pub header_timeout_ms: u64,
    /// How long the other side may leave data unread or unacknowledged.
    pub write_stall_ms: u64,
    /// How many streams one HTTP/2 connection may have open.
    pub max_streams: u32,
    /// How many connections may be open; more wait in the kernel's accept queue.
    pub max_connections: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout_ms: 10_000,
            write_stall_ms: 30_000,
            max_streams: 256,
            max_connections: 10_000,
        }
    }
}

/// Bytes that the kernel keeps for the other side of a connection to read.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves connections until `stop` closes, then finishes those in flight and returns.
///
/// A closing server takes the connections that already wait and no others, tells open ones to
/// finish, and waits for their requests.
pub async fn serve(
    spawner: Spawner,
    listener: TcpListener,
    handler: Handler,
    limits: ServeLimits,
    stop: Receiver<()>,
) {
    let (open, all_closed) = async_channel::bounded::<()>(limits.max_connections);
    let server = Served { spawner, handler, limits, stop, open, slot: all_closed.clone() };
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            let _ = server.stop.recv().await;
            None
        });
        match accepted.await {
            None => break,
            Some(Ok((stream, _))) => server.take(stream).await,
            Some(Err(error)) => {
                log::debug!("accept failed: {error}");
                sleep_ms(ACCEPT_PAUSE_MS).await;
            }
        }
    }
    // Callers whose connections wait in the kernel's queue have already sent their requests.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        server.take(stream).await;
    }
    drop(listener);
    while !all_closed.is_empty() {
        sleep_ms(ACCEPT_PAUSE_MS).await;
    }
}

/// What every connection of a server shares. An open one holds a message in the channel of open
/// connections.
#[derive(Clone)]
struct Served {
    spawner: Spawner,
    handler: Handler,
    limits: ServeLimits,
    stop: Receiver<()>,
    open: Sender<()>,
    slot: Receiver<()>,
}

impl Served {
    /// Serves one more connection, as soon as there are few enough.
    async fn take(&self, stream: TcpStream) {
        if self.open.send(()).await.is_ok() {
            self.spawner.detach(self.clone().run(stream));
        }
    }

    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let ServeLimits { header_timeout_ms, write_stall_ms, .. } = self.limits;
        // Ends a connection whose other side is gone without a word, or reads nothing.
        let unacknowledged_ms = u32::try_from(write_stall_ms).unwrap_or(u32::MAX);
        let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms);
        // The kernel would let a slow reader hold megabytes.
        let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
        let stream = GuardedStream::new(stream, header_timeout_ms);
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let answering = handler(request);
            async move { Ok::<_, Infallible>(answering.await) }
        });
        let builder = self.builder();
        let mut connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
        let ended = future::or(async { Some(connection.as_mut().await) }, async {
            let _ = self.stop.recv().await;
            None
        })
        .await;
        if ended.is_none() {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
        let _ = self.slot.try_recv();
        drop(self.open);
    }

    fn builder(&self) -> auto::Builder<SmolExecutor<Arc<async_executor::Executor<'static>>>> {
        let mut builder = auto::Builder::new(SmolExecutor::new(self.spawner.executor()));
        builder
            .http1()
            .timer(SmolTimer::new())
            .header_read_timeout(Duration::from_millis(self.limits.header_timeout_ms));
        builder
            .http2()
            .timer(SmolTimer::new())
            .max_concurrent_streams(self.limits.max_streams)
            .keep_alive_interval(Duration::from_millis(self.limits.write_stall_ms))
            .keep_alive_timeout(Duration::from_millis(self.limits.header_timeout_ms));
        builder
    }
}
