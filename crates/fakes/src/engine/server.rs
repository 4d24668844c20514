//! The HTTP server around a [`Batch`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_base::{Clock, GenerationId};
use comfreymast_net::{Body, BodyError, Handler, Spawner, channel, collect, handler, sleep_ms};
use comfreymast_wire::engine::{Finish, Load, StartGeneration, Token};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::batch::{Batch, EngineOptions, Job};
use super::text;
use crate::history::{Event, History};
use crate::log_service::parse_query_number;
use crate::reply;

const MAX_REQUEST_BYTES: usize = 32 * 1024 * 1024;
const READER_CAPACITY: usize = 256;
const IDLE_POLL_MS: u64 = 1;
/// The mark of tokens sent by [`EngineFaults::cross_tokens`].
const CROSSED_MARK: &str = "crossed";
const CRASH_EXIT_CODE: i32 = 70;

/// Faults to inject from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Refuses new generations with 503 before they run.
    pub refuse: bool,
    /// Stops sending on the streams that are open now, without closing them; new ones work.
    pub silence_open_streams: bool,
    /// Closes the streams that are open now; their generations continue.
    pub close_streams: bool,
    /// Drops every generation.
    pub forget_generations: bool,
    /// Stops generating tokens.
    pub stall: bool,
    /// How many of the next tokens are replaced by tokens of another generation.
    pub cross_tokens: u32,
    /// How many of the next tokens are sent twice.
    pub repeat_tokens: u32,
    /// Age of the load report that `GET /load` returns.
    pub load_lag_ms: u64,
}

/// Options fixed at the start of the server.
#[derive(Clone, Debug, Default)]
pub struct ServerOptions {
    /// The capacity and speed of the batch.
    pub engine: EngineOptions,
    /// Accepts requests with an outdated fence.
    pub ignore_fences: bool,
    /// How long a generation continues without a reader.
    pub linger_ms: u64,
}

struct Running {
    fence: u64,
    mark: Arc<str>,
    finish: Finish,
    tokens: Vec<Arc<str>>,
    ended: bool,
    readers: Vec<Sender<Result<Bytes, BodyError>>>,
    /// When the last reader was gone; `None` while there is one.
    no_reader_since_ms: Option<u64>,
}

struct State {
    batch: Batch,
    generations: HashMap<GenerationId, Running>,
    faults: EngineFaults,
    /// The senders of silenced streams, held so that the streams stay open.
    silenced: Vec<Sender<Result<Bytes, BodyError>>>,
    /// Load reports with their times, for [`EngineFaults::load_lag_ms`].
    reports: Vec<(u64, Load)>,
    /// How many marks were assigned.
    marks: u64,
}

