use std::pin::Pin;
use std::sync::Arc;

use comfreymast_base::GenerationId;
use comfreymast_net::{
    Body, DialError, Elapsed, IdleTimeout, ReceivedBody, dial, empty, json, request, within,
};
use comfreymast_wire::engine::{StartGeneration, Token};
use derive_more::{Display, Error, From};
use eventsource_stream::{EventStreamError, Eventsource};
use futures_lite::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::{Request, Response, StatusCode};

use crate::daemon::Daemon;
use crate::directory::{Outstanding, UpstreamState};
use crate::events;

const DIAL_LIMIT_MS: u64 = 1_000;

/// Why a generation did not start.
#[derive(Debug, Display, Error)]
pub(crate) enum StartError {
    /// No byte of the request reached the engine, or the engine refused it.
    #[display("the engine did not run it: {reason}")]
    NotRun {
        /// What happened.
        reason: StartFailure,
    },
    /// The engine may be running it.
    #[display("the engine may be running it: {reason}")]
    Unknown {
        /// What happened.
        reason: StartFailure,
    },
}

impl StartError {
    /// True when no byte reached the engine.
    pub(crate) fn is_unsent(&self) -> bool {
        let Self::NotRun { reason: StartFailure::Exchange(error) } = self else { return false };
        error.is_unsent()
    }
}

/// What happened to the request that starts a generation.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StartFailure {
    /// The exchange failed.
    #[display("{_0}")]
    Exchange(DialError),
    /// The engine did not answer in time.
    #[display("{_0}")]
    Silent(Elapsed),
    /// The engine answered with an error status.
    #[display("the engine answered {_0}")]
    #[error(ignore)]
    Status(StatusCode),
}

/// Why a connection could not be attached to a generation that may still run.
#[derive(Debug, Display, Error, From)]
pub(crate) enum AttachError {
    /// The engine does not know the generation.
    #[display("the engine does not know the generation")]
    Gone,
    /// The engine runs an attempt with a higher fence.
    #[display("the engine runs a newer attempt")]
    Superseded,
    /// The engine has fewer tokens than were read: another attempt replaced this one.
    #[display("the engine has restarted the generation")]
    Replaced,
    /// The request to the engine failed.
    #[display("{_0}")]
    Failed(StartFailure),
}

/// Why a stream of tokens ended before the end of its generation.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StreamError {
    /// The connection failed, or an event could not be parsed.
    #[display("{_0}")]
    Events(EventStreamError<hyper::Error>),
    /// An event could not be parsed as a token.
    #[display("an event could not be parsed as a token: {_0}")]
    Json(serde_json::Error),
    /// The engine closed the stream before the end of the generation.
    #[display("the engine closed the stream early")]
    Ended,
    /// No event arrived in time.
    #[display("{_0}")]
    Silent(Elapsed),
    /// A token of a newer attempt arrived: another daemon serves the reader now.
    #[display("the engine runs a newer attempt")]
    Superseded,
    /// A token of another generation, attempt or index arrived.
    #[display("the engine sent a token of another generation, attempt or index")]
    Foreign,
}

type EngineEvents = Pin<
    Box<
        dyn Stream<Item = Result<eventsource_stream::Event, EventStreamError<hyper::Error>>> + Send,
    >,
>;

/// The tokens of one attempt, each checked against generation, fence and index.
///
/// The connection serves only this attempt and closes with it, so a late answer to an abandoned
/// request cannot reach another one.
pub(crate) struct EngineStream {
    events: EngineEvents,
    generation: GenerationId,
    fence: u64,
    next_index: u32,
    idle: IdleTimeout,
    running: Outstanding,
}

