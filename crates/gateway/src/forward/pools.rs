use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::pool::Pool;

/// Idle connections to peers that took calls, by their address.
#[derive(Debug, Default)]
pub(crate) struct ForwardPools {
    by_addr: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl ForwardPools {
    /// The connections to the peer at `addr`.
    pub(super) fn of(&self, addr: SocketAddr) -> Arc<Pool> {
        self.by_addr().entry(addr).or_default().clone()
    }

    /// Closes connections that are past their idle time, and forgets peers without any.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.by_addr().retain(|_, pool| {
            pool.expire(now_ms);
            !pool.is_empty()
        });
    }

    fn by_addr(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Pool>>> {
        self.by_addr.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
