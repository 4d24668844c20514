//! An upstream as the platform runs them: it answers callers' requests, streams generations, and
//! copies them to other upstreams.
//!
//! Headers are spelled here as the platform publishes them, apart from the code under test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_net::TcpListener;
use comfreymast_base::Clock;
use comfreymast_net::{
    Body, BodyError, Handler, ServeLimits, Spawner, channel, collect, full, handler, serve,
    sleep_ms,
};
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Deserialize;

use crate::platform_documents::SIGNED_BY;

const MAX_BODY_BYTES: usize = 1024 * 1024;
const STREAM_CAPACITY: usize = 4;

/// How an upstream behaves, from the next request on.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Refuses requests and says that it did not run them.
    pub refuses: bool,
    /// Runs requests and closes the connection without an answer.
    pub loses_answers: bool,
    /// Runs requests and never answers.
    pub hangs: bool,
    /// The status of its answers.
    pub status: StatusCode,
    /// The events of a generation.
    pub events: u64,
    /// The time between two events.
    pub event_ms: u64,
    /// Breaks off each stream after this event, in the middle of the next.
    pub breaks_after: Option<u64>,
    /// Has no room for copies of generations.
    pub is_full: bool,
    /// Says in its report that it leaves.
    pub is_leaving: bool,
    /// The answers to its next copies are lost, though they are made.
    pub lost_copy_answers: u32,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        Self {
            refuses: false,
            loses_answers: false,
            hangs: false,
            status: StatusCode::OK,
            events: 20,
            event_ms: 5,
            breaks_after: None,
            is_full: false,
            is_leaving: false,
            lost_copy_answers: 0,
        }
    }
}

/// One request that an upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The caller's identifier.
    pub id: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The event after which it went on, for a generation that did.
    pub after_event: Option<u64>,
    /// The copy from which it went on.
    pub origin: Option<String>,
    /// When it began, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// One request that an upstream refused without running it.
#[derive(Clone, Debug)]
pub struct RefusedRun {
    /// The caller's identifier.
    pub id: String,
    /// When it came, in Unix milliseconds.
    pub at_unix_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    behaviour: UpstreamBehaviour,
    runs: Vec<Run>,
    refused: Vec<RefusedRun>,
    /// Generations that run, with the events they have made; `None` once stopped.
    generations: BTreeMap<String, Option<u64>>,
    open_streams: usize,
}

/// An upstream. Clones share its state.
#[derive(Clone, Debug)]
pub struct PlatformUpstream {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl PlatformUpstream {
    /// Starts an upstream on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// What the machine said when the port could not be opened.
    pub async fn start(spawner: &Spawner, name: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let upstream = Self { name: name.into(), addr, state: Arc::default() };
        let (running, stop) = async_channel::bounded::<()>(1);
        let served =
            serve(spawner.clone(), listener, upstream.handler(), ServeLimits::default(), stop);
        spawner.detach(async move {
            served.await;
            drop(running);
        });
        Ok(upstream)
    }

    /// Changes how it behaves.
    pub fn behave(&self, change: impl FnOnce(&mut UpstreamBehaviour)) {
        change(&mut self.state().behaviour);
    }

    /// The requests that it ran, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The requests that it refused, in order; those meant for another upstream are left out.
    #[must_use]
    pub fn refused(&self) -> Vec<RefusedRun> {
        self.state().refused.clone()
    }

    /// The identifiers of the generations that run on it.
    #[must_use]
    pub fn running(&self) -> Vec<String> {
        let state = self.state();
        let running = state.generations.iter().filter(|(_, events)| events.is_some());
        running.map(|(id, _)| id.clone()).collect()
    }

    /// How many streams it is still sending.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.state().open_streams
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handler(&self) -> Handler {
        let upstream = self.clone();
        handler(move |request| upstream.clone().answer(request))
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = collect(body, MAX_BODY_BYTES).await else {
            return answer_with(StatusCode::BAD_REQUEST, full(""));
        };
        match head.uri.path() {
            "/-/kv-move" => self.copy(&body),
            "/-/report" => self.report(),
            _ => self.run(&head.headers, body).await,
        }
    }

