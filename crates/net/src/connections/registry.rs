use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_net::TcpStream;
use comfreymast_base::Clock;
use comfreymast_decide::connection_choice::choose_connection;

use super::guarded::GuardedHandler;
use super::linger::linger;
use super::state::{CloseRequest, State};
use crate::Handler;

/// Connections that were told to close may still be open for a moment beside new ones, up to this many.
const MAX_CLOSING: usize = 16;

/// The open connections of a server.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    limit: usize,
    last_id: AtomicU64,
    closed: AtomicUsize,
    refused: AtomicUsize,
    open: Mutex<BTreeMap<u64, Arc<State>>>,
}

/// An open connection, until this is dropped.
#[derive(Debug)]
pub struct Entry {
    connections: Arc<Connections>,
    id: u64,
    state: Arc<State>,
}

impl Connections {
    /// A registry for at most `limit` connections.
    #[must_use]
    pub fn new(clock: &Clock, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            clock: clock.clone(),
            limit: limit.max(1),
            last_id: AtomicU64::new(0),
            closed: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            open: Mutex::default(),
        })
    }

    /// Adds a connection. Over the limit another one is told to close; `None` if none can.
    pub fn open(self: &Arc<Self>) -> Option<Entry> {
        let mut open = self.lock();
        if open.len() >= self.limit && !self.close_one(&open) {
            self.refused.fetch_add(1, Ordering::AcqRel);
            return None;
        }
        let id = self.last_id.fetch_add(1, Ordering::AcqRel);
        let state = Arc::new(State::new(&self.clock));
        open.insert(id, state.clone());
        Some(Entry { connections: self.clone(), id, state })
    }

    /// Connections that were closed for others, and new ones that were refused, since the last call.
    pub fn take_counts(&self) -> (usize, usize) {
        (self.closed.swap(0, Ordering::AcqRel), self.refused.swap(0, Ordering::AcqRel))
    }

    fn close_one(&self, open: &BTreeMap<u64, Arc<State>>) -> bool {
        if open.len() >= self.limit + MAX_CLOSING {
            return false;
        }
        let chosen = choose_connection(open.values().map(|state| state.view()));
        let Some(state) = chosen.and_then(|chosen| open.values().nth(chosen)) else { return false };
        state.is_closing.store(true, Ordering::Release);
        state.close.notify(usize::MAX);
        self.closed.fetch_add(1, Ordering::AcqRel);
        true
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<State>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Waits until the connection is to be closed for another one.
    pub async fn close_requested(&self) -> CloseRequest {
        self.state.close_requested().await
    }

    /// A handler that tells this connection how far its requests are.
    #[must_use]
    pub fn handler(&self, handler: Handler) -> GuardedHandler {
        GuardedHandler::new(handler, self.state.clone())
    }

    /// Reads on for a moment after a refusal, so that its caller gets it although it still sends.
    pub async fn linger(&self, stream: TcpStream) {
        if self.state.is_refused() {
            linger(stream).await;
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}
