//! A service that echoes each call and numbers its runs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreymast_net::{Body, Handler, collect, handler, sleep_ms};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::history::{Event, History};
use crate::reply;

const MAX_CALL_BYTES: usize = 16 * 1024 * 1024;

/// Faults to inject from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delays every answer after the call has run.
    pub delay_ms: u64,
    /// How many of the next calls run without their answers arriving.
    pub lose_answers: u32,
    /// How many of the next calls are refused with 503 before they run.
    pub refuse: u32,
    /// Runs every call and never answers.
    pub hang: bool,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Echo {
    /// The server that ran it.
    pub server: String,
    /// Its number among the server's runs, from 0.
    pub run: u64,
    /// The method and path.
    pub call: String,
    /// The body.
    pub body: String,
}

/// A plain service. Clones share the run counter and the faults.
#[derive(Clone, Debug)]
pub struct PlainService {
    server: Arc<str>,
    runs: Arc<AtomicU64>,
    faults: Arc<Mutex<ServiceFaults>>,
    history: History,
}

impl PlainService {
    /// A server named `server` that records its runs in `history`.
    #[must_use]
    pub fn new(server: &str, history: History) -> Self {
        Self { server: Arc::from(server), runs: Arc::default(), faults: Arc::default(), history }
    }

    /// The handler that serves its requests.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let service = self.clone();
        handler(move |request| service.clone().answer(request))
    }

    fn faults(&self) -> MutexGuard<'_, ServiceFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let call = format!("{} {path}", request.method());
        let body = collect(request.into_body(), MAX_CALL_BYTES).await.unwrap_or_default();
        if path == "/faults" {
            return self.set_faults(&body);
        }
        let faults = self.faults().clone();
        if faults.refuse > 0 {
            self.faults().refuse -= 1;
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        self.history.record(Event::CallStart { call: call.clone(), body: body.clone() });
        let run = self.runs.fetch_add(1, Ordering::Relaxed);
        if faults.hang {
            futures_lite::future::pending::<()>().await;
        }
        sleep_ms(faults.delay_ms).await;
        self.history.record(Event::CallEnd { call: call.clone(), body: body.clone() });
        if faults.lose_answers > 0 {
            self.faults().lose_answers -= 1;
            return reply::aborted();
        }
        reply::json_value(&Echo { server: self.server.to_string(), run, call, body })
    }

    fn set_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *self.faults() = faults;
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(_) => reply::status(StatusCode::BAD_REQUEST),
        }
    }
}
