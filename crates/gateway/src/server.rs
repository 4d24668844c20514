use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_net::{TcpListener, TcpStream};
use comfreymast_net::{
    BoundedStream, CloseRequest, Connections, Entry, Handler, Spawner, enable_keepalive,
    limit_receive_buffer, sleep_ms,
};
use futures_lite::future;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

const ACCEPT_PAUSE_MS: u64 = 20;
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Limits on an incoming connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// The maximum size of a request head.
    pub(crate) max_head_bytes: usize,
    /// How long a request head may take to arrive, including the idle time before it.
    pub(crate) head_timeout_ms: u64,
}

/// An HTTP/1.1 server on one address.
#[derive(Clone)]
pub(crate) struct Server {
    spawner: Spawner,
    handler: Handler,
    limits: Arc<dyn Fn() -> ConnectionLimits + Send + Sync>,
    stop: Receiver<()>,
    connections: Arc<Connections>,
    open_connections: Arc<AtomicUsize>,
}

impl Server {
    /// A server that reads the limits of a connection when it opens, and keeps `connections` within their
    /// number. Closing `stop` ends it.
    pub(crate) fn new(
        spawner: Spawner,
        handler: Handler,
        limits: impl Fn() -> ConnectionLimits + Send + Sync + 'static,
        connections: Arc<Connections>,
        stop: Receiver<()>,
    ) -> Self {
        let limits = Arc::new(limits);
        Self { spawner, handler, limits, stop, connections, open_connections: Arc::default() }
    }

    /// Serves connections until `stop` closes, then finishes the requests in flight.
    pub(crate) async fn run(self, listener: TcpListener) {
        if let Err(error) = limit_receive_buffer(&listener) {
            log::debug!("cannot set socket options: {error}");
        }
        while let Some(accepted) = self.accept(&listener).await {
            match accepted {
                Ok((stream, _)) => self.start(stream),
                Err(error) => {
                    log::warn!(target: "comfreymast", error:%; "accept failed");
                    sleep_ms(ACCEPT_PAUSE_MS).await;
                }
            }
        }
        // Connections still in the kernel's accept queue may have sent their requests already.
        while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
            self.start(stream);
        }
        drop(listener);
        sleep_ms(ACCEPT_PAUSE_MS).await;
        while self.open_connections.load(Ordering::Acquire) > 0 {
            sleep_ms(ACCEPT_PAUSE_MS).await;
        }
    }

    async fn accept(
        &self,
        listener: &TcpListener,
    ) -> Option<std::io::Result<(TcpStream, std::net::SocketAddr)>> {
        let stopped = async {
            let _ = self.stop.recv().await;
            None
        };
        future::or(async { Some(listener.accept().await) }, stopped).await
    }

    /// Serves a connection, or closes it if no other gives way to it.
    fn start(&self, stream: TcpStream) {
        if let Some(entry) = self.connections.open() {
            self.spawner.detach(self.clone().serve(stream, entry));
        }
    }

    async fn serve(self, stream: TcpStream, entry: Entry) {
        let _open = OpenConnection::new(&self.open_connections);
        if let Err(error) = enable_keepalive(&stream) {
            log::debug!("cannot set socket options: {error}");
        }
        let limits = (self.limits)();
        let socket = stream.clone();
        let handler = entry.handler(self.handler.clone());
        let service = service_fn(move |request| {
            let response = handler.respond(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(SmolTimer::new())
            .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
            .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
        let mut connection =
            pin!(builder.serve_connection(FuturesIo::new(BoundedStream::new(stream)), service));
        let running = async {
            let _ = connection.as_mut().await;
            Step::Ended
        };
        let stopped = async {
            let _ = self.stop.recv().await;
            Step::Finish
        };
        match future::or(running, future::or(stopped, close_requested(&entry))).await {
            Step::Ended => entry.linger(socket).await,
            Step::CloseNow => {}
            Step::Finish => {
                connection.as_mut().graceful_shutdown();
                if let Err(error) = connection.await {
                    log::debug!("connection failed: {error}");
                }
            }
        }
    }
}

/// What a connection's task does next.
enum Step {
    /// The connection has ended.
    Ended,
    /// Another connection needs its place, and no answer is owed on it.
    CloseNow,
    /// It ends once its requests have been answered.
    Finish,
}

async fn close_requested(entry: &Entry) -> Step {
    loop {
        match entry.close_requested().await {
            CloseRequest::Now => return Step::CloseNow,
            CloseRequest::AfterWrites => return Step::Finish,
            CloseRequest::Cancelled => {}
        }
    }
}

struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::AcqRel);
        Self(open_connections.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
