use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_net::{DialError, call, empty, request, sleep_ms};
use comfreymast_wire::engine::Load;

use crate::admission::engines_used;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;

const REPORT_TIMEOUT_MS: u64 = 1_000;
const MAX_REPORT_BYTES: usize = 65_536;

/// The most reports that one daemon reads in a second.
const MAX_REPORTS_PER_S: u64 = 25;
const MS_PER_S: u64 = 1_000;

/// Asks each engine that this daemon uses for its load again and again, until the daemon ends.
pub(crate) async fn watch(daemon: Arc<Daemon>) {
    loop {
        let engines = engines_used(&daemon.directory.load(), &daemon.settings.name);
        let shortest_ms = engines.len() as u64 * MS_PER_S / MAX_REPORTS_PER_S;
        for engine in engines {
            let reading = read(daemon.clone(), engine);
            daemon.spawner.detach(reading);
        }
        sleep_ms(daemon.settings.load_interval_ms.max(shortest_ms)).await;
    }
}

async fn read(daemon: Arc<Daemon>, engine: Arc<UpstreamState>) {
    // A daemon that was frozen may find an old answer: a report is as old as its request.
    let asked_ms = daemon.clock.now_ms();
    // An engine that does not answer keeps its last report, which ages.
    if let Ok(load) = report(&daemon, &engine).await {
        daemon.engine_queue.report(&engine.name, &load);
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
