use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use comfreymast_net::{
    DialError, Spawner, call, collect, dial, empty, full, json, request, within,
};
use eventsource_stream::{EventStreamError, Eventsource};
use futures_lite::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use serde_json::{Value, json as value};

use crate::process::ProofError;

const CALL_LIMIT_MS: u64 = 60_000;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A caller that authenticates with one bearer key.
#[derive(Clone, Debug)]
pub struct Client {
    spawner: Spawner,
    key: String,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `comfreymast-outcome` header; empty if the answer has none.
    pub outcome: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    fn new(response: Response<Bytes>) -> Self {
        let (head, body) = response.into_parts();
        let outcome = head.headers.get("comfreymast-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default();
        Self {
            status: head.status.as_u16(),
            outcome: outcome.to_owned(),
            headers: head.headers,
            body,
        }
    }

    /// The body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's name; `message` by default.
    pub name: String,
    /// Its id, which a reader sends as `last-event-id` to resume.
    pub id: String,
    /// Its data.
    pub data: String,
}

impl SseEvent {
    /// The text of the token that the event carries; empty if it carries none.
    #[must_use]
    pub fn text(&self) -> String {
        let chunk: Value = serde_json::from_str(&self.data).unwrap_or(Value::Null);
        chunk["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
    }
}

pub(crate) type Events = Pin<
    Box<
        dyn Stream<Item = Result<eventsource_stream::Event, EventStreamError<hyper::Error>>> + Send,
    >,
>;

/// A stream of server-sent events that is being read.
pub struct Reader {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    events: Events,
}

impl Reader {
    pub(crate) fn new(status: u16, headers: HeaderMap, events: Events) -> Self {
        Self { status, headers, events }
    }

    /// The next event; `None` at the end of the stream, when the connection broke or when no event
    /// came within the time limit of a call.
    pub async fn next(&mut self) -> Option<SseEvent> {
        let event = within(CALL_LIMIT_MS, self.events.next()).await.ok()??.ok()?;
        Some(SseEvent { name: event.event, id: event.id, data: event.data })
    }

    /// The remaining events, up to the end of the stream.
    pub async fn rest(&mut self) -> Vec<SseEvent> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }
}

impl Client {
    /// A caller with this bearer key.
    #[must_use]
    pub fn new(spawner: &Spawner, key: &str) -> Self {
        Self { spawner: spawner.clone(), key: key.to_owned() }
    }

    /// Makes one call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Answer, DialError> {
        let request = self.build_request(addr, method, path, headers, body);
        let response = call(&self.spawner, addr, request, CALL_LIMIT_MS, MAX_BODY_BYTES).await?;
        Ok(Answer::new(response))
    }

    /// Requests a completion that is not streamed.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke.
    pub async fn complete(
        &self,
        addr: SocketAddr,
        model: &str,
        prompt: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<Answer, DialError> {
        let body = value!({ "model": model, "prompt": prompt }).to_string();
        self.call(addr, "POST", "/v1/completions", headers, &body).await
    }

    /// Requests a streamed completion.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke before the answer began.
    pub async fn stream(
        &self,
        addr: SocketAddr,
        model: &str,
        prompt: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<Reader, DialError> {
        let body = value!({ "model": model, "prompt": prompt, "stream": true }).to_string();
        self.open(addr, "POST", "/v1/completions", headers, &body).await
    }

    /// Sends any request and reads its answer as a stream.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke before the answer began.
    pub async fn open(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Reader, DialError> {
        let request = self.build_request(addr, method, path, headers, body);
        let mut connection = dial(&self.spawner, addr, CALL_LIMIT_MS).await?;
        let response = within(CALL_LIMIT_MS, connection.send(request)).await??;
        let (head, body) = response.into_parts();
        let events = Box::pin(BodyDataStream::new(body).eventsource());
        Ok(Reader::new(head.status.as_u16(), head.headers, events))
    }

    fn build_request(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Request<comfreymast_net::Body> {
        let mut request = request(addr, method, path, full(body.to_owned()));
        let authorization = HeaderValue::from_str(&format!("Bearer {}", self.key));
        if let Ok(authorization) = authorization {
            request.headers_mut().insert(AUTHORIZATION, authorization);
        }
        for (name, text) in headers {
            if let Ok(text) = HeaderValue::from_str(text) {
                request.headers_mut().insert(HeaderName::from_static(name), text);
            }
        }
        request
    }
}

/// Sets the faults of a fake.
pub(crate) async fn set_faults(
    spawner: &Spawner,
    addr: SocketAddr,
    faults: &impl serde::Serialize,
) -> Result<(), ProofError> {
    let request = request(addr, "POST", "/faults", json(faults));
    call(spawner, addr, request, CALL_LIMIT_MS, MAX_BODY_BYTES).await?;
    Ok(())
}

/// Reads a page of a fake.
pub(crate) async fn get(spawner: &Spawner, addr: SocketAddr, path: &str) -> Option<Bytes> {
    let mut connection = dial(spawner, addr, CALL_LIMIT_MS).await.ok()?;
    let reply = connection.send(request(addr, "GET", path, empty())).await.ok()?;
    collect(reply.into_body(), MAX_BODY_BYTES).await.ok()
}
