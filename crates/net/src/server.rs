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
    /// How long the head of a request may take to arrive.
    pub header_timeout_ms: u64,
    /// How many streams one HTTP/2 connection may have open.
    pub max_streams: u32,
    /// How many connections may be open; more wait in the kernel's accept queue.
    pub max_connections: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self { header_timeout_ms: 10_000, max_streams: 256, max_connections: 10_000 }
    }
}

const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves connections until `stop` closes, then finishes those in flight and returns.
///
/// A closing server takes no new connection, tells open ones to finish, and waits for their
/// requests.
pub async fn serve(
    spawner: Spawner,
    listener: TcpListener,
    handler: Handler,
    limits: ServeLimits,
    stop: Receiver<()>,
) {
    let (open, all_closed) = async_channel::bounded::<()>(limits.max_connections);
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            let _ = stop.recv().await;
            None
        });
        match accepted.await {
            None => break,
            Some(Ok((stream, _))) => {
                if open.send(()).await.is_err() {
                    break;
                }
                let connection = Served {
                    spawner: spawner.clone(),
                    handler: handler.clone(),
                    limits: limits.clone(),
                    stop: stop.clone(),
                    open: open.clone(),
                    slot: all_closed.clone(),
                };
                spawner.detach(connection.run(stream));
            }
            Some(Err(error)) => {
                log::debug!("accept failed: {error}");
                sleep_ms(ACCEPT_PAUSE_MS).await;
            }
        }
    }
    drop(listener);
    while !all_closed.is_empty() {
        sleep_ms(ACCEPT_PAUSE_MS).await;
    }
}

/// One accepted connection, which holds one message in the channel of open connections.
struct Served {
    spawner: Spawner,
    handler: Handler,
    limits: ServeLimits,
    stop: Receiver<()>,
    open: Sender<()>,
    slot: Receiver<()>,
}

impl Served {
    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
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
        builder.http2().timer(SmolTimer::new()).max_concurrent_streams(self.limits.max_streams);
        builder
    }
}