impl EngineStream {
    /// Starts a generation on a new connection.
    pub(crate) async fn start(
        daemon: &Daemon,
        engine: &Arc<UpstreamState>,
        start: &StartGeneration,
    ) -> Result<Self, StartError> {
        let running = engine.begin();
        let silence_ms = daemon.settings.silence_ms;
        let request = request(engine.addr, "POST", "/v1/completions", json(start));
        let reply = match exchange(daemon, engine, request).await {
            Ok(reply) => reply,
            Err(StartFailure::Exchange(error)) if error.is_unsent() => {
                return Err(StartError::NotRun { reason: error.into() });
            }
            Err(reason) => return Err(StartError::Unknown { reason }),
        };
        match reply.status() {
            status if status.is_success() => {}
            // An engine sends these statuses before it runs anything.
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                return Err(StartError::NotRun { reason: status.into() });
            }
            status => return Err(StartError::Unknown { reason: status.into() }),
        }
        Ok(Self {
            events: events(reply.into_body()),
            generation: start.generation,
            fence: start.fence,
            next_index: count(&start.resume),
            idle: IdleTimeout::new(&daemon.clock, silence_ms),
            running,
        })
    }

    /// Attaches a new connection to a generation that may still run on `engine`.
    ///
    /// The first token has the index `from`.
    pub(crate) async fn attach(
        daemon: &Daemon,
        engine: &Arc<UpstreamState>,
        generation: GenerationId,
        fence: u64,
        from: u32,
    ) -> Result<Self, AttachError> {
        let running = engine.begin();
        let silence_ms = daemon.settings.silence_ms;
        let path = format!("/v1/generations/{generation}?from={from}&fence={fence}");
        let request = request(engine.addr, "GET", &path, empty());
        let reply = exchange(daemon, engine, request).await?;
        match reply.status() {
            status if status.is_success() => {}
            StatusCode::NOT_FOUND => return Err(AttachError::Gone),
            StatusCode::CONFLICT => return Err(AttachError::Superseded),
            StatusCode::RANGE_NOT_SATISFIABLE => return Err(AttachError::Replaced),
            status => return Err(AttachError::Failed(status.into())),
        }
        let events = events(reply.into_body());
        let idle = IdleTimeout::new(&daemon.clock, silence_ms);
        Ok(Self { events, generation, fence, next_index: from, idle, running })
    }

    /// True if `engine` runs a newer attempt at this generation.
    ///
    /// An engine that ignores fences would let an older attempt replace a newer one, so this is
    /// checked first.
    pub(crate) async fn is_superseded(
        daemon: &Daemon,
        engine: &Arc<UpstreamState>,
        generation: GenerationId,
        fence: u64,
    ) -> bool {
        match Self::attach(daemon, engine, generation, fence, 0).await {
            Ok(mut stream) => matches!(stream.next().await, Err(StreamError::Superseded)),
            Err(error) => matches!(error, AttachError::Superseded),
        }
    }

    /// The next token, or the end of the generation.
    pub(crate) async fn next(&mut self) -> Result<Token, StreamError> {
        let event = self.idle.within(self.events.next()).await?;
        let event = event.ok_or(StreamError::Ended)??;
        let token: Token = serde_json::from_str(&event.data)?;
        let is_expected = token.generation == self.generation
            && token.fence == self.fence
            && token.index == self.next_index;
        if token.generation == self.generation && token.fence > self.fence {
            return Err(StreamError::Superseded);
        }
        if !is_expected {
            let engine = &self.running.upstream().name;
            events::FOREIGN_TOKEN.log(format_args!("{engine}, generation {}", self.generation));
            return Err(StreamError::Foreign);
        }
        self.next_index += u32::from(token.finish.is_none());
        Ok(token)
    }
}

/// Sends a request on a new connection. Only the outcome of this affects the health of the engine;
/// a connection that falls silent later does not.
async fn exchange(
    daemon: &Daemon,
    engine: &UpstreamState,
    request: Request<Body>,
) -> Result<Response<ReceivedBody>, StartFailure> {
    let sent = async {
        let mut connection = dial(&daemon.spawner, engine.addr, DIAL_LIMIT_MS).await?;
        Ok(within(daemon.settings.silence_ms, connection.send(request)).await??)
    };
    let reply = sent.await;
    let now_ms = daemon.clock.now_ms();
    match &reply {
        Ok(_) => engine.live.health.record_success(now_ms),
        Err(_) => engine.live.health.record_failure(now_ms),
    }
    reply
}

fn count(tokens: &[Arc<str>]) -> u32 {
    u32::try_from(tokens.len()).unwrap_or(u32::MAX)
}

fn events(body: ReceivedBody) -> EngineEvents {
    Box::pin(BodyDataStream::new(body).eventsource())
}
