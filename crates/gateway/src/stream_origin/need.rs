use comfreymast_base::Service;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::RetryPolicy;
use comfreymast_platform::Resumes;

use super::lookup::{Lookup, look_up};
use super::messages::key_of;
use crate::call::Call;
use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;

/// When a caller may come back if not all daemons that may know its stream have replied.
const SILENT_RETRY_MS: u64 = 300;
/// How much later than it ends a stream may be taken up.
const TAKE_UP_MARGIN_MS: u64 = 2_000;

/// The software versions at which a call may run: any, unless it takes up a stream of which its caller
/// has events.
///
/// # Errors
///
/// [`CallError::Refused`] if the version that began the stream cannot be known. A stream of two versions
/// would be worse than none.
pub(crate) async fn needed_version(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
) -> Result<VersionNeed, CallError> {
    let has_events = call.head.last_event.is_some_and(|last_event| last_event > 0);
    if !has_events || call.route.retry_policy != RetryPolicy::Resumable {
        return Ok(VersionNeed::Any);
    }
    let looked_up = match &call.head.resumes {
        Resumes::Attempt(attempt) => look_up(dispatch, key_of(call, attempt)).await,
        Resumes::Nothing | Resumes::Ambiguous => Lookup::Unknown { asked: 0, replied: 0 },
    };
    let (asked, replied) = match looked_up {
        Lookup::Known(origin) => return Ok(VersionNeed::Only(origin.version)),
        Lookup::Unknown { asked, replied } => (asked, replied),
    };
    // Silence of the store and of most peers may hide a version.
    let is_informed = dispatch.store_silence_age_ms().is_none() || 2 * replied > asked;
    let span_ms = call.route.timeout_ms + TAKE_UP_MARGIN_MS;
    if let Some(version) = dispatch.directory.only_version(service, span_ms).filter(|_| is_informed)
    {
        return Ok(VersionNeed::Only(version));
    }
    dispatch.metrics.unknown_origins.inc();
    log::info!(target: "comfreymast", code = 1411, request = &*call.head.id,
        resumes:? = call.head.resumes, last_event:? = call.head.last_event, asked, replied;
        "stream not taken up, as the version that began it is unknown");
    let retry_after_ms = (replied < asked).then_some(SILENT_RETRY_MS);
    Err(CallError::Refused { reason: Refusal::Version, retry_after_ms })
}
