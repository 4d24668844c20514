//! An upstream with the platform's interface: it answers requests, streams generations and copies
//! them to other upstreams.
//!
//! Headers are spelled out as the platform specifies them, independently of the code under test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use async_net::TcpListener;
use comfreymast_base::Clock;
use comfreymast_net::{
    Body, BodyError, Handler, ServeLimits, Spawner, channel, collect, full, handler, serve,
    sleep_ms,
};
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode, Version};
use serde::Deserialize;

use crate::platform_documents::{SIGNATURE_PREFIX, shared_parts};

const MAX_BODY_BYTES: usize = 1024 * 1024;
const STREAM_CAPACITY: usize = 4;
const CLOSED_POLL_MS: u64 = 10;

/// An upstream that falls over when it has to turn too many requests away for lack of room, and says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Brittleness {
    /// The number of requests that it runs at once; none waits.
    pub slots: usize,
    /// The number of refusals in a second that it bears.
    pub max_refusals_per_s: usize,
    /// For how long it answers nothing after a fall.
    pub down_ms: u64,
}

/// The behaviour of an upstream. Changes apply from the next request on.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Refuses requests with 503 and `x-not-executed`.
    pub refuses: bool,
    /// Refuses reports about itself too.
    pub refuses_reports: bool,
    /// The value of `retry-after` in its refusals.
    pub retry_after: Option<String>,
    /// Says in all its answers that it is leaving.
    pub says_leaving: bool,
    /// Runs requests and aborts their connections without an answer.
    pub loses_answers: bool,
    /// Runs requests and never answers.
    pub hangs: bool,
    /// The status of its answers.
    pub status: StatusCode,
    /// How long a plain request runs before its answer.
    pub answer_ms: u64,
    /// Number of events of a generation.
    pub events: u64,
    /// Interval between two events.
    pub event_ms: u64,
    /// Aborts streams in the middle of the event after this many.
    pub breaks_after: Option<u64>,
    /// Which streams: one in so many. Each counts from the event with which it starts.
    pub breaks_one_in: u64,
    /// The version of its software, which it writes into each event.
    pub version: String,
    /// Ends each stream in the middle of the event after this one, as if it were complete.
    pub ends_inside_event_after: Option<u64>,
    /// Sends answers without length or chunks, so that only the end of the connection ends them.
    pub is_unframed: bool,
    /// Refuses to copy generations with 503, for lack of room.
    pub is_full: bool,
    /// Stops generations for their last copy, refuses that copy with 503 and keeps it itself. One that it keeps
    /// is copied once this is no longer set.
    pub keeps_last_copy: bool,
    /// How long a copy of a generation takes.
    pub copy_ms: u64,
    /// Reports that it is about to shut down.
    pub is_leaving: bool,
    /// The bodies of requests that end the upstream.
    pub crashes_on: Vec<Bytes>,
    /// The parts of prompts that end the upstream when it begins to write an answer on them.
    pub crashes_on_parts: Vec<String>,
    /// How many events of such an answer are written before the end.
    pub crash_after_events: u64,
    /// The value of the header in all its answers that limits the requests a second it takes.
    pub named_limit: Option<String>,
    /// Set while it is brittle.
    pub brittleness: Option<Brittleness>,
    /// `X-Cold-Ms` of all its answers.
    pub cold_ms: Option<String>,
    /// How many of the next copies are made without their answers arriving.
    pub lost_copy_answers: u32,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        Self {
            refuses: false,
            refuses_reports: false,
            retry_after: None,
            says_leaving: false,
            loses_answers: false,
            hangs: false,
            status: StatusCode::OK,
            answer_ms: 0,
            events: 20,
            event_ms: 5,
            breaks_after: None,
            breaks_one_in: 1,
            version: "v1".to_owned(),
            ends_inside_event_after: None,
            is_unframed: false,
            is_full: false,
            keeps_last_copy: false,
            copy_ms: 0,
            is_leaving: false,
            crashes_on: Vec::new(),
            crashes_on_parts: Vec::new(),
            crash_after_events: 0,
            named_limit: None,
            brittleness: None,
            cold_ms: None,
            lost_copy_answers: 0,
        }
    }
}

