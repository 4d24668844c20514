use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_net::OwnedConnection;

/// Connections to one upstream that wait for their next request, the newest last.
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
    /// Takes the connection that was used last, if one can still be used.
    pub(crate) fn take(&self, now_ms: u64) -> Option<OwnedConnection> {
        let mut idle = self.idle();
        idle.retain(|idle| now_ms < idle.until_ms && idle.connection.is_reusable());
        idle.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection for use before `until_ms`.
    pub(crate) fn put(&self, connection: OwnedConnection, until_ms: u64) {
        if connection.is_reusable() {
            self.idle().push(Idle { connection, until_ms });
        }
    }

    /// Closes all kept connections.
    pub(crate) fn clear(&self) {
        self.idle().clear();
    }

    /// Closes connections that were kept too long.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.idle().retain(|idle| now_ms < idle.until_ms && idle.connection.is_reusable());
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
