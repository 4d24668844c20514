use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::{DaemonName, Upstream};
use comfreymast_decide::quarantine::{DeathReport, QuarantineOptions, RequestContent};
use comfreymast_net::{dial, sleep_ms};
use comfreymast_wire::engine::StartGeneration;
use comfreymast_wire::peer::{Suspicion, peer_message};

use super::check::fingerprint;
use super::declare::declare;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::events;

const DIAL_LIMIT_MS: u64 = 500;
const EVALUATION_SLACK_MS: u64 = 20;
const DECLARE_RETRY_MS: u64 = 1_000;

/// Checks whether an engine is dead, and if so suspects the request it was running.
///
/// Only a refused connection counts as a death: a silent or broken connection says nothing about
/// the engine. An engine that is leaving stops for another reason, so its request is not suspected.
/// Returns true if the engine is dead.
pub(crate) async fn confirm_death(
    daemon: &Arc<Daemon>,
    engine: &UpstreamState,
    start: &StartGeneration,
) -> bool {
    let dialled = dial(&daemon.spawner, engine.addr, DIAL_LIMIT_MS).await;
    if !dialled.is_err_and(|error| error.is_refused()) {
        return false;
    }
    let directory = daemon.directory.load_full();
    if directory.upstreams.get(&engine.name).is_none_or(|known| known.leaving) {
        return true;
    }
    let last_alive_ms = engine.live.load_at_ms.load(Ordering::Acquire);
    let report = DeathReport {
        content: RequestContent::whole(fingerprint(&start.model, &start.prompt)),
        upstream: Upstream::from(format!("{}@{}", engine.name, engine.addr)),
        progress_tokens: u32::try_from(start.resume.len()).unwrap_or(u32::MAX),
        last_alive_ms,
        known_since_ms: None,
    };
    events::ENGINE_DEATH.log(format_args!("{}", engine.name));
    let suspicion = Suspicion {
        fingerprint: report.content.fingerprint.to_vec().into(),
        upstream: report.upstream.to_string(),
        progress_tokens: report.progress_tokens,
        daemon: daemon.settings.name.to_string(),
        silent_ms: daemon.clock.now_ms().saturating_sub(last_alive_ms),
    };
    daemon.peers.broadcast(&peer_message::Body::Suspicion(suspicion));
    record_death(daemon, report);
    true
}

/// Records a suspicion that a peer reported.
pub(crate) fn handle_suspicion(daemon: &Arc<Daemon>, from: &DaemonName, suspicion: &Suspicion) {
    let Ok(fingerprint) = suspicion.fingerprint[..].try_into() else {
        log::debug!("{from} sent a suspicion with an invalid fingerprint");
        return;
    };
    let upstream = Upstream::from(suspicion.upstream.as_str());
    let report = DeathReport {
        content: RequestContent::whole(fingerprint),
        upstream,
        progress_tokens: suspicion.progress_tokens,
        last_alive_ms: daemon.clock.now_ms().saturating_sub(suspicion.silent_ms),
        known_since_ms: None,
    };
    record_death(daemon, report);
}

fn record_death(daemon: &Arc<Daemon>, report: DeathReport) {
    let now_ms = daemon.clock.now_ms();
    daemon.quarantine.update(|table| table.record(&report, now_ms));
    let evaluation = evaluate(daemon.clone());
    daemon.spawner.detach(evaluation);
}

/// Evaluates the suspicions once the reports of all daemons had time to arrive.
async fn evaluate(daemon: Arc<Daemon>) {
    sleep_ms(QuarantineOptions::default().settle_ms + EVALUATION_SLACK_MS).await;
    let now_ms = daemon.clock.now_ms();
    for (fingerprint, deaths) in daemon.quarantine.update(|table| table.find_culprits(now_ms)) {
        // All daemons reach the same verdict; the first record takes effect, the others are no-ops.
        while daemon.ledger.quarantines().get(&fingerprint).is_none()
            && declare(&daemon, fingerprint, Some(deaths)).await.is_err()
        {
            sleep_ms(DECLARE_RETRY_MS).await;
        }
    }
}