/// An engine. Clones share the same batch.
#[derive(Clone)]
pub struct Engine {
    name: Arc<str>,
    clock: Clock,
    options: ServerOptions,
    history: History,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// An engine named `name` that records its generations in `history`.
    #[must_use]
    pub fn new(name: &str, options: ServerOptions, history: History) -> Self {
        let state = State {
            batch: Batch::new(options.engine.clone()),
            generations: HashMap::new(),
            faults: EngineFaults::default(),
            silenced: Vec::new(),
            reports: Vec::new(),
            marks: 0,
        };
        Self {
            name: Arc::from(name),
            clock: Clock::system(),
            options,
            history,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The handler that serves its requests.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let engine = self.clone();
        handler(move |request| engine.clone().answer(request))
    }

    /// Runs the batch until `stop` closes.
    pub fn run(&self, spawner: &Spawner, stop: Receiver<()>) {
        let engine = self.clone();
        spawner.detach(async move {
            let mut due_us = 0;
            while !stop.is_closed() {
                let duration_us = engine.step();
                due_us += duration_us;
                // Sleeps whole milliseconds and carries the remainder over to the next step.
                sleep_ms((due_us / 1_000).max(u64::from(duration_us == 0) * IDLE_POLL_MS)).await;
                due_us %= 1_000;
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // ------------------------------------------------------------------------------------------
    // Requests

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/v1/completions") => self.start(request).await,
            (Method::GET, "/load") => self.load(),
            (Method::POST, "/faults") => self.set_faults(request).await,
            (method, path) => self.answer_for_generation(&method, path, &query),
        }
    }

    fn answer_for_generation(&self, method: &Method, path: &str, query: &str) -> Response<Body> {
        let rest = path.strip_prefix("/v1/generations/").unwrap_or_default();
        let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
        let Ok(id) = id.parse() else { return reply::status(StatusCode::NOT_FOUND) };
        let fence = parse_query_number(query, "fence").unwrap_or(0);
        match (method, action) {
            (&Method::GET, "") => {
                self.attach(id, fence, parse_query_number(query, "from").unwrap_or(0))
            }
            (&Method::POST, "cancel") => self.cancel(id, fence),
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn start(&self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), MAX_REQUEST_BYTES).await.unwrap_or_default();
        let Ok(start) = serde_json::from_slice::<StartGeneration>(&body) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        if state.faults.refuse {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let known_fence = state.generations.get(&start.generation).map(|running| running.fence);
        if known_fence.is_some_and(|known| known >= start.fence) && !self.options.ignore_fences {
            return reply::status(StatusCode::CONFLICT);
        }
        let mark = self.mark(&mut state, &start);
        self.history.record(Event::GenerationStart {
            generation: start.generation,
            fence: start.fence,
            prompt: start.prompt.clone(),
            resume_tokens: u32::try_from(start.resume.len()).unwrap_or(u32::MAX),
            mark: mark.clone(),
        });
        if text::crashes(&start.prompt) {
            log::warn!("engine {} crashes on request", self.name);
            std::process::exit(CRASH_EXIT_CODE);
        }
        state.batch.cancel(start.generation);
        let (reader, body) = channel(READER_CAPACITY);
        start_generation(&mut state, start, mark, reader);
        event_stream(body)
    }

    /// The mark of the tokens that are continued, or a new one.
    fn mark(&self, state: &mut State, start: &StartGeneration) -> Arc<str> {
        state.marks += 1;
        let continued = start.resume.first().and_then(|token| text::mark(token));
        continued.map_or_else(|| format!("{}x{}", self.name, state.marks).into(), Arc::from)
    }

    fn attach(&self, id: GenerationId, fence: u64, from: u64) -> Response<Body> {
        let mut state = self.state();
        let Some(running) = state.generations.get_mut(&id) else {
            return reply::status(StatusCode::NOT_FOUND);
        };
        if running.fence > fence && !self.options.ignore_fences {
            return reply::status(StatusCode::CONFLICT);
        }
        running.fence = running.fence.max(fence);
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        if from > running.tokens.len() {
            return reply::status(StatusCode::RANGE_NOT_SATISFIABLE);
        }
        let backlog = running.tokens.len() - from;
        let (reader, body) = channel(READER_CAPACITY + backlog + 1);
        for (token, index) in running.tokens.iter().zip(0..).skip(from) {
            let _ = reader.try_send(Ok(running.event(id, index, token.clone(), None)));
        }
        running.readers.clear();
        running.readers.push(reader);
        running.no_reader_since_ms = None;
        if running.ended {
            running.publish_end(id);
        }
        event_stream(body)
    }

    fn cancel(&self, id: GenerationId, fence: u64) -> Response<Body> {
        let mut state = self.state();
        let Some(running) = state.generations.get(&id) else {
            return reply::status(StatusCode::NOT_FOUND);
        };
        if running.fence > fence && !self.options.ignore_fences {
            return reply::status(StatusCode::CONFLICT);
        }
        self.drop_generation(&mut state, id);
        reply::status(StatusCode::NO_CONTENT)
    }

    fn load(&self) -> Response<Body> {
        let state = self.state();
        let as_of_ms = self.clock.now_ms().saturating_sub(state.faults.load_lag_ms);
        let report = state.reports.iter().rev().find(|(at_ms, _)| *at_ms <= as_of_ms);
        reply::json_value(&report.map(|(_, load)| load.clone()).unwrap_or_default())
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), MAX_REQUEST_BYTES).await.unwrap_or_default();
        let Ok(faults) = serde_json::from_slice::<EngineFaults>(&body) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        let state = &mut *state;
        if faults.silence_open_streams {
            for running in state.generations.values_mut() {
                state.silenced.append(&mut running.readers);
            }
        }
        if faults.close_streams {
            state.generations.values_mut().for_each(|running| running.readers.clear());
        }
        if faults.forget_generations {
            let known: Vec<_> = state.generations.keys().copied().collect();
            known.into_iter().for_each(|id| self.drop_generation(state, id));
        }
        state.faults = faults;
        reply::status(StatusCode::NO_CONTENT)
    }

    // ------------------------------------------------------------------------------------------
    // Batch

    /// Runs one step and returns its duration in microseconds; 0 when there was nothing to do.
    fn step(&self) -> u64 {
        const MAX_REPORTS: usize = 4_096;
        let mut state = self.state();
        let now_ms = self.clock.now_ms();
        let load = state.batch.load();
        if state.reports.last().is_none_or(|(at_ms, _)| *at_ms < now_ms) {
            state.reports.push((now_ms, load));
        }
        if state.reports.len() > MAX_REPORTS {
            state.reports.drain(..MAX_REPORTS / 2);
        }
        self.expire_without_reader(&mut state, now_ms);
        if state.faults.stall || state.batch.is_idle() {
            return 0;
        }
        let step = state.batch.step();
        for (id, index) in step.produced {
            self.publish(&mut state, id, index);
        }
        for id in step.finished {
            if let Some(running) = state.generations.get_mut(&id) {
                running.ended = true;
                let tokens = u32::try_from(running.tokens.len()).unwrap_or(u32::MAX);
                let fence = running.fence;
                // Recorded before it is sent, so that the reader's next event comes later.
                let event = Event::GenerationEnd { generation: id, fence, tokens, whole: true };
                self.history.record(event);
                running.publish_end(id);
            }
        }
        step.duration_us
    }

    fn publish(&self, state: &mut State, id: GenerationId, index: u32) {
        let Some(running) = state.generations.get_mut(&id) else { return };
        let token = text::token(&running.mark, index);
        running.tokens.push(token.clone());
        let mut event = running.event(id, index, token, None);
        if state.faults.cross_tokens > 0 {
            state.faults.cross_tokens -= 1;
            let crossed = text::token(CROSSED_MARK, index);
            event = running.event(GenerationId::random(), index, crossed, None);
        }
        running.send(event.clone());
        if state.faults.repeat_tokens > 0 {
            state.faults.repeat_tokens -= 1;
            running.send(event);
        }
    }

    /// Drops generations that had no reader for `linger_ms`.
    fn expire_without_reader(&self, state: &mut State, now_ms: u64) {
        let mut expired = Vec::new();
        for (id, running) in &mut state.generations {
            running.readers.retain(|reader| !reader.is_closed());
            if !running.readers.is_empty() {
                running.no_reader_since_ms = None;
                continue;
            }
            let since_ms = *running.no_reader_since_ms.get_or_insert(now_ms);
            if now_ms - since_ms >= self.options.linger_ms {
                expired.push(*id);
            }
        }
        for id in expired {
            self.drop_generation(state, id);
        }
    }

    fn drop_generation(&self, state: &mut State, id: GenerationId) {
        state.batch.cancel(id);
        let Some(running) = state.generations.remove(&id) else { return };
        if !running.ended {
            let tokens = u32::try_from(running.tokens.len()).unwrap_or(u32::MAX);
            let fence = running.fence;
            self.history.record(Event::GenerationEnd {
                generation: id,
                fence,
                tokens,
                whole: false,
            });
        }
    }
}

impl Running {
    fn event(&self, id: GenerationId, index: u32, text: Arc<str>, end: Option<Finish>) -> Bytes {
        let token = Token { generation: id, fence: self.fence, index, text, finish: end };
        let json = serde_json::to_string(&token).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }

    fn publish_end(&mut self, id: GenerationId) {
        let index = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        let event = self.event(id, index, Arc::from(""), Some(self.finish));
        self.send(event);
        // Dropping the senders ends the readers' bodies.
        self.readers.clear();
    }

    /// Sends to all readers. Disconnects a reader whose channel is full; it may attach again.
    fn send(&mut self, event: Bytes) {
        self.readers.retain(|reader| reader.try_send(Ok(event.clone())).is_ok());
    }
}

fn start_generation(
    state: &mut State,
    start: StartGeneration,
    mark: Arc<str>,
    reader: Sender<Result<Bytes, BodyError>>,
) {
    let requested_tokens = text::output_tokens(&start.prompt);
    let total_tokens = requested_tokens.min(start.max_tokens).max(1);
    let finish = if requested_tokens > start.max_tokens { Finish::Length } else { Finish::Stop };
    let done_tokens = u32::try_from(start.resume.len()).unwrap_or(u32::MAX);
    let mut running = Running {
        fence: start.fence,
        mark,
        finish,
        tokens: start.resume,
        ended: done_tokens >= total_tokens,
        readers: vec![reader],
        no_reader_since_ms: None,
    };
    if running.ended {
        running.publish_end(start.generation);
    } else {
        state.batch.submit(Job {
            generation: start.generation,
            priority: start.priority,
            prompt_tokens: text::prompt_tokens(&start.prompt),
            prefix: text::prefix(&start.prompt),
            done_tokens,
            total_tokens,
        });
    }
    state.generations.insert(start.generation, running);
}

fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
