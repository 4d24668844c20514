use comfreymast_base::hex;
use comfreymast_decide::quarantine::QuarantineStatus;
use comfreymast_net::sleep_ms;

use super::content::content;
use crate::call::Call;
use crate::call_error::Refusal;
use crate::dispatch::Dispatch;

/// How long a request that is about to be judged waits for that; a little longer than a judgement takes.
const JUDGEMENT_MS: u64 = 400;
const POLL_MS: u64 = 20;

/// Waits while a request is about to be judged, for half of the time it has at most, then refuses it if it
/// may not be sent.
pub(crate) async fn wait_for_judgement(dispatch: &Dispatch, call: &Call) -> Result<(), Refusal> {
    let started_ms = dispatch.clock.now_ms();
    let limit_ms = JUDGEMENT_MS.min(call.remaining_ms(&dispatch.clock) / 2);
    while is_about_to_be_judged(dispatch, call) && dispatch.clock.now_ms() - started_ms < limit_ms {
        sleep_ms(POLL_MS).await;
    }
    check(dispatch, call)
}

fn is_about_to_be_judged(dispatch: &Dispatch, call: &Call) -> bool {
    if dispatch.quarantine.is_empty() {
        return false;
    }
    let (now_ms, now_unix_ms) = (dispatch.clock.now_ms(), dispatch.clock.unix_ms());
    dispatch.quarantine.status(content(call), now_ms, now_unix_ms) == QuarantineStatus::Pending
}

/// Refuses a request that crashes upstreams, and temporarily one that is about to be judged.
pub(crate) fn check(dispatch: &Dispatch, call: &Call) -> Result<(), Refusal> {
    if dispatch.quarantine.is_empty() {
        return Ok(());
    }
    let content = content(call);
    let (now_ms, now_unix_ms) = (dispatch.clock.now_ms(), dispatch.clock.unix_ms());
    let refusal = match dispatch.quarantine.status(content, now_ms, now_unix_ms) {
        QuarantineStatus::Clear | QuarantineStatus::Suspect => return Ok(()),
        QuarantineStatus::Pending => Refusal::Suspected,
        QuarantineStatus::Quarantined => Refusal::Quarantined,
    };
    dispatch.metrics.quarantine_refusals.inc();
    log::info!(target: "comfreymast", code = 1605, request = &*call.head.id,
        fingerprint = hex::encode(&content.fingerprint),
        parts = call.head.shared_parts.join(","), reason:% = refusal;
        "request not sent, as it may crash upstreams");
    Err(refusal)
}