/// One request that an upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request id chosen by the caller.
    pub id: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The event after which the generation resumed, if it did.
    pub after_event: Option<u64>,
    /// The handle of the copy from which it resumed.
    pub origin: Option<String>,
    /// Start time in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// One request that an upstream refused without running it.
#[derive(Clone, Debug)]
pub struct RefusedRequest {
    /// The request id chosen by the caller.
    pub id: String,
    /// Arrival time in Unix milliseconds.
    pub at_unix_ms: u64,
}

/// A generation with an open stream.
#[derive(Clone, Copy, Debug)]
struct Generation {
    /// Tells it from an earlier one of the same request.
    number: u64,
    /// Its last event; `None` once it was moved away.
    last_event: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: UpstreamBehaviour,
    runs: Vec<Run>,
    refused: Vec<RefusedRequest>,
    /// Plain requests that it runs now.
    running_plain: usize,
    /// Refusals for lack of room within the last second, in Unix milliseconds.
    recent_refusals_unix_ms: Vec<u64>,
    /// When it fell over, in Unix milliseconds.
    falls_unix_ms: Vec<u64>,
    /// When requests arrived, in Unix milliseconds.
    arrivals_unix_ms: Vec<u64>,
    /// Generations with an open stream, by the request's id.
    generations: BTreeMap<String, Generation>,
    /// The last events of generations that it stopped and keeps.
    kept: BTreeMap<String, u64>,
    /// Copies that it makes now, and the most that it made at once.
    running_copies: usize,
    max_running_copies: usize,
    /// The number of the next generation.
    next_generation: u64,
    open_streams: usize,
    /// The parts that ended it, each with the time in Unix milliseconds.
    part_crashes: Vec<(String, u64)>,
    /// True from a crash until it is started again.
    has_crashed: bool,
}

/// An upstream. Clones share its state.
#[derive(Clone, Debug)]
pub struct PlatformUpstream {
    /// Its name.
    pub name: Arc<str>,
    /// The address it listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    crash_sender: Sender<()>,
    crashes: Receiver<()>,
}

impl PlatformUpstream {
    /// Starts an upstream on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// When the listening socket cannot be opened.
    pub async fn start(spawner: &Spawner, name: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let (crash_sender, crashes) = async_channel::unbounded();
        let state = Arc::default();
        let upstream = Self { name: name.into(), addr, state, crash_sender, crashes };
        let (stop_sender, stop) = async_channel::bounded::<()>(1);
        let served =
            serve(spawner.clone(), listener, upstream.handler(), ServeLimits::default(), stop);
        spawner.detach(async move {
            served.await;
            drop(stop_sender);
        });
        Ok(upstream)
    }

    /// Changes its behaviour.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut UpstreamBehaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Its behaviour.
    #[must_use]
    pub fn behaviour(&self) -> UpstreamBehaviour {
        self.state().behaviour.clone()
    }

    /// Completes when a request of [`UpstreamBehaviour::crashes_on`] begins to run. The request is
    /// never answered; whoever starts the upstream closes its port and connections.
    pub async fn wait_crash(&self) {
        // Never fails, since this upstream holds the sender.
        let _ = self.crashes.recv().await;
    }

    /// Forgets crashes that nobody waited for, as a new start of the process does.
    pub fn forget_crashes(&self) {
        while self.crashes.try_recv().is_ok() {}
        self.state().has_crashed = false;
    }

    /// The parts of prompts that ended it, each with the time in Unix milliseconds.
    #[must_use]
    pub fn part_crashes(&self) -> Vec<(String, u64)> {
        self.state().part_crashes.clone()
    }

    /// The requests that it ran, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The requests that it refused, in order, without those addressed to another upstream.
    #[must_use]
    pub fn refused(&self) -> Vec<RefusedRequest> {
        self.state().refused.clone()
    }

    /// When requests of any kind arrived, in Unix milliseconds, in order.
    #[must_use]
    pub fn arrivals_unix_ms(&self) -> Vec<u64> {
        self.state().arrivals_unix_ms.clone()
    }

