use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_decide::stream_origins::{OriginKey, StreamOrigin};
use comfreymast_platform::Resumes;
use futures_lite::future::zip;

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

/// Where a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Destination {
    /// The service.
    pub(crate) service: Service,
    /// The software versions of it.
    pub(crate) version: VersionNeed,
}

/// What is known of a stream that is taken up, after everybody who may know was asked.
#[derive(Debug)]
struct Knowledge {
    origin: Option<StreamOrigin>,
    asked: usize,
    replied: usize,
    /// True if the store told which versions services had.
    has_learned: bool,
    /// True if the store told which streams it has, or if none was named.
    has_read: bool,
}

/// Where a call may run: at the service that its route has drawn, unless it takes up a stream of which its
/// caller has events. That one goes on at the service and version that began it.
///
/// # Errors
///
/// [`CallError::Refused`] if what began the stream cannot be known, or if its route no longer sends requests
/// there. A stream of two services or versions would be worse than none.
pub(crate) async fn destination(
    dispatch: &Dispatch,
    call: &Call,
    drawn: &Service,
) -> Result<Destination, CallError> {
    // Whether its route allows that now does not matter: it may have when the stream began.
    if !call.route.is_stream || !call.head.has_events {
        return Ok(Destination { service: drawn.clone(), version: VersionNeed::Any });
    }
    let attempt = match &call.head.resumes {
        Resumes::Attempt(attempt) => Some(key_of(call, attempt)),
        Resumes::Nothing | Resumes::Ambiguous => None,
    };
    let knowledge = learn(dispatch, attempt).await;
    let found = match &knowledge.origin {
        Some(origin) => of_origin(dispatch, call, origin),
        None => only_destination(dispatch, call).filter(|_| knowledge.is_informed()),
    };
    let Some((service, version)) = found else {
        return Err(unknown(dispatch, call, &knowledge));
    };
    if !call.route.services().any(|sent_to| *sent_to == service) {
        return Err(moved(call, &service));
    }
    Ok(Destination { service, version: VersionNeed::Only(version) })
}

/// Asks this daemon, those that keep the stream's record, and the store.
async fn learn(dispatch: &Dispatch, attempt: Option<OriginKey>) -> Knowledge {
    let looked_up = match attempt {
        Some(key) => look_up(dispatch, key).await,
        None => Lookup::Unknown { asked: 0, replied: 0 },
    };
    let (asked, replied) = match looked_up {
        Lookup::Known(origin) => return Knowledge::of(origin),
        Lookup::Unknown { asked, replied } => (asked, replied),
    };
    let read = async {
        let Some(key) = attempt else { return (true, None) };
        let has_read = read_stored(dispatch).await;
        (has_read, dispatch.origins.find(&key, dispatch.clock.now_ms()))
    };
    let (has_learned, (has_read, origin)) = zip(version_records::learn(dispatch), read).await;
    Knowledge { origin, asked, replied, has_learned, has_read }
}

impl Knowledge {
    fn of(origin: StreamOrigin) -> Self {
        Self { origin: Some(origin), asked: 0, replied: 0, has_learned: true, has_read: true }
    }

    /// False if the silence of the store and of most peers may hide a version. What this daemon heard before
    /// it asked does not count, as it may have been cut off or suspended since.
    fn is_informed(&self) -> bool {
        self.has_learned || 2 * self.replied > self.asked
    }

    /// True if somebody who may know the stream has not replied.
    fn is_silent(&self) -> bool {
        self.replied < self.asked || !self.has_learned || !self.has_read
    }
}

/// The service and version of an origin. A daemon of an earlier release has recorded only the version, which
/// is enough where one service of the route has it.
fn of_origin(
    dispatch: &Dispatch,
    call: &Call,
    origin: &StreamOrigin,
) -> Option<(Service, Option<SoftwareVersion>)> {
    if let Some(service) = &origin.service {
        return Some((service.clone(), origin.version.clone()));
    }
    let services = possible_services(dispatch, call);
    if let [service] = services.as_slice() {
        return Some((service.clone(), origin.version.clone()));
    }
    let span_ms = dispatch.version_records.take_up_ms();
    let recent =
        dispatch.directory.with_versions(|versions, now_ms| versions.recent(span_ms, now_ms));
    let of_version = recent
        .into_iter()
        .filter(|known| known.version == origin.version && services.contains(&known.service));
    let mut of_version = of_version.map(|known| known.service);
    let service = of_version.next()?;
    of_version.next().is_none().then(|| (service, origin.version.clone()))
}

/// The only service and version at which a stream of the call's route may have begun, if it is only one.
fn only_destination(
    dispatch: &Dispatch,
    call: &Call,
) -> Option<(Service, Option<SoftwareVersion>)> {
    let services = possible_services(dispatch, call);
    let [service] = services.as_slice() else { return None };
    let version =
        dispatch.directory.only_version(service, dispatch.version_records.take_up_ms())?;
    Some((service.clone(), version))
}

/// The services at which a stream that may be taken up now may have begun, as far as this daemon has followed
/// its route.
fn possible_services(dispatch: &Dispatch, call: &Call) -> Vec<Service> {
    let since_ms = dispatch.clock.now_ms().saturating_sub(dispatch.version_records.take_up_ms());
    let mut services = dispatch.origins.services_of(&call.route, since_ms);
    services.extend(call.route.services().cloned());
    services.into_iter().collect()
}

/// The answer to a caller whose stream began at a service to which its route no longer sends requests.
fn moved(call: &Call, service: &Service) -> CallError {
    log::info!(target: "comfreymast", code = 1419, request = &*call.head.id,
        resumes:? = call.head.resumes, route = &*call.route.name, began_at = service.as_str(),
        version = call.version;
        "stream not taken up, as its route has left the service that began it");
    CallError::Refused { reason: Refusal::Moved, retry_after_ms: None }
}

/// The answer to a caller whose stream began nobody knows where.
fn unknown(dispatch: &Dispatch, call: &Call, knowledge: &Knowledge) -> CallError {
    let Knowledge { asked, replied, has_learned, has_read, .. } = *knowledge;
    let is_silent = knowledge.is_silent();
    let services = possible_services(dispatch, call).len();
    let reason = reason(dispatch, is_silent, services);
    dispatch.metrics.unknown_origins.get_or_create(&OriginLabels { reason }).inc();
    log::info!(target: "comfreymast", code = 1411, request = &*call.head.id,
        resumes:? = call.head.resumes, last_event:? = call.head.last_event, asked, replied,
        has_learned, has_read, services, reason;
        "stream not taken up, as what began it is unknown");
    let retry_after_ms = is_silent.then_some(SILENT_RETRY_MS);
    CallError::Refused { reason: Refusal::Version, retry_after_ms }
}

/// Why it is unknown what began a stream.
fn reason(dispatch: &Dispatch, is_silent: bool, services: usize) -> &'static str {
    let span_ms = dispatch.version_records.take_up_ms();
    let is_past_known =
        dispatch.directory.with_versions(|versions, now_ms| versions.is_known_for(span_ms, now_ms));
    match (is_silent, services > 1, is_past_known) {
        (true, _, _) => "no reply",
        (false, true, _) => "several services",
        (false, false, true) => "several versions",
        (false, false, false) => "earlier versions unknown",
    }
}
