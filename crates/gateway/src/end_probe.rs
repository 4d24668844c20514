use std::sync::Arc;

use comfreymast_decide::upstream_end::EndSign;
use comfreymast_net::{OwnedConnection, sleep_ms};

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

const DIAL_LIMIT_MS: u64 = 150;
const POLL_MS: u64 = 5;

/// Looks for signs that an upstream has ended, on a connection of its own.
pub(crate) struct EndProbe {
    dispatch: Arc<Dispatch>,
    upstream: Arc<UpstreamState>,
    connection: Option<OwnedConnection>,
}

impl EndProbe {
    /// A probe of `upstream` that has not been dialled yet.
    pub(crate) fn new(dispatch: &Arc<Dispatch>, upstream: &Arc<UpstreamState>) -> Self {
        Self { dispatch: dispatch.clone(), upstream: upstream.clone(), connection: None }
    }

    /// Opens a connection.
    pub(crate) async fn dial(&mut self) -> EndSign {
        let addr = self.upstream.record.addr;
        match OwnedConnection::open(&self.dispatch.spawner, addr, DIAL_LIMIT_MS).await {
            Ok(connection) => {
                self.connection = Some(connection);
                EndSign::Accepted
            }
            Err(error) if error.is_refused() => EndSign::Refused,
            Err(_) => EndSign::Unanswered,
        }
    }

    /// Watches the open connection. One that stays open is kept for later requests.
    pub(crate) async fn watch(&mut self, for_ms: u64) -> EndSign {
        let Some(connection) = self.connection.take() else { return EndSign::Unanswered };
        let clock = &self.dispatch.clock;
        let until_ms = clock.now_ms() + for_ms;
        while clock.now_ms() < until_ms {
            sleep_ms(POLL_MS).await;
            if !connection.is_reusable() {
                return EndSign::Closed;
            }
        }
        let idle_ms = self.dispatch.options.idle_connection_ms;
        self.upstream.pool.put(connection, clock.now_ms() + idle_ms);
        EndSign::StayedOpen
    }
}
