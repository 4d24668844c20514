use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_net::TcpListener;
use bytes::Bytes;
use comfreymast_net::{
    Body, BodyError, Handler, ServeLimits, Spawner, channel, collect, full, handler, json, serve,
    sleep_ms,
};
use comfreymast_wire::engine::{Finish, Load, StartGeneration, Token};
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::failure::Failure;

/// More than any bench requests, so that the daemon admits every request at once.
const MEMORY_TOKENS: u64 = 1_000_000_000;
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
const TOKEN_CHANNEL_CAPACITY: usize = 64;
const MAX_CONNECTIONS: usize = 20_000;

/// An in-process engine: each token carries the time at which it was sent, so that a reader in the
/// same process can measure its latency.
#[derive(Clone, Debug)]
pub(crate) struct PacedEngine {
    spawner: Spawner,
    started: Instant,
    gap_ms: u64,
    /// Dropping the last clone stops the server.
    _stop_sender: Sender<()>,
}

impl PacedEngine {
    /// Listens on a port that the system assigns. With a gap of 0, it sends tokens as fast as the
    /// reader reads them.
    pub(crate) async fn start(
        spawner: &Spawner,
        gap_ms: u64,
    ) -> Result<(Self, SocketAddr), Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (stop_sender, stop) = async_channel::bounded(1);
        let spawner = spawner.clone();
        let engine = Self { spawner, started: Instant::now(), gap_ms, _stop_sender: stop_sender };
        engine.spawner.detach(engine.serve(listener, stop));
        Ok((engine, addr))
    }

    /// Microseconds since the engine started, as tokens carry them.
    pub(crate) fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn serve(&self, listener: TcpListener, stop: Receiver<()>) -> impl Future<Output = ()> + use<> {
        let (spawner, started, gap_ms) = (self.spawner.clone(), self.started, self.gap_ms);
        let limits = ServeLimits { max_connections: MAX_CONNECTIONS, ..ServeLimits::default() };
        let tasks = spawner.clone();
        let handler: Handler =
            handler(move |request| handle_request(tasks.clone(), started, gap_ms, request));
        serve(spawner, listener, handler, limits, stop)
    }
}

async fn handle_request(
    spawner: Spawner,
    started: Instant,
    gap_ms: u64,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() != "/v1/completions" {
        let load = Load { memory_tokens: MEMORY_TOKENS, ..Load::default() };
        return Response::new(json(&load));
    }
    let body = collect(request.into_body(), MAX_REQUEST_BYTES).await.unwrap_or_default();
    let Ok(start) = serde_json::from_slice::<StartGeneration>(&body) else {
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = hyper::StatusCode::BAD_REQUEST;
        return response;
    };
    let (sender, body) = channel(TOKEN_CHANNEL_CAPACITY);
    spawner.detach(generate(sender, start, started, gap_ms));
    Response::new(body)
}

async fn generate(
    sender: Sender<Result<Bytes, BodyError>>,
    start: StartGeneration,
    started: Instant,
    gap_ms: u64,
) {
    for index in 0..=start.max_tokens {
        if index > 0 && gap_ms > 0 {
            sleep_ms(gap_ms).await;
        }
        let token = Token {
            generation: start.generation,
            fence: start.fence,
            index,
            text: Arc::from(started.elapsed().as_micros().to_string()),
            finish: (index == start.max_tokens).then_some(Finish::Length),
        };
        let json = serde_json::to_string(&token).unwrap_or_default();
        let event = Bytes::from(format!("data: {json}\n\n"));
        if sender.send(Ok(event)).await.is_err() {
            return;
        }
    }
}
