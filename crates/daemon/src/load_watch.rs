use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_net::{DialError, call, empty, request, sleep_ms};
use comfreymast_wire::engine::Load;

use crate::admission::engines_used;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;

const REPORT_TIMEOUT_MS: u64 = 1_000;
const MAX_REPORT_BYTES: usize = 65_536;

/// The maximum number of reports that one daemon reads per second.
const MAX_REPORTS_PER_S: u64 = 25;
const MS_PER_S: u64 = 1_000;

/// Polls the load of each engine that this daemon uses, until the daemon ends.
pub(crate) async fn watch(daemon: Arc<Daemon>) {
    loop {
        let engines = engines_used(&daemon.directory.load(), &daemon.settings.name);
        let min_interval_ms = engines.len() as u64 * MS_PER_S / MAX_REPORTS_PER_S;
        for engine in engines {
            let read = read_load(daemon.clone(), engine);
            daemon.spawner.detach(read);
        }
        sleep_ms(daemon.settings.load_interval_ms.max(min_interval_ms)).await;
    }
}

async fn read_load(daemon: Arc<Daemon>, engine: Arc<UpstreamState>) {
    // A report is as old as its request: a daemon that was paused may read an answer that has
    // been waiting for long.
    let asked_ms = daemon.clock.now_ms();
    // If the engine does not answer, its last report is kept and grows stale.
    if let Ok(load) = fetch_load(&daemon, &engine).await {
        daemon.engine_queue.report(&engine.name, &load);
        engine.live.load.store(Arc::new(load));
        engine.live.load_at_ms.store(asked_ms, Ordering::Release);
    }
}

async fn fetch_load(daemon: &Daemon, engine: &UpstreamState) -> Result<Load, DialError> {
    let request = request(engine.addr, "GET", "/load", empty());
    let reply =
        call(&daemon.spawner, engine.addr, request, REPORT_TIMEOUT_MS, MAX_REPORT_BYTES).await?;
    daemon.metrics.control_received("load", reply.body().len());
    Ok(serde_json::from_slice(reply.body()).unwrap_or_default())
}
