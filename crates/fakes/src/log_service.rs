//! An append-only log with offsets and limited retention.
//!
//! `POST /append`, `GET /read?from=&max=&wait_ms=`, `POST /faults`, `GET /stats`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use comfreymast_base::Clock;
use comfreymast_net::{Body, Handler, collect, handler, sleep_ms};
use comfreymast_wire::log::{AppendReply, AppendRequest, Entry, ReadReply};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::reply;

const MAX_APPEND_BYTES: usize = 32 * 1024 * 1024;
const POLL_MS: u64 = 2;
/// A reply holds fewer records than asked for once they have this many bytes.
const MAX_READ_BYTES: usize = 8 * 1024 * 1024;

/// What goes wrong from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuses every call with 503.
    pub down: bool,
    /// Accepts calls and never answers them.
    pub hang: bool,
    /// Delays every append by this much, before it takes effect.
    pub append_delay_ms: u64,
    /// Delays every read's answer by this much, after its records were taken.
    pub read_delay_ms: u64,
    /// The next appends take effect, but their replies are lost.
    pub lose_append_replies: u32,
    /// How many records are kept; 0 keeps all.
    pub retention_records: usize,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Append calls that came in, whether or not they took effect yet.
    pub append_calls: u64,
    /// Append calls that took effect.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Read calls answered.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct State {
    start_offset: u64,
    records: VecDeque<Bytes>,
    faults: LogFaults,
    stats: LogStats,
}

impl State {
    fn end_offset(&self) -> u64 {
        self.start_offset + self.records.len() as u64
    }

    fn append(&mut self, records: Vec<Bytes>) -> u64 {
        let first_offset = self.end_offset();
        self.stats.appends += 1;
        self.stats.records += records.len() as u64;
        self.records.extend(records);
        self.expire();
        first_offset
    }

    fn expire(&mut self) {
        let kept = self.faults.retention_records;
        while kept > 0 && self.records.len() > kept {
            self.records.pop_front();
            self.start_offset += 1;
        }
    }

    fn read(&self, from: u64, max: usize) -> ReadReply {
        let from = from.max(self.start_offset);
        let skip = usize::try_from(from - self.start_offset).unwrap_or(usize::MAX);
        let mut read_bytes = 0;
        let kept = self.records.iter().skip(skip).take(max).take_while(|record| {
            let fits = read_bytes < MAX_READ_BYTES;
            read_bytes += record.len();
            fits
        });
        let entries =
            kept.zip(from..).map(|(record, offset)| Entry { offset, record: record.clone() });
        ReadReply {
            start_offset: self.start_offset,
            end_offset: self.end_offset(),
            entries: entries.collect(),
        }
    }
}

/// A log service. Clones share one log.
#[derive(Clone, Debug, Default)]
pub struct LogService {
    state: Arc<Mutex<State>>,
}

impl LogService {
    /// An empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The handler to serve.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let service = self.clone();
        handler(move |request| service.clone().answer(request))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            return self.set_faults(request).await;
        }
        let faults = self.state().faults.clone();
        if faults.hang {
            futures_lite::future::pending::<()>().await;
        }
        if faults.down {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/append") => self.append(request, &faults).await,
            (&Method::GET, "/read") => self.read(&request).await,
            (&Method::GET, "/stats") => reply::value(&self.state().stats),
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = collect(request.into_body(), MAX_APPEND_BYTES).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                let mut state = self.state();
                state.faults = faults;
                state.expire();
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(_) => reply::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn append(&self, request: Request<Incoming>, faults: &LogFaults) -> Response<Body> {
        let body = collect(request.into_body(), MAX_APPEND_BYTES).await;
        let Some(append) = body.ok().and_then(|body| AppendRequest::decode(body).ok()) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        self.state().stats.append_calls += 1;
        sleep_ms(faults.append_delay_ms).await;
        let mut state = self.state();
        let first_offset = state.append(append.records);
        if state.faults.lose_append_replies > 0 {
            state.faults.lose_append_replies -= 1;
            return reply::lost();
        }
        reply::bytes(AppendReply { first_offset }.encode_to_vec())
    }

    async fn read(&self, request: &Request<Incoming>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let (Some(from), Some(max)) = (number(query, "from"), number(query, "max")) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let clock = Clock::system();
        let wait_ms = number(query, "wait_ms").unwrap_or(0);
        while self.state().end_offset() <= from && clock.now_ms() < wait_ms {
            sleep_ms(POLL_MS).await;
        }
        let (read, delay_ms) = {
            let mut state = self.state();
            state.stats.reads += 1;
            let read = state.read(from, usize::try_from(max).unwrap_or(usize::MAX));
            (read, state.faults.read_delay_ms)
        };
        sleep_ms(delay_ms).await;
        reply::bytes(read.encode_to_vec())
    }
}

/// The value of `name` in a query such as `from=3&max=9`.
pub(crate) fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
