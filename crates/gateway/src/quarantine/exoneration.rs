use std::sync::Arc;

use comfreymast_base::hex;
use comfreymast_decide::quarantine::{Fingerprint, SuccessEffect};
use comfreymast_wire::news::{Exoneration, news};

use super::content::content;
use super::store_writer::delete_suspect;
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::outbox::Origin;

/// Records that a call has run to its end, so its deaths so far are forgotten on all daemons, and
/// those of its parts before `begun_ms`, when its upstream began to answer.
pub(crate) fn record_success(dispatch: &Arc<Dispatch>, call: &Call, begun_ms: u64) {
    record_subject(dispatch, content(call).fingerprint, dispatch.clock.now_ms());
    record_begun_answer(dispatch, call, begun_ms);
}

/// Records that an upstream began to answer a call at `begun_ms` and lived on, so that the deaths of
/// its parts before that are forgotten on all daemons.
pub(crate) fn record_begun_answer(dispatch: &Arc<Dispatch>, call: &Call, begun_ms: u64) {
    for part in &content(call).parts {
        record_subject(dispatch, *part, begun_ms);
    }
}

fn record_subject(dispatch: &Arc<Dispatch>, fingerprint: Fingerprint, succeeded_ms: u64) {
    dispatch.quarantine.record_success(fingerprint, succeeded_ms);
    match exonerate(dispatch, &fingerprint, succeeded_ms) {
        // With a single death, a request is far from being refused anywhere.
        SuccessEffect::None | SuccessEffect::Cleared(0 | 1) => {}
        SuccessEffect::Deferred(_) => send_exoneration(dispatch, &fingerprint, succeeded_ms),
        SuccessEffect::Cleared(_) => {
            send_exoneration(dispatch, &fingerprint, succeeded_ms);
            if dispatch.quarantine.is_stored(&fingerprint) {
                dispatch.spawner.detach(delete_suspect(dispatch.clone(), fingerprint));
            }
        }
    }
}

/// Tells peers that a request ran to its end at `succeeded_ms`, or an upstream began to answer on a part.
pub(super) fn send_exoneration(dispatch: &Dispatch, fingerprint: &Fingerprint, succeeded_ms: u64) {
    let own = dispatch.peers.own_member();
    let exoneration = Exoneration {
        fingerprint: fingerprint.to_vec().into(),
        daemon: own.daemon,
        data_centre: own.data_centre,
        age_ms: dispatch.clock.now_ms().saturating_sub(succeeded_ms),
    };
    dispatch.outbox.send_repeatedly(move |elapsed_ms| {
        let age_ms = exoneration.age_ms + elapsed_ms;
        news::Body::Exoneration(Exoneration { age_ms, ..exoneration.clone() })
    });
}

/// Applies that a request has run to its end through a peer, and passes the message on if that is
/// news here.
pub(crate) fn handle_exoneration(dispatch: &Arc<Dispatch>, mut exoneration: Exoneration) {
    let Ok(fingerprint) = exoneration.fingerprint[..].try_into() else {
        log::debug!("{} sent an exoneration with an invalid fingerprint", exoneration.daemon);
        return;
    };
    let succeeded_ms = dispatch.clock.now_ms().saturating_sub(exoneration.age_ms);
    if exonerate(dispatch, &fingerprint, succeeded_ms) == SuccessEffect::None {
        return;
    }
    let origin = Origin::of(&dispatch.peers, &exoneration.data_centre);
    exoneration.data_centre = dispatch.peers.own_member().data_centre;
    dispatch.outbox.pass_on(news::Body::Exoneration(exoneration), origin);
}

/// Applies that a request ran to its end at `succeeded_ms`. Has no effect on a quarantine, so that
/// runs in flight do not end it.
pub(super) fn exonerate(
    dispatch: &Dispatch,
    fingerprint: &Fingerprint,
    succeeded_ms: u64,
) -> SuccessEffect {
    let now_unix_ms = dispatch.clock.unix_ms();
    if dispatch.quarantine.is_empty() || dispatch.quarantine.is_declared(fingerprint, now_unix_ms) {
        return SuccessEffect::None;
    }
    let effect =
        dispatch.quarantine.update(|table| table.record_success(fingerprint, succeeded_ms));
    let fingerprint = hex::encode(fingerprint);
    match effect {
        SuccessEffect::None => {}
        SuccessEffect::Cleared(deaths) => {
            log::info!(target: "comfreymast", code = 1606, fingerprint, deaths;
                "suspected request has run to its end");
        }
        SuccessEffect::Deferred(deaths) => {
            let age_ms = dispatch.clock.now_ms().saturating_sub(succeeded_ms);
            log::info!(target: "comfreymast", code = 1610, fingerprint, deaths, age_ms;
                "suspected request had run to its end before");
        }
    }
    effect
}
