//! The platform's log store: topics of records with offsets and limited retention.
//!
//! `POST /-/log-append`, `GET /-/log-read`, `GET /-/log-newest` as the platform publishes them;
//! `POST /faults` and `GET /stats` for tests.

mod topic;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{BufMut, Bytes, BytesMut};
use comfreymast_base::Clock;
use comfreymast_net::{Body, Handler, Query, collect, handler, json, sleep_ms};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::reply;
use topic::{TopicState, split_records};

const MAX_APPEND_BYTES: usize = 32 * 1024 * 1024;
const POLL_MS: u64 = 2;
/// A read reply stops after the record that exceeds this size.
const MAX_READ_BYTES: usize = 8 * 1024 * 1024;
/// Topics with this name prefix also keep the newest record of each key.
const KEYED_PREFIX: &str = "keyed.";

/// Faults to inject from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuses every call with 503.
    pub down: bool,
    /// Accepts calls and never answers them.
    pub hang: bool,
    /// Reads that wait for a record are not woken by it, only by their timeout.
    pub forget_readers: bool,
    /// Delays every append before it takes effect.
    pub append_delay_ms: u64,
    /// Delays every read reply after its records have been selected.
    pub read_delay_ms: u64,
    /// How many of the next appends take effect without their replies arriving.
    pub lose_append_replies: u32,
    /// How many records each topic retains; 0 retains all.
    pub retention_records: usize,
    /// Acknowledges appends to this topic without keeping them; empty for none.
    pub forgotten_topic: String,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Append calls received, whether or not they have taken effect yet.
    pub append_calls: u64,
    /// Append calls that took effect.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Read calls answered.
    pub reads: u64,
}

/// A copy of all topics, from which the store can come back.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: BTreeMap<String, TopicState>,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, TopicState>,
    /// Rises by one each time the store comes back from a copy; named in all answers once it is
    /// above 0.
    era: u64,
    faults: LogFaults,
    stats: LogStats,
}

impl State {
    fn topic(&mut self, name: &str) -> &mut TopicState {
        let is_keyed = name.starts_with(KEYED_PREFIX);
        self.topics.entry(name.to_owned()).or_insert_with(|| TopicState::new(is_keyed))
    }

    fn append(&mut self, name: &str, records: Vec<Bytes>) -> (u64, u64) {
        self.stats.appends += 1;
        self.stats.records += records.len() as u64;
        let retained = self.faults.retention_records;
        let topic = self.topic(name);
        let offset = topic.end();
        topic.append(records);
        topic.expire(retained);
        (offset, topic.end())
    }
}

/// A log store. Clones share the same topics.
#[derive(Clone, Debug, Default)]
pub struct LogService {
    state: Arc<Mutex<State>>,
}

#[derive(Serialize)]
struct AppendReply {
    offset: u64,
    end: u64,
}

#[derive(Serialize)]
struct DeletedReply {
    first: u64,
}

