use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_platform::Resumes;

use super::lookup::{Lookup, look_up};
use super::messages::key_of;
use super::store_log::read_stored;
use crate::call::Call;
use crate::call_error::{CallError, Refusal};
use crate::dispatch::Dispatch;
use crate::metrics::OriginLabels;
use crate::version_records;

/// When a caller may come back if the store, or some daemon that may know its stream, has not replied.
const SILENT_RETRY_MS: u64 = 300;

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
    // Whether its route allows that now does not matter: it may have when the stream began.
    if !call.head.has_events {
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
    let has_learned = version_records::learn(dispatch).await;
    // Silence of the store and of most peers may hide a version.
    let is_informed =
        has_learned || dispatch.store_silence_age_ms().is_none() || 2 * replied > asked;
    if let Some(version) = only_version(dispatch, service).filter(|_| is_informed) {
        return Ok(VersionNeed::Only(version));
    }
    let has_read = match &call.head.resumes {
        Resumes::Attempt(attempt) => {
            let has_read = read_stored(dispatch).await;
            let key = key_of(call, attempt);
            if let Some(origin) = dispatch.origins.find(&key, dispatch.clock.now_ms()) {
                return Ok(VersionNeed::Only(origin.version));
            }
            has_read
        }
        Resumes::Nothing | Resumes::Ambiguous => true,
    };
    let is_silent = replied < asked || !has_learned || !has_read;
    let reason = reason(dispatch, is_silent);
    dispatch.metrics.unknown_origins.get_or_create(&OriginLabels { reason }).inc();
    log::info!(target: "comfreymast", code = 1411, request = &*call.head.id,
        resumes:? = call.head.resumes, last_event:? = call.head.last_event, asked, replied,
        has_learned, has_read, reason;
        "stream not taken up, as the version that began it is unknown");
    let retry_after_ms = is_silent.then_some(SILENT_RETRY_MS);
    Err(CallError::Refused { reason: Refusal::Version, retry_after_ms })
}

fn only_version(dispatch: &Dispatch, service: &Service) -> Option<Option<SoftwareVersion>> {
    dispatch.directory.only_version(service, dispatch.version_records.take_up_ms())
}

/// Why the version that began a stream is unknown.
fn reason(dispatch: &Dispatch, is_silent: bool) -> &'static str {
    let span_ms = dispatch.version_records.take_up_ms();
    let is_past_known =
        dispatch.directory.with_versions(|versions, now_ms| versions.is_known_for(span_ms, now_ms));
    match (is_silent, is_past_known) {
        (true, _) => "no reply",
        (false, true) => "several versions",
        (false, false) => "earlier versions unknown",
    }
}
