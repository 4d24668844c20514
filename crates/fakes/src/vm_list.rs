//! The list of VMs: `PUT /vms` replaces it, `GET /vms` returns the version of `lag_ms` ago.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use comfreymast_base::Clock;
use comfreymast_net::{Body, Handler, collect, full, handler};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::reply;

const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Faults to inject from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Refuses every read with 503.
    pub down: bool,
    /// Age of the version that reads return.
    pub lag_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Every version with the time of its write.
    versions: VecDeque<(u64, Bytes)>,
    faults: VmListFaults,
}

/// A VM list. Clones share the same list.
#[derive(Clone, Debug)]
pub struct VmListService {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl Default for VmListService {
    fn default() -> Self {
        Self { clock: Clock::system(), state: Arc::default() }
    }
}

impl VmListService {
    /// The handler that serves its requests.
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
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/vms") => self.read(),
            (Method::PUT, "/vms") => self.write(request).await,
            (Method::POST, "/faults") => self.set_faults(request).await,
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn read(&self) -> Response<Body> {
        let state = self.state();
        if state.faults.down {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let as_of_ms = self.clock.now_ms().saturating_sub(state.faults.lag_ms);
        let visible = state.versions.iter().rev().find(|(at_ms, _)| *at_ms <= as_of_ms);
        let list = visible.map_or(Bytes::from_static(b"[]"), |(_, list)| list.clone());
        Response::new(full(list))
    }

    async fn write(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(list) = collect(request.into_body(), MAX_LIST_BYTES).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let now_ms = self.clock.now_ms();
        self.state().versions.push_back((now_ms, list));
        reply::status(StatusCode::NO_CONTENT)
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), MAX_LIST_BYTES).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.state().faults = faults;
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(_) => reply::status(StatusCode::BAD_REQUEST),
        }
    }
}