    /// The request ids of the generations that are running on it.
    #[must_use]
    pub fn running(&self) -> Vec<String> {
        let state = self.state();
        let running = state.generations.iter().filter(|(_, one)| one.last_event.is_some());
        running.map(|(id, _)| id.clone()).collect()
    }

    /// When it fell over for too many refusals, in Unix milliseconds.
    #[must_use]
    pub fn falls_unix_ms(&self) -> Vec<u64> {
        self.state().falls_unix_ms.clone()
    }

    /// Takes a place of a brittle upstream, or returns its answer to a request that gets none.
    fn take_place(&self, brittleness: Brittleness) -> Result<Place, Box<Response<Body>>> {
        const SECOND_MS: u64 = 1_000;
        let now_unix_ms = Clock::system().unix_ms();
        let mut state = self.state();
        let fell_unix_ms = state.falls_unix_ms.last().copied().unwrap_or(0);
        if now_unix_ms < fell_unix_ms + brittleness.down_ms {
            return Err(Box::new(crate::reply::aborted()));
        }
        if state.running_plain < brittleness.slots {
            state.running_plain += 1;
            return Ok(Place(self.clone()));
        }
        state.recent_refusals_unix_ms.retain(|at| now_unix_ms < at + SECOND_MS);
        state.recent_refusals_unix_ms.push(now_unix_ms);
        if state.recent_refusals_unix_ms.len() > brittleness.max_refusals_per_s {
            state.recent_refusals_unix_ms.clear();
            state.falls_unix_ms.push(now_unix_ms);
        }
        Err(Box::new(not_run(StatusCode::SERVICE_UNAVAILABLE)))
    }

