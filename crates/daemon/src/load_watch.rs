use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_net::{DialError, call, empty, request, sleep_ms};
use comfreymast_wire::engine::Load;

use crate::daemon::Daemon;
use crate::directory::UpstreamState;

const REPORT_TIMEOUT_MS: u64 = 1_000;
const MAX_REPORT_BYTES: usize = 65_536;

/// Asks each engine for its load again and again, until the daemon ends.
pub(crate) async fn watch(daemon: Arc<Daemon>) {
    loop {
        let directory = daemon.directory.load_full();
        for engine in directory.upstreams.values().filter(|up| up.service.is_none()) {
            let reading = read(daemon.clone(), engine.clone());
            daemon.spawner.detach(reading);
        }
        sleep_ms(daemon.settings.load_interval_ms).await;
    }
}

async fn read(daemon: Arc<Daemon>, engine: Arc<UpstreamState>) {
    // A daemon that was frozen may find an old answer: a report is as old as its request.
    let asked_ms = daemon.clock.now_ms();
    // An engine that does not answer keeps its last report, which ages.
    if let Ok(load) = report(&daemon, &engine).await {
        engine.live.load.store(Arc::new(load));
        engine.live.load_at_ms.store(asked_ms, Ordering::Release);
    }
}

async fn report(daemon: &Daemon, engine: &UpstreamState) -> Result<Load, DialError> {
    let request = request(engine.addr, "GET", "/load", empty());
    let reply =
        call(&daemon.spawner, engine.addr, request, REPORT_TIMEOUT_MS, MAX_REPORT_BYTES).await?;
    daemon.metrics.control_received("load", reply.body().len());
    Ok(serde_json::from_slice(reply.body()).unwrap_or_default())
}
