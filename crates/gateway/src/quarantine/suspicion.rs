use std::sync::Arc;

use comfreymast_base::{Upstream, hex};
use comfreymast_decide::quarantine::{DeathReport, Fingerprint, QuarantineOptions};
use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::sleep_ms;
use comfreymast_wire::news::{Suspicion, news};

use super::exoneration::{exonerate, send_exoneration};
use super::store_writer::write_suspect;
use crate::dispatch::Dispatch;
use crate::outbox::Origin;

const EVALUATION_SLACK_MS: u64 = 20;

/// Suspects a request of the death of an upstream that this daemon saw, and tells peers.
pub(super) fn report_death(dispatch: &Arc<Dispatch>, report: &DeathReport) {
    let now_ms = dispatch.clock.now_ms();
    if dispatch.quarantine.has_just_succeeded(&report.fingerprint, now_ms) {
        log_not_counted(&report.fingerprint, &report.upstream);
        return;
    }
    let own = dispatch.peers.own_member();
    let suspicion = Suspicion {
        fingerprint: report.fingerprint.to_vec().into(),
        upstream: report.upstream.to_string(),
        progress_tokens: report.progress_tokens,
        daemon: own.daemon,
        silent_ms: now_ms.saturating_sub(report.last_alive_ms),
        data_centre: own.data_centre,
    };
    let message = move |elapsed_ms| {
        let silent_ms = suspicion.silent_ms + elapsed_ms;
        news::Body::Suspicion(Suspicion { silent_ms, ..suspicion.clone() })
    };
    // Most requests that were in one death only shared an upstream with another, so it is enough
    // that most daemons hear of them.
    match record_death(dispatch, report, true) {
        Some(1) => dispatch.outbox.pass_on(message(0), Origin::Own),
        Some(_) => {
            dispatch.outbox.send_repeatedly(message);
            // Daemons that start later, or that cannot reach this one, read it from the store.
            let written = write_suspect(dispatch.clone(), report.fingerprint, false);
            dispatch.spawner.detach(written);
        }
        None => {}
    }
}

/// Records a suspicion that a peer reported, and passes it on if it is new.
pub(crate) fn handle_suspicion(dispatch: &Arc<Dispatch>, mut suspicion: Suspicion) {
    let Ok(fingerprint) = suspicion.fingerprint[..].try_into() else {
        log::debug!("{} sent a suspicion with an invalid fingerprint", suspicion.daemon);
        return;
    };
    let now_ms = dispatch.clock.now_ms();
    let report = DeathReport {
        fingerprint,
        upstream: Upstream::from(suspicion.upstream.as_str()),
        progress_tokens: suspicion.progress_tokens,
        last_alive_ms: now_ms.saturating_sub(suspicion.silent_ms),
    };
    let Some(deaths) = record_death(dispatch, &report, false) else { return };
    if deaths > 1 && dispatch.quarantine.has_just_succeeded(&fingerprint, now_ms) {
        log_not_counted(&fingerprint, &report.upstream);
        exonerate(dispatch, &fingerprint);
        send_exoneration(dispatch, &fingerprint);
        return;
    }
    let origin = Origin::of(&dispatch.peers, &suspicion.data_centre);
    log::info!(target: "comfreymast", code = 1601, fingerprint = hex::encode(&fingerprint),
        upstream = suspicion.upstream.as_str(), daemon = suspicion.daemon.as_str(), deaths,
        silent_ms = suspicion.silent_ms; "peer saw an upstream end while it ran a request");
    suspicion.data_centre = dispatch.peers.own_member().data_centre;
    dispatch.outbox.pass_on(news::Body::Suspicion(suspicion), origin);
}

fn log_not_counted(fingerprint: &Fingerprint, upstream: &Upstream) {
    log::info!(target: "comfreymast", code = 1610, fingerprint = hex::encode(fingerprint),
        upstream = upstream.as_str(); "end not counted, as the request has just run to its end");
}

/// Records a death and returns how many the request was in; `None` if the report is not new. The
/// death is judged once the reports of all daemons had time to arrive.
pub(super) fn record_death(
    dispatch: &Arc<Dispatch>,
    report: &DeathReport,
    is_own: bool,
) -> Option<u32> {
    let now_ms = dispatch.clock.now_ms();
    let deaths = dispatch.quarantine.update(|table| table.record(report, now_ms))?;
    dispatch.spawner.detach(evaluate(dispatch.clone(), is_own));
    Some(deaths)
}

async fn evaluate(dispatch: Arc<Dispatch>, is_own: bool) {
    sleep_ms(QuarantineOptions::for_any_request().settle_ms + EVALUATION_SLACK_MS).await;
    let now_ms = dispatch.clock.now_ms();
    for (fingerprint, deaths) in dispatch.quarantine.update(|table| table.find_culprits(now_ms)) {
        log::warn!(target: "comfreymast", code = 1602, fingerprint = hex::encode(&fingerprint),
            deaths, own = is_own; "request quarantined");
        dispatch.spawner.detach(write_quarantine(dispatch.clone(), fingerprint, is_own));
    }
}

/// Writes a quarantine to the store. A daemon that did not see the last death leaves this to the
/// one that did for a while.
async fn write_quarantine(dispatch: Arc<Dispatch>, fingerprint: Fingerprint, is_own: bool) {
    const OTHERS_DELAY_MS: u64 = 1_500;
    if !is_own {
        sleep_ms(OTHERS_DELAY_MS + jittered_ms(OTHERS_DELAY_MS, rand::random())).await;
    }
    write_suspect(dispatch, fingerprint, true).await;
}