    /// Number of streams it is still sending.
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
        let (named_limit, says_leaving, retry_after, brittleness, cold_ms) = {
            let mut state = self.state();
            state.arrivals_unix_ms.push(Clock::system().unix_ms());
            let behaviour = &state.behaviour;
            let behaviour = behaviour.clone();
            let UpstreamBehaviour { named_limit, says_leaving, retry_after, .. } = behaviour;
            (named_limit, says_leaving, retry_after, behaviour.brittleness, behaviour.cold_ms)
        };
        let mut response = match head.uri.path() {
            "/-/kv-move" => self.copy(&body).await,
            "/-/report" => self.report(),
            _ => {
                let id = header(&head.headers, "x-attempt-id").unwrap_or_default();
                let mut response = self.run(&head.headers, body).await;
                set(&mut response, "x-attempt-id", &id);
                response
            }
        };
        if let Some(cold_ms) = cold_ms {
            set(&mut response, "x-cold-ms", &cold_ms);
        }
        if let Some(limit) = named_limit {
            set(&mut response, "server-limit", &limit);
        }
        if let Some(brittleness) = brittleness {
            set(&mut response, "server-brittle", &brittleness.max_refusals_per_s.to_string());
        }
        if says_leaving {
            set(&mut response, "server-leaving", "1");
        }
        if let Some(seconds) = retry_after
            && response.status() == StatusCode::SERVICE_UNAVAILABLE
        {
            set(&mut response, "retry-after", &seconds);
        }
        response
    }

    async fn run(self, headers: &HeaderMap, body: Bytes) -> Response<Body> {
        let id = header(headers, "x-attempt-id").unwrap_or_default();
        let behaviour = self.state().behaviour.clone();
        if header(headers, "x-expect-instance").as_deref() != Some(&*self.name) {
            return not_run(StatusCode::MISDIRECTED_REQUEST);
        }
        let now_unix_ms = Clock::system().unix_ms();
        if behaviour.refuses {
            self.state().refused.push(RefusedRequest { id, at_unix_ms: now_unix_ms });
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let place = match behaviour.brittleness.map(|brittleness| self.take_place(brittleness)) {
            Some(Err(refusal)) => return *refusal,
            Some(Ok(place)) => Some(place),
            None => None,
        };
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
        if behaviour.crashes_on.contains(&body) {
            // Never fails, since this upstream holds the receiver.
            let _ = self.crash_sender.try_send(());
            futures_lite::future::pending::<()>().await;
        }
        if behaviour.hangs {
            futures_lite::future::pending::<()>().await;
        }
        if behaviour.loses_answers {
            return crate::reply::aborted();
        }
        let is_stream = headers.contains_key("x-token-counts") && behaviour.status.is_success();
        let mut parts = shared_parts(headers).into_iter();
        let crashing_part =
            parts.find(|part| behaviour.crashes_on_parts.iter().any(|bad| bad == part));
        let body = if is_stream {
            let crashing_part = crashing_part.map(str::to_owned);
            let after_event = after_event.unwrap_or(0);
            self.clone().stream(&id, after_event, behaviour.clone(), crashing_part, place)
        } else {
            sleep_ms(behaviour.answer_ms).await;
            full(format!("answer of {}", self.name))
        };
        let mut response = answer_with(behaviour.status, body);
        if behaviour.is_unframed {
            *response.version_mut() = Version::HTTP_10;
        }
        set(&mut response, "x-server-signature", &format!("{SIGNATURE_PREFIX}{}", self.name));
        response
    }

    fn stream(
        self,
        id: &str,
        after_event: u64,
        behaviour: UpstreamBehaviour,
        crashing_part: Option<String>,
        place: Option<Place>,
    ) -> Body {
        let (events, body) = channel(STREAM_CAPACITY);
        let number = self.add_generation(id, after_event);
        let id = id.to_owned();
        // The thread ends when the reader disconnects, since sending then fails.
        std::thread::spawn(move || {
            let sent = async_io::block_on(async {
                if let Some(part) = crashing_part {
                    return self
                        .crash_on(&part, (&id, number), after_event, &behaviour, &events)
                        .await;
                }
                self.send_events((&id, number), after_event, &behaviour, &events).await
            });
            if sent.is_err() {
                // Waits for room in the channel, since without this error the stream looks
                // complete. Sending fails only when the reader has disconnected.
                let _ = events.send_blocking(Err(BodyError::Aborted));
            }
            self.remove_generation(&id, number);
            drop(place);
        });
        body
    }

    /// Writes the first events of an answer, then ends; whoever starts the upstream closes the
    /// connection.
    async fn crash_on(
        &self,
        part: &str,
        generation: (&str, u64),
        after_event: u64,
        behaviour: &UpstreamBehaviour,
        events: &async_channel::Sender<Result<Bytes, BodyError>>,
    ) -> Result<(), BodyError> {
        let written = UpstreamBehaviour {
            events: after_event + behaviour.crash_after_events,
            ..behaviour.clone()
        };
        sleep_ms(behaviour.event_ms).await;
        self.send_events(generation, after_event, &written, events).await?;
        {
            let mut state = self.state();
            if !state.has_crashed {
                state.has_crashed = true;
                state.part_crashes.push((part.to_owned(), Clock::system().unix_ms()));
                // Never fails, since this upstream holds the receiver.
                let _ = self.crash_sender.try_send(());
            }
        }
        while !events.is_closed() {
            sleep_ms(CLOSED_POLL_MS).await;
        }
        Err(BodyError::Aborted)
    }

    fn add_generation(&self, id: &str, after_event: u64) -> u64 {
        let mut state = self.state();
        let number = state.next_generation;
        state.next_generation += 1;
        state.open_streams += 1;
        let generation = Generation { number, last_event: Some(after_event) };
        state.generations.insert(id.to_owned(), generation);
        number
    }

    /// Removes a generation, unless a later one of the same request has taken its place.
    fn remove_generation(&self, id: &str, number: u64) {
        let mut state = self.state();
        state.open_streams -= 1;
        if state.generations.get(id).is_some_and(|known| known.number == number) {
            state.generations.remove(id);
        }
    }

    async fn send_events(
        &self,
        (id, number): (&str, u64),
        after_event: u64,
        behaviour: &UpstreamBehaviour,
        events: &async_channel::Sender<Result<Bytes, BodyError>>,
    ) -> Result<(), BodyError> {
        for event in after_event + 1..=behaviour.events {
            sleep_ms(behaviour.event_ms).await;
            let version = &behaviour.version;
            let text = format!("id: {event}\ndata: {id}-{event} {version}\n\n");
            let was_moved = match self.state().generations.get_mut(id) {
                Some(known) if known.number == number && known.last_event.is_some() => {
                    known.last_event = Some(event);
                    false
                }
                _ => true,
            };
            if was_moved {
                return Err(BodyError::Aborted);
            }
            let breaks = number.is_multiple_of(behaviour.breaks_one_in);
            if breaks && behaviour.breaks_after.is_some_and(|last| event > last) {
                let _ = events.send(Ok(Bytes::from("id: 9"))).await;
                // Without framing, the part of an event shows the break, and an abort could drop it.
                return if behaviour.is_unframed { Ok(()) } else { Err(BodyError::Aborted) };
            }
            if behaviour.ends_inside_event_after.is_some_and(|last| event > last) {
                let _ = events.send(Ok(Bytes::from("id: 9"))).await;
                return Ok(());
            }
            if events.send(Ok(Bytes::from(text))).await.is_err() {
                return Err(BodyError::Aborted);
            }
        }
        Ok(())
    }

    /// The most copies of generations that it made at once.
    #[must_use]
    pub fn max_running_copies(&self) -> usize {
        self.state().max_running_copies
    }

    /// Answers an order to copy a running generation to another upstream, after the time that a copy takes.
    async fn copy(&self, body: &Bytes) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<MoveRequest>(body) else {
            return answer_with(StatusCode::BAD_REQUEST, full(""));
        };
        let copy_ms = {
            let mut state = self.state();
            state.running_copies += 1;
            state.max_running_copies = state.max_running_copies.max(state.running_copies);
            state.behaviour.copy_ms
        };
        sleep_ms(copy_ms).await;
        self.state().running_copies -= 1;
        self.finish_copy(&request)
    }

    /// The answer to a copy. No data is transferred, since [`Self::run`] accepts any handle.
    fn finish_copy(&self, request: &MoveRequest) -> Response<Body> {
        let mut state = self.state();
        let (is_full, keeps) = (state.behaviour.is_full, state.behaviour.keeps_last_copy);
        if let Some(events) = state.kept.get(&request.id) {
            let (status, events) = (if keeps { 503 } else { 200 }, *events);
            let reply = format!("{{\"handle\":\"copy-{}\",\"createdRev\":{events}}}", request.id);
            return answer_with(StatusCode::from_u16(status).unwrap_or_default(), full(reply));
        }
        let Some(generation) = state.generations.get_mut(&request.id) else {
            return answer_with(StatusCode::NOT_FOUND, full("{}"));
        };
        let Some(events) = generation.last_event else {
            return answer_with(StatusCode::NOT_FOUND, full("{}"));
        };
        if is_full {
            return answer_with(StatusCode::SERVICE_UNAVAILABLE, full("{}"));
        }
        if request.last && keeps {
            generation.last_event = None;
            state.kept.insert(request.id.clone(), events);
            let reply = format!("{{\"handle\":\"copy-{}\",\"createdRev\":{events}}}", request.id);
            return answer_with(StatusCode::SERVICE_UNAVAILABLE, full(reply));
        }
        if request.last {
            generation.last_event = None;
        }
        if state.behaviour.lost_copy_answers > 0 {
            state.behaviour.lost_copy_answers -= 1;
            return crate::reply::aborted();
        }
        let reply = format!("{{\"handle\":\"copy-{}\",\"createdRev\":{events}}}", request.id);
        answer_with(StatusCode::OK, full(reply))
    }

    fn report(&self) -> Response<Body> {
        if self.state().behaviour.refuses_reports {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let state = if self.state().behaviour.is_leaving { "draining" } else { "ready" };
        let reply = format!("{{\"state\":\"{state}\",\"leaves_ms\":900}}");
        answer_with(StatusCode::OK, full(reply))
    }
}

/// A place of a brittle upstream, free once it is dropped.
#[derive(Debug)]
struct Place(PlatformUpstream);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.state().running_plain -= 1;
    }
}

#[derive(Deserialize)]
struct MoveRequest {
    id: String,
    #[serde(default)]
    last: bool,
}

fn answer_with(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// A refusal that states that the request did not run.
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
