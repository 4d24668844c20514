//! Tokens on their way to a caller, in the shape of completion APIs.

use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::Model;
use comfreymast_net::{Body, BodyError, channel, full};
use comfreymast_wire::engine::{Finish, Token};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde::Serialize;

use super::answer::{ErrorBody, Outcome, set_outcome};
use super::ask::Ask;
use super::call_error::CallError;
use super::caller::Caller;
use crate::burn::{RequestRecord, StreamRecord};
use crate::claims::Permit;
use crate::daemon::Daemon;
use crate::upstream::{EngineStream, StreamError};

/// Chunks that may wait for a slow reader; beyond them the engine's stream is not read.
const READER_CAPACITY: usize = 64;
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
    ask: &Ask,
    mut tokens: EngineStream,
    claim: Permit,
    mut record: StreamRecord,
) -> Response<Body> {
    let (sender, body) = channel(READER_CAPACITY);
    let model = ask.work.model.clone();
    let daemon = daemon.clone();
    let permit = caller.permit.clone();
    daemon.spawner.clone().detach(async move {
        loop {
            let token = match tokens.next().await {
                Ok(token) => token,
                Err(error) => {
                    record.lost();
                    let _ = sender.send(Ok(error_event(&error))).await;
                    let _ = sender.send(Err(BodyError::Cut)).await;
                    return;
                }
            };
            daemon.metrics.tokens.inc();
            permit.charge_tokens(1, daemon.clock.now_ms());
            if token.finish.is_none() {
                record.token();
            }
            // A reader that has gone ends the relay.
            if sender.send(Ok(token_event(&model, &token))).await.is_err() {
                return;
            }
            if token.finish.is_some() {
                claim.done();
                record.whole();
                let _ = sender.send(Ok(Bytes::from_static(DONE))).await;
                return;
            }
        }
    });
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Answers with the whole text at once.
pub(crate) async fn collect(
    daemon: Arc<Daemon>,
    caller: Caller,
    ask: Ask,
    mut tokens: EngineStream,
    claim: Permit,
    record: RequestRecord,
) -> Result<Response<Body>, CallError> {
    let mut text = String::new();
    loop {
        let token = tokens.next().await.map_err(|_| CallError::OutcomeUnknown)?;
        daemon.metrics.tokens.inc();
        caller.permit.charge_tokens(1, daemon.clock.now_ms());
        text.push_str(&token.text);
        if token.finish.is_some() {
            let whole = Token { text: Arc::from(text), ..token };
            let body = serde_json::to_vec(&chunk(&ask.work.model, &whole)).unwrap_or_default();
            let mut response = Response::new(Bytes::from(body));
            let kind = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            claim.answered(&response);
            let mut response = response.map(full);
            set_outcome(&mut response, Outcome::Done);
            record.whole();
            return Ok(response);
        }
    }
}

fn token_event(model: &Model, token: &Token) -> Bytes {
    let json = serde_json::to_string(&chunk(model, token)).unwrap_or_default();
    Bytes::from(format!("id: {}-{}\ndata: {json}\n\n", token.generation, token.index))
}

fn error_event(error: &StreamError) -> Bytes {
    log::debug!("a stream ended early: {error}");
    let body = ErrorBody::new(&CallError::OutcomeUnknown);
    let json = serde_json::to_string(&body).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
