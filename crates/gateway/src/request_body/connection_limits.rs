use std::sync::Arc;

use comfreymast_base::Clock;
use comfreymast_net::{Connections, sleep_ms};

use crate::dispatch::Dispatch;

/// Descriptors are counted in parts of this many. A connection of a caller or peer may need another one to an
/// upstream, and the store, other daemons and the program itself need the rest.
const PARTS: usize = 16;
const CALLER_PARTS: usize = 5;
/// Without a limit on descriptors there is none on connections.
const NO_LIMIT: usize = usize::MAX / 2;
const REPORT_INTERVAL_MS: u64 = 1_000;

/// The connections of callers.
pub(crate) fn caller_connections(
    clock: &Clock,
    max_descriptors: Option<usize>,
) -> Arc<Connections> {
    let limit = max_descriptors.map_or(NO_LIMIT, |max| max * CALLER_PARTS / PARTS);
    Connections::new(clock, limit)
}

/// The connections of peers, or of the load balancer's checks.
pub(crate) fn peer_connections(clock: &Clock, max_descriptors: Option<usize>) -> Arc<Connections> {
    Connections::new(clock, max_descriptors.map_or(NO_LIMIT, |max| max / PARTS))
}

/// Reports connections of callers that were closed for others or refused: one line a second at most.
pub(crate) async fn watch_connections(dispatch: Arc<Dispatch>, connections: Arc<Connections>) {
    loop {
        sleep_ms(REPORT_INTERVAL_MS).await;
        let (closed, refused) = connections.take_counts();
        if closed + refused == 0 {
            continue;
        }
        dispatch.metrics.count_rejections("connection closed for another", closed);
        dispatch.metrics.count_rejections("connection refused", refused);
        log::warn!(target: "comfreymast", code = 1110, closed, refused;
            "connections limited by descriptors");
    }
}
