use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_net::OwnedConnection;

/// Idle connections to one upstream, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: OwnedConnection,
    until_ms: u64,
}

impl Pool {
    /// Takes the most recently used connection that can still be used.
    pub(crate) fn take(&self, now_ms: u64) -> Option<OwnedConnection> {
        let mut idle = self.idle();
        idle.retain(|idle| now_ms < idle.until_ms && idle.connection.is_reusable());
        idle.pop().map(|idle| idle.connection)
    }

    /// Returns a connection to the pool for use before `until_ms`.
    pub(crate) fn put(&self, connection: OwnedConnection, until_ms: u64) {
        if connection.is_reusable() {
            self.idle().push(Idle { connection, until_ms });
        }
    }

    /// Closes all connections in the pool.
    pub(crate) fn clear(&self) {
        self.idle().clear();
    }

    /// Closes connections that are past their idle time or no longer usable.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.idle().retain(|idle| now_ms < idle.until_ms && idle.connection.is_reusable());
    }

    /// True while it holds no connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.idle().is_empty()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
