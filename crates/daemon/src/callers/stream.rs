//! Sends tokens to a caller, in the format of completion APIs.

use std::pin::pin;
use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use comfreymast_base::Model;
use comfreymast_net::{Body, BodyError, IdleTimeout, channel, full, within};
use comfreymast_wire::engine::{Finish, Token};
use futures_lite::future;
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde::Serialize;

use super::answer::{ErrorBody, Outcome, set_outcome};
use super::call_error::CallError;
use super::caller::Caller;
use super::generation::Generation;
use crate::burn::{RequestRecord, StreamRecord};
use crate::daemon::Daemon;
use crate::events;
use crate::limits::LimitPermit;

/// Chunks buffered for a slow reader; while the buffer is full, the engine's stream is not read.
const READER_CAPACITY: usize = 64;
const KEEPALIVE: &[u8] = b": keepalive\n\n";
const DONE: &[u8] = b"data: [DONE]\n\n";

#[derive(Serialize)]
struct CompletionChunk<'a> {
    id: String,
    object: &'static str,
    model: &'a Model,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'static str>,
}

fn chunk<'a>(model: &'a Model, token: &'a Token) -> CompletionChunk<'a> {
    let finish_reason = token.finish.map(Finish::as_str);
    CompletionChunk {
        id: format!("cmpl-{}", token.generation),
        object: "text_completion",
        model,
        choices: [Choice { index: 0, text: &token.text, finish_reason }],
    }
}

/// Answers with server-sent events, one for each token.
pub(crate) fn relay(
    daemon: &Arc<Daemon>,
    caller: &Caller,
    generation: Generation,
    record: StreamRecord,
) -> Response<Body> {
    let (sender, body) = channel(READER_CAPACITY);
    let permit = caller.permit.clone();
    let idle = IdleTimeout::new(&daemon.clock, daemon.settings.keepalive_ms);
    let relay = Relay { daemon: daemon.clone(), generation, permit, record, sender, idle };
    daemon.spawner.detach(relay.run());
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Answers with the whole text in one response.
pub(crate) async fn collect(
    daemon: Arc<Daemon>,
    caller: Caller,
    mut generation: Generation,
    record: RequestRecord,
) -> Result<Response<Body>, CallError> {
    let mut text = String::new();
    loop {
        let handed_over = async {
            daemon.handed_over().await;
            Err(CallError::HandedOver)
        };
        let next = async { generation.next().await.map_err(CallError::from) };
        let token = future::or(handed_over, next).await?;
        daemon.metrics.tokens.inc();
        caller.permit.charge_tokens(1, daemon.clock.now_ms());
        text.push_str(&token.text);
        if token.finish.is_some() {
            let full_token = Token { text: Arc::from(text), ..token };
            let body =
                serde_json::to_vec(&chunk(generation.model(), &full_token)).unwrap_or_default();
            let mut response = Response::new(Bytes::from(body));
            let kind = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            generation.claim().complete_with(&response);
            let mut response = response.map(full);
            set_outcome(&mut response, Outcome::Done);
            record.whole();
            return Ok(response);
        }
    }
}

/// Relays the tokens of one generation to one reader.
struct Relay {
    daemon: Arc<Daemon>,
    generation: Generation,
    permit: Arc<LimitPermit>,
    record: StreamRecord,
    sender: Sender<Result<Bytes, BodyError>>,
    idle: IdleTimeout,
}

/// Why a relay stopped before the end of the generation.
enum RelayEnd {
    /// The reader has disconnected or does not read, so no error is sent.
    ReaderGone,
    /// The stream failed; the error is sent to the reader.
    Failed(CallError),
}

impl Relay {
    async fn run(mut self) {
        match self.relay().await {
            Ok(()) => self.record.whole(),
            Err(RelayEnd::ReaderGone) => {}
            Err(RelayEnd::Failed(error)) => {
                if matches!(error, CallError::GenerationLost { .. }) {
                    self.record.lost();
                }
                let _ = send(&self.daemon, &self.sender, error_event(&error)).await;
            }
        }
    }

    async fn relay(&mut self) -> Result<(), RelayEnd> {
        loop {
            let token = self.next().await?;
            self.daemon.metrics.tokens.inc();
            self.permit.charge_tokens(1, self.daemon.clock.now_ms());
            if token.finish.is_none() {
                self.record.token();
            }
            let cursor = self.daemon.cursors.seal(&self.generation.cursor());
            let event = token_event(self.generation.model(), &token, &cursor);
            send(&self.daemon, &self.sender, event).await?;
            if token.finish.is_some() {
                self.generation.claim().complete();
                return send(&self.daemon, &self.sender, Bytes::from_static(DONE)).await;
            }
        }
    }

    /// The next token. Sends keepalive comments meanwhile, so that a lost reader is noticed.
    async fn next(&mut self) -> Result<Token, RelayEnd> {
        let Self { daemon, generation, sender, idle, .. } = self;
        let mut next = pin!(generation.next());
        loop {
            let reader_gone = async {
                sender.closed().await;
                Err(RelayEnd::ReaderGone)
            };
            let handed_over = async {
                daemon.handed_over().await;
                Err(RelayEnd::Failed(CallError::HandedOver))
            };
            let token = async {
                let token = next.as_mut().await;
                token.map_err(|error| RelayEnd::Failed(error.into()))
            };
            // The reader is checked first: a daemon that was suspended must not continue for a
            // reader who has disconnected.
            let ending = future::or(reader_gone, handed_over);
            match idle.within(future::or(ending, token)).await {
                Ok(token) => return token,
                Err(_) => send(daemon, sender, Bytes::from_static(KEEPALIVE)).await?,
            }
        }
    }
}

/// Sends an event, waiting up to `reader_stall_ms` for a reader whose buffer is full.
async fn send(
    daemon: &Daemon,
    sender: &Sender<Result<Bytes, BodyError>>,
    event: Bytes,
) -> Result<(), RelayEnd> {
    let limit_ms = daemon.settings.reader_stall_ms;
    match within(limit_ms, sender.send(Ok(event))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(RelayEnd::ReaderGone),
        Err(elapsed) => {
            events::READER_STALLED.log(format_args!("{elapsed}"));
            Err(RelayEnd::ReaderGone)
        }
    }
}

fn token_event(model: &Model, token: &Token, cursor: &str) -> Bytes {
    let json = serde_json::to_string(&chunk(model, token)).unwrap_or_default();
    Bytes::from(format!("id: {cursor}\ndata: {json}\n\n"))
}

fn error_event(error: &CallError) -> Bytes {
    let body = ErrorBody::new(error);
    let json = serde_json::to_string(&body).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