impl LogService {
    /// Creates a store without topics.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The handler that serves its requests.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let service = self.clone();
        handler(move |request| service.clone().answer_with_era(request))
    }

    /// Appends records to a topic at once, without the injected delay or lost replies.
    pub fn append_records(&self, topic: &str, records: Vec<Bytes>) {
        self.state().append(topic, records);
    }

    /// A copy of all topics as they are now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { topics: self.state().topics.clone() }
    }

    /// Names this era in all answers from now on.
    pub fn set_era(&self, era: u64) {
        self.state().era = era;
    }

    /// Comes back from a copy: what was appended since is gone, and offsets are assigned again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state();
        state.topics = copy.topics.clone();
        state.era += 1;
    }

    /// Replaces the injected faults and applies the new retention.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut state = self.state();
        let retained = faults.retention_records;
        state.faults = faults;
        for topic in state.topics.values_mut() {
            topic.expire(retained);
        }
    }

    /// The counts since the start.
    #[must_use]
    pub fn stats(&self) -> LogStats {
        self.state().stats.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer_with_era(self, request: Request<Incoming>) -> Response<Body> {
        // A call that was waiting when the store went away gets no answer.
        let era = self.state().era;
        let mut response = self.clone().answer(request).await;
        if self.state().era != era {
            return reply::aborted();
        }
        if let Ok(era) = era.to_string().parse()
            && self.state().era > 0
        {
            response.headers_mut().insert("store-era", era);
        }
        response
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            return self.set_faults_from(request).await;
        }
        let faults = self.state().faults.clone();
        if faults.hang {
            futures_lite::future::pending::<()>().await;
        }
        if faults.down {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = Query::parse(request.uri().query().unwrap_or_default());
        match (request.method(), path.as_str()) {
            (&Method::POST, "/-/log-append") => self.append(request, &query, &faults).await,
            (&Method::GET, "/-/log-read") => self.read(&query).await,
            (&Method::GET, "/-/log-newest") => self.newest(&query),
            (&Method::GET, "/stats") => reply::json_value(&self.stats()),
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn set_faults_from(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = collect(request.into_body(), MAX_APPEND_BYTES).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set_faults(faults);
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(_) => reply::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn append(
        &self,
        request: Request<Incoming>,
        query: &Query,
        faults: &LogFaults,
    ) -> Response<Body> {
        let body = collect(request.into_body(), MAX_APPEND_BYTES).await;
        let records = body.ok().and_then(split_records);
        let (Some(records), Some(topic)) = (records, query.get("topic")) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        self.state().stats.append_calls += 1;
        sleep_ms(faults.append_delay_ms).await;
        let mut state = self.state();
        let kept = if state.faults.forgotten_topic == topic { Vec::new() } else { records };
        let (offset, end) = state.append(topic, kept);
        if state.faults.lose_append_replies > 0 {
            state.faults.lose_append_replies -= 1;
            return reply::aborted();
        }
        reply::json_value(&AppendReply { offset, end })
    }

    async fn read(&self, query: &Query) -> Response<Body> {
        let (Some(topic), Some(from)) = (query.get("topic"), query_number(query, "from")) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        if let Some(answer) = self.lost_reply(topic, from) {
            return answer;
        }
        self.wait_for_record(topic, from, query_number(query, "waitMs").unwrap_or(0)).await;
        let (answer, delay_ms) = {
            let mut state = self.state();
            state.stats.reads += 1;
            let delay_ms = state.faults.read_delay_ms;
            let topic = state.topic(topic);
            (read_reply(topic, from), delay_ms)
        };
        sleep_ms(delay_ms).await;
        answer
    }

    /// The answer to a read from an offset that the store no longer has, since it came back from a
    /// copy.
    fn lost_reply(&self, topic: &str, from: u64) -> Option<Response<Body>> {
        let mut state = self.state();
        let is_lost = state.era > 0 && from > state.topic(topic).end();
        is_lost.then(|| deleted_reply(state.topic(topic).start()))
    }

    async fn wait_for_record(&self, topic: &str, from: u64, wait_ms: u64) {
        let clock = Clock::system();
        let mut is_notified = true;
        while !(is_notified && self.state().topic(topic).end() > from) && clock.now_ms() < wait_ms {
            sleep_ms(POLL_MS).await;
            is_notified = !self.state().faults.forget_readers;
        }
    }

    fn newest(&self, query: &Query) -> Response<Body> {
        match query.get("topic") {
            Some(topic) => reply::json_value(&self.state().topic(topic).newest(query.get("after"))),
            None => reply::status(StatusCode::BAD_REQUEST),
        }
    }
}

fn read_reply(topic: &TopicState, from: u64) -> Response<Body> {
    if from < topic.start() {
        return deleted_reply(topic.start());
    }
    let mut bytes = BytesMut::new();
    bytes.put_u64(topic.end());
    bytes.put_u64(topic.start());
    for record in topic.records_from(from) {
        if bytes.len() > MAX_READ_BYTES {
            break;
        }
        bytes.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        bytes.put_slice(record);
    }
    reply::bytes(bytes.to_vec())
}

fn deleted_reply(first: u64) -> Response<Body> {
    let mut response = Response::new(json(&DeletedReply { first }));
    *response.status_mut() = StatusCode::GONE;
    response
}

fn query_number(query: &Query, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}

/// The number under `name` in a query such as `from=3&max=9`.
pub(crate) fn parse_query_number(query: &str, name: &str) -> Option<u64> {
    query_number(&Query::parse(query), name)
}