    async fn run(self, headers: &HeaderMap, body: Bytes) -> Response<Body> {
        let id = header(headers, "x-attempt-id").unwrap_or_default();
        let behaviour = self.state().behaviour.clone();
        if header(headers, "x-expect-instance").as_deref() != Some(&*self.name) {
            return not_run(StatusCode::MISDIRECTED_REQUEST);
        }
        let now_unix_ms = Clock::system().unix_ms();
        if behaviour.refuses {
            self.state().refused.push(RefusedRun { id, at_unix_ms: now_unix_ms });
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let after_event = header(headers, "last-event-id").and_then(|id| id.parse().ok());
        let origin = header(headers, "kv-from");
        self.state().runs.push(Run {
            id: id.clone(),
            headers: headers.clone(),
            body: body.clone(),
            after_event,
            origin,
            started_unix_ms: now_unix_ms,
        });
        if behaviour.hangs {
            futures_lite::future::pending::<()>().await;
        }
        if behaviour.loses_answers {
            return crate::reply::aborted();
        }
        let is_stream = headers.contains_key("x-token-counts") && behaviour.status.is_success();
        let body = if is_stream {
            self.clone().stream(&id, after_event.unwrap_or(0), behaviour.clone())
        } else {
            full(format!("answer of {}", self.name))
        };
        let mut response = answer_with(behaviour.status, body);
        set(&mut response, "x-attempt-id", &id);
        set(&mut response, "x-server-signature", &format!("{SIGNED_BY}{}", self.name));
        response
    }

    fn stream(self, id: &str, after_event: u64, behaviour: UpstreamBehaviour) -> Body {
        let (events, body) = channel(STREAM_CAPACITY);
        self.state().generations.insert(id.to_owned(), Some(after_event));
        self.state().open_streams += 1;
        let id = id.to_owned();
        // Ends when the reader is gone, since sending fails then.
        std::thread::spawn(move || {
            let sent = async_io::block_on(self.send_events(&id, after_event, &behaviour, &events));
            if sent.is_err() {
                // Waits for its turn, since a stream without this word looks complete. It fails only
                // when the reader is gone.
                let _ = events.send_blocking(Err(BodyError::Aborted));
            }
            self.state().open_streams -= 1;
            self.state().generations.remove(&id);
        });
        body
    }

    async fn send_events(
        &self,
        id: &str,
        after_event: u64,
        behaviour: &UpstreamBehaviour,
        events: &async_channel::Sender<Result<Bytes, BodyError>>,
    ) -> Result<(), BodyError> {
        for event in after_event + 1..=behaviour.events {
            sleep_ms(behaviour.event_ms).await;
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            let is_stopped = match self.state().generations.get_mut(id) {
                Some(Some(made)) => {
                    *made = event;
                    false
                }
                _ => true,
            };
            if is_stopped {
                return Err(BodyError::Aborted);
            }
            if behaviour.breaks_after.is_some_and(|last| event > last) {
                let _ = events.send(Ok(Bytes::from("id: 9"))).await;
                return Err(BodyError::Aborted);
            }
            if events.send(Ok(Bytes::from(text))).await.is_err() {
                return Err(BodyError::Aborted);
            }
        }
        Ok(())
    }

    /// Copies a running generation to another upstream, which takes it at its word here.
    fn copy(&self, body: &Bytes) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<MoveOrder>(body) else {
            return answer_with(StatusCode::BAD_REQUEST, full(""));
        };
        let mut state = self.state();
        let is_full = state.behaviour.is_full;
        let Some(generation) = state.generations.get_mut(&order.id) else {
            return answer_with(StatusCode::NOT_FOUND, full("{}"));
        };
        let Some(events) = *generation else {
            return answer_with(StatusCode::NOT_FOUND, full("{}"));
        };
        if is_full {
            return answer_with(StatusCode::SERVICE_UNAVAILABLE, full("{}"));
        }
        if order.last {
            *generation = None;
        }
        if state.behaviour.lost_copy_answers > 0 {
            state.behaviour.lost_copy_answers -= 1;
            return crate::reply::aborted();
        }
        let reply = format!("{{\"handle\":\"copy-{}\",\"createdRev\":{events}}}", order.id);
        answer_with(StatusCode::OK, full(reply))
    }

    fn report(&self) -> Response<Body> {
        let state = if self.state().behaviour.is_leaving { "draining" } else { "ready" };
        let reply = format!("{{\"state\":\"{state}\",\"leaves_ms\":900}}");
        answer_with(StatusCode::OK, full(reply))
    }
}

#[derive(Deserialize)]
struct MoveOrder {
    id: String,
    #[serde(default)]
    last: bool,
}

fn answer_with(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = answer_with(status, full(""));
    set(&mut response, "x-not-executed", "1");
    response
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn set(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
