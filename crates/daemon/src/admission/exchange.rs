use std::sync::Arc;

use comfreymast_base::{DaemonName, Upstream};
use comfreymast_decide::admission::EngineUse;
use comfreymast_decide::admission_profile::{HORIZONS, MemoryProfile};
use comfreymast_net::sleep_ms;
use comfreymast_wire::peer::{UpstreamLoad, UpstreamUse, peer_message};

use crate::daemon::Daemon;
use crate::events;

/// Time between decisions on queued requests; the end of a generation also triggers one.
const PROCESS_INTERVAL_MS: u64 = 50;
/// Decision rounds between reports of engine use to peers.
const ROUNDS_PER_EXCHANGE: u32 = 10;

/// Starts queued requests as engines get room and reports engine use to peers, until the daemon
/// ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut queued = false;
    let mut rounds: u32 = 0;
    loop {
        let waiting = daemon.engine_queue.process_queue(&daemon);
        daemon.metrics.requests_waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        if (waiting > 0) != queued {
            queued = waiting > 0;
            let event = if queued { events::ENGINES_FULL } else { events::ENGINES_FREE };
            event.log(format_args!("{waiting} requests wait for an engine"));
        }
        if rounds.is_multiple_of(ROUNDS_PER_EXCHANGE) {
            broadcast_use(&daemon);
        }
        rounds = rounds.wrapping_add(1);
        sleep_ms(PROCESS_INTERVAL_MS).await;
    }
}

fn broadcast_use(daemon: &Daemon) {
    let (uses, waiting) = daemon.engine_queue.own_use(daemon.clock.now_ms());
    let body = UpstreamUse {
        daemon: daemon.settings.name.to_string(),
        loads: uses.iter().map(upstream_load).collect(),
        waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
    };
    daemon.peers.broadcast(&peer_message::Body::UpstreamUse(body));
}

/// Handles a peer's report of its engine use.
pub(crate) fn handle_peer_use(daemon: &Daemon, from: &DaemonName, body: &UpstreamUse) {
    let uses: Vec<_> = body.loads.iter().map(engine_use).collect();
    daemon.engine_queue.peer_use(from, &uses, body.waiting, daemon.clock.now_ms());
}

fn upstream_load(EngineUse { engine, requests, profile }: &EngineUse) -> UpstreamLoad {
    // Whole tokens are precise enough; the cast from float saturates.
    UpstreamLoad {
        upstream: engine.to_string(),
        requests: *requests,
        mean_tokens: profile.mean_tokens.iter().map(|tokens| tokens.round() as u32).collect(),
        deviation_tokens: profile.variance.iter().map(|v| v.sqrt().round() as u32).collect(),
    }
}

/// A peer of another version may send fewer or more horizons: missing ones count as zero, extra
/// ones are ignored.
fn engine_use(load: &UpstreamLoad) -> EngineUse {
    let mut profile = MemoryProfile::default();
    for at in 0..HORIZONS {
        let mean_tokens = load.mean_tokens.get(at).copied().unwrap_or_default();
        let deviation = f64::from(load.deviation_tokens.get(at).copied().unwrap_or_default());
        profile.mean_tokens[at] = f64::from(mean_tokens);
        profile.variance[at] = deviation * deviation;
    }
    let engine = Upstream::from(load.upstream.as_str());
    EngineUse { engine, requests: load.requests, profile }
}
