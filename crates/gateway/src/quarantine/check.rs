use comfreymast_base::hex;
use comfreymast_decide::quarantine::QuarantineStatus;

use super::content::content;
use crate::call::Call;
use crate::call_error::Refusal;
use crate::dispatch::Dispatch;

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
