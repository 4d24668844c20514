use std::sync::Arc;

use comfreymast_base::GenerationId;
use comfreymast_net::{call, empty, request};

use crate::daemon::Daemon;
use crate::directory::UpstreamState;

const CANCEL_LIMIT_MS: u64 = 1_000;
const MAX_REPLY_BYTES: usize = 4_096;

/// Cancels an attempt on an engine, in the background.
///
/// It is sent only once: an engine that does not get it drops a generation that nobody reads.
pub(crate) fn cancel(
    daemon: &Arc<Daemon>,
    engine: &Arc<UpstreamState>,
    generation: GenerationId,
    fence: u64,
) {
    let daemon = daemon.clone();
    let engine = engine.clone();
    daemon.spawner.clone().detach(async move {
        let path = format!("/v1/generations/{generation}/cancel?fence={fence}");
        let request = request(engine.addr, "POST", &path, empty());
        let cancelled =
            call(&daemon.spawner, engine.addr, request, CANCEL_LIMIT_MS, MAX_REPLY_BYTES).await;
        if let Err(error) = cancelled {
            log::debug!("{}: could not cancel generation {generation}: {error}", engine.name);
        }
    });
}
