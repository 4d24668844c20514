use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use comfreymast_base::Clock;
use comfreymast_decide::connection_choice::{ConnectionUse, ConnectionView};
use event_listener::Event;
use hyper::Request;
use hyper::body::Incoming;

/// How a connection is to be closed for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseRequest {
    /// At once: no answer is owed on it.
    Now,
    /// After what was answered has been written.
    AfterWrites,
    /// Not any more, since it serves a request.
    Cancelled,
}

/// What one connection does.
#[derive(Debug)]
pub(super) struct State {
    clock: Clock,
    /// Requests without a whole body.
    incomplete: AtomicUsize,
    /// Whole requests that are served.
    serving: AtomicUsize,
    /// Requests that have begun on it.
    begun: AtomicUsize,
    since_ms: AtomicU64,
    pub(super) is_closing: AtomicBool,
    is_refused: AtomicBool,
    pub(super) close: Event,
}

impl State {
    pub(super) fn new(clock: &Clock) -> Self {
        Self {
            clock: clock.clone(),
            incomplete: AtomicUsize::new(0),
            serving: AtomicUsize::new(0),
            begun: AtomicUsize::new(0),
            since_ms: AtomicU64::new(clock.now_ms()),
            is_closing: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
            close: Event::new(),
        }
    }

    pub(super) fn view(&self) -> ConnectionView {
        let is_serving =
            self.serving.load(Ordering::Acquire) > 0 || self.is_closing.load(Ordering::Acquire);
        let usage = if is_serving {
            ConnectionUse::Serving
        } else if self.incomplete.load(Ordering::Acquire) > 0 {
            ConnectionUse::Incomplete
        } else {
            ConnectionUse::Idle
        };
        ConnectionView { usage, since_ms: self.since_ms.load(Ordering::Acquire) }
    }

    /// Waits until it is to be closed for another connection. To be called by its task, which serves requests too.
    pub(super) async fn close_requested(&self) -> CloseRequest {
        loop {
            let close = self.close.listen();
            if self.is_closing.load(Ordering::Acquire) {
                return self.close_request();
            }
            close.await;
        }
    }

    fn close_request(&self) -> CloseRequest {
        if self.serving.load(Ordering::Acquire) > 0 {
            self.is_closing.store(false, Ordering::Release);
            CloseRequest::Cancelled
        } else if self.incomplete.load(Ordering::Acquire) > 0
            || self.begun.load(Ordering::Acquire) == 0
        {
            CloseRequest::Now
        } else {
            CloseRequest::AfterWrites
        }
    }

    pub(super) fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Acquire)
    }

    fn touch(&self) {
        self.since_ms.store(self.clock.now_ms(), Ordering::Release);
    }
}

/// Tells a connection how far a request is, until it is dropped with the end of the answer.
#[derive(Debug)]
pub struct RequestProgress {
    state: Arc<State>,
    is_whole: AtomicBool,
}

impl RequestProgress {
    pub(super) fn begin(state: &Arc<State>) -> Self {
        state.begun.fetch_add(1, Ordering::AcqRel);
        state.incomplete.fetch_add(1, Ordering::AcqRel);
        state.touch();
        Self { state: state.clone(), is_whole: AtomicBool::new(false) }
    }

    /// Takes it out of a request; `None` if the server does not limit its connections.
    pub fn take(request: &mut Request<Incoming>) -> Option<Arc<Self>> {
        request.extensions_mut().remove()
    }

    /// Says that the request is whole, so that its connection stays open until it was answered.
    pub fn mark_whole(&self) {
        if !self.is_whole.swap(true, Ordering::AcqRel) {
            self.state.serving.fetch_add(1, Ordering::AcqRel);
            self.state.incomplete.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Says that the request was refused before all of it was read, so that the rest follows the refusal.
    pub fn mark_refused(&self) {
        self.state.is_refused.store(true, Ordering::Release);
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        let is_whole = self.is_whole.load(Ordering::Acquire);
        let count = if is_whole { &self.state.serving } else { &self.state.incomplete };
        count.fetch_sub(1, Ordering::AcqRel);
        self.state.touch();
    }
}
