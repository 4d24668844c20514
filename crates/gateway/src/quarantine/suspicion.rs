use std::sync::Arc;

use comfreymast_base::{Upstream, hex};
use comfreymast_decide::quarantine::{
    DeathReport, Fingerprint, QuarantineOptions, RequestContent, SubjectKind, SuccessEffect,
    part_fingerprint, part_id,
};
use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::sleep_ms;
use comfreymast_wire::news::{Suspicion, news};

use super::exoneration::{exonerate, send_exoneration};
use super::store_writer::write_suspect;
use crate::dispatch::Dispatch;
use crate::outbox::Origin;

const EVALUATION_SLACK_MS: u64 = 20;

/// The most parts of a prompt that a message of a peer may name.
const MAX_PARTS: usize = 128;

/// Suspects a request, with the parts `shared_parts` of its prompt, of the death of an upstream that this
/// daemon saw, and tells peers.
pub(super) fn report_death(
    dispatch: &Arc<Dispatch>,
    report: &DeathReport,
    shared_parts: &[Arc<str>],
) {
    let now_ms = dispatch.clock.now_ms();
    let own = dispatch.peers.own_member();
    let known_since_ms = report.known_since_ms.unwrap_or(now_ms);
    let suspicion = Suspicion {
        fingerprint: report.content.fingerprint.to_vec().into(),
        upstream: report.upstream.to_string(),
        progress_tokens: report.progress_tokens,
        daemon: own.daemon,
        silent_ms: now_ms.saturating_sub(report.last_alive_ms),
        data_centre: own.data_centre,
        known_for_ms: now_ms.saturating_sub(known_since_ms),
        parts: shared_parts.iter().map(ToString::to_string).collect(),
    };
    let message = move |elapsed_ms| {
        let silent_ms = suspicion.silent_ms + elapsed_ms;
        let known_for_ms = suspicion.known_for_ms + elapsed_ms;
        news::Body::Suspicion(Suspicion { silent_ms, known_for_ms, ..suspicion.clone() })
    };
    // Most requests that were in one death only shared an upstream with another, so it is enough
    // that most daemons hear of them.
    let Some(counts) = record_death(dispatch, report, true) else { return };
    if counts.iter().all(|(_, deaths)| *deaths < 2) {
        return dispatch.outbox.pass_on(message(0), Origin::Own);
    }
    dispatch.outbox.send_repeatedly(message);
    // Daemons that start later, or that cannot reach this one, read it from the store.
    for (fingerprint, _) in
        counts.into_iter().filter(|(one, deaths)| is_worth_storing(one, *deaths))
    {
        dispatch.spawner.detach(write_suspect(dispatch.clone(), fingerprint, false));
    }
}

/// True one death before a verdict is possible. Sound parts are often in a death or two.
fn is_worth_storing(fingerprint: &Fingerprint, deaths: u32) -> bool {
    let options = QuarantineOptions::for_any_request();
    deaths + 1 >= options.limits(SubjectKind::of(fingerprint)).deaths
}

/// Records a suspicion that a peer reported, and passes it on if it is new.
pub(crate) fn handle_suspicion(dispatch: &Arc<Dispatch>, mut suspicion: Suspicion) {
    let Ok(fingerprint) = suspicion.fingerprint[..].try_into() else {
        log::debug!("{} sent a suspicion with an invalid fingerprint", suspicion.daemon);
        return;
    };
    let now_ms = dispatch.clock.now_ms();
    let parts = suspicion.parts.iter().take(MAX_PARTS).map(|id| part_fingerprint(id)).collect();
    let report = DeathReport {
        content: RequestContent { fingerprint, parts },
        upstream: Upstream::from(suspicion.upstream.as_str()),
        progress_tokens: suspicion.progress_tokens,
        last_alive_ms: now_ms.saturating_sub(suspicion.silent_ms),
        known_since_ms: Some(now_ms.saturating_sub(suspicion.known_for_ms)),
    };
    let Some(counts) = record_death(dispatch, &report, false) else { return };
    let deaths = counts.iter().map(|(_, deaths)| *deaths).max().unwrap_or(0);
    let origin = Origin::of(&dispatch.peers, &suspicion.data_centre);
    log::info!(target: "comfreymast", code = 1601, fingerprint = hex::encode(&fingerprint),
        upstream = suspicion.upstream.as_str(), daemon = suspicion.daemon.as_str(), deaths,
        silent_ms = suspicion.silent_ms; "peer saw an upstream end while it ran a request");
    suspicion.data_centre = dispatch.peers.own_member().data_centre;
    dispatch.outbox.pass_on(news::Body::Suspicion(suspicion), origin);
}

/// Records a death and returns how many the request and each of its parts were in; `None` if the
/// report is not new. The death is judged once the reports of all daemons had time to arrive.
pub(super) fn record_death(
    dispatch: &Arc<Dispatch>,
    report: &DeathReport,
    is_own: bool,
) -> Option<Vec<(Fingerprint, u32)>> {
    let now_ms = dispatch.clock.now_ms();
    let counts: Vec<_> = dispatch.quarantine.update(|table| {
        table.record(report, now_ms)?;
        Some(report.content.iter().map(|one| (*one, table.death_count(one))).collect())
    })?;
    // With a single death, a request is far from being refused anywhere.
    for (fingerprint, _) in counts.iter().filter(|(_, deaths)| *deaths > 1) {
        apply_earlier_success(dispatch, fingerprint, now_ms);
    }
    dispatch.spawner.detach(evaluate(dispatch.clone(), is_own));
    Some(counts)
}

/// Applies that a suspected request ran to its end through this daemon before, and tells peers. Then
/// equal requests that crash nothing are not blamed when all upstreams of a service end together.
fn apply_earlier_success(dispatch: &Arc<Dispatch>, fingerprint: &Fingerprint, now_ms: u64) {
    let succeeded_ms = dispatch.quarantine.last_success_ms(fingerprint, now_ms);
    let Some(succeeded_ms) = succeeded_ms else { return };
    if exonerate(dispatch, fingerprint, succeeded_ms) != SuccessEffect::None {
        send_exoneration(dispatch, fingerprint, succeeded_ms);
    }
}

async fn evaluate(dispatch: Arc<Dispatch>, is_own: bool) {
    sleep_ms(QuarantineOptions::for_any_request().settle_ms + EVALUATION_SLACK_MS).await;
    let now_ms = dispatch.clock.now_ms();
    for (key, deaths) in dispatch.quarantine.update(|table| table.find_culprits(now_ms)) {
        let members = dispatch.quarantine.update(|table| table.members(&key).to_vec());
        let parts: Vec<_> = members.iter().filter_map(part_id).collect();
        log::warn!(target: "comfreymast", code = 1602, fingerprint = hex::encode(&key),
            parts = parts.join(","), deaths, own = is_own; "request quarantined");
        dispatch.spawner.detach(write_quarantine(dispatch.clone(), key, is_own));
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
