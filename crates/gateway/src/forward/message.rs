use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use comfreymast_base::{EventId, Organisation, Region, Service};
use comfreymast_decide::data_centres::RegionNeed;
use comfreymast_fleet::{KeyHolder, RetryPolicy, Route, Target};
use comfreymast_platform::{RequestHead, RequestHeadError, set_resumption};
use comfreymast_wire::news::{self, ForwardedCall, HeaderField, RegionList};
use derive_more::{Display, Error, From};
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use prost::Message;
use prost::encoding::{WireType, encode_key, encode_varint};

use crate::call::Call;
use crate::dispatch::Dispatch;

/// Why a forwarded call cannot be decoded.
#[derive(Debug, Display, Error, From)]
pub(super) enum ForwardedCallError {
    /// It is no message of this kind.
    #[display("no forwarded call: {_0}")]
    Message(prost::DecodeError),
    /// Its method, path or a header is malformed.
    #[display("malformed request: {_0}")]
    Request(hyper::http::Error),
    /// Its head lacks what each caller's request has.
    #[display("{_0}")]
    Head(RequestHeadError),
    /// It says nothing of retries, or something unknown.
    #[display("unknown retry policy")]
    #[from(ignore)]
    RetryPolicy,
}

/// A call, and what a peer needs to know beyond it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing<'a> {
    /// The call.
    pub(crate) call: &'a Call,
    /// The service whose upstreams may run it.
    pub(crate) service: &'a Service,
    /// Upstreams that may have run it already.
    pub(crate) earlier_runs: u32,
    /// The last event that its caller has of a stream that broke off here.
    pub(crate) last_event: Option<&'a EventId>,
}

/// The message that forwards a call.
pub(super) fn encode(dispatch: &Dispatch, outgoing: &Outgoing<'_>) -> ForwardedCall {
    let Outgoing { call, service, earlier_runs, last_event } = *outgoing;
    let Call { parts, route, .. } = call;
    let mut headers = parts.headers.clone();
    headers.remove(AUTHORIZATION);
    if let Some(last_event) = last_event {
        set_resumption(&mut headers, &call.head.id, last_event);
    }
    ForwardedCall {
        daemon: dispatch.settings.load().name.as_str().to_owned(),
        service: service.as_str().to_owned(),
        route: route.name.to_string(),
        retry_policy: retry_policy_message(route.retry_policy).into(),
        is_stream: route.is_stream,
        max_attempts: route.max_attempts,
        timeout_ms: route.timeout_ms,
        target_latency_ms: route.target_latency_ms,
        max_pause_ms: route.max_pause_ms,
        priority: route.priority.into(),
        key_holder: call.key_holder.as_ref().map(|holder| news::KeyHolder {
            organisation: holder.organisation.as_str().to_owned(),
            priority: holder.priority.map(u32::from),
        }),
        version: call.version,
        age_ms: call.age_ms(&dispatch.clock),
        left_ms: call.remaining_ms(&dispatch.clock),
        earlier_runs,
        method: parts.method.to_string(),
        uri: parts.uri.to_string(),
        headers: headers
            .iter()
            .map(|(name, value)| HeaderField {
                name: name.as_str().to_owned(),
                value: value.as_bytes().to_vec().into(),
            })
            .collect(),
        // Follows the message; see `with_body`.
        body: Bytes::new(),
        allowed_regions: call.regions.allowed().map(|allowed| RegionList {
            regions: allowed.iter().map(|region| region.as_str().to_owned()).collect(),
        }),
    }
}

/// The encoded message with the body of its call, which is not copied. A message may have its fields in any
/// order.
pub(super) fn with_body(message: &ForwardedCall, body: Bytes) -> [Bytes; 2] {
    const BODY_FIELD: u32 = 19;
    let mut encoded = message.encode_to_vec();
    encode_key(BODY_FIELD, WireType::LengthDelimited, &mut encoded);
    encode_varint(body.len() as u64, &mut encoded);
    [encoded.into(), body]
}

/// The call that a peer forwards, as if it had arrived here at the time at which it arrived there.
pub(super) fn decode(
    dispatch: &Dispatch,
    message: ForwardedCall,
) -> Result<Call, ForwardedCallError> {
    let now_ms = dispatch.clock.now_ms();
    let parts = request_parts(&message)?;
    let head = RequestHead::decode(&parts)?;
    let retry_policy =
        retry_policy(message.retry_policy()).ok_or(ForwardedCallError::RetryPolicy)?;
    let service = Service::from(message.service.as_str());
    let key_holder = message.key_holder.map(|holder| {
        Arc::new(KeyHolder {
            organisation: Organisation::from(holder.organisation.as_str()),
            priority: holder.priority.map(priority),
            // What it allows was put together with what its route does.
            allowed_regions: None,
        })
    });
    let allowed_regions: Option<Vec<_>> = message
        .allowed_regions
        .map(|list| list.regions.iter().map(|name| Region::from(name.as_str())).collect());
    let route = Route {
        name: message.route.into(),
        host: head.host.as_str().into(),
        path_prefix: parts.uri.path().into(),
        retry_policy,
        is_stream: message.is_stream,
        timeout_ms: message.timeout_ms,
        target_latency_ms: message.target_latency_ms,
        max_pause_ms: message.max_pause_ms,
        priority: priority(message.priority),
        max_attempts: message.max_attempts,
        is_public: key_holder.is_none(),
        allowed_regions: allowed_regions.clone(),
        targets: vec![Target { service, weight: 1 }],
    };
    Ok(Call {
        head,
        parts,
        body: message.body.into(),
        route: Arc::new(route),
        key_holder,
        regions: RegionNeed::decided(allowed_regions),
        version: message.version,
        started_ms: now_ms.saturating_sub(message.age_ms),
        timeout_at_ms: now_ms + message.left_ms,
        content: OnceLock::new(),
    })
}

fn request_parts(message: &ForwardedCall) -> Result<Parts, hyper::http::Error> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(message.method.as_bytes())?;
    *request.uri_mut() = message.uri.parse::<Uri>()?;
    let mut headers = HeaderMap::with_capacity(message.headers.len());
    for field in &message.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes())?;
        headers.append(name, HeaderValue::from_maybe_shared(field.value.clone())?);
    }
    *request.headers_mut() = headers;
    Ok(request.into_parts().0)
}

fn priority(value: u32) -> u8 {
    u8::try_from(value).unwrap_or(u8::MAX)
}

fn retry_policy_message(policy: RetryPolicy) -> news::RetryPolicy {
    match policy {
        RetryPolicy::Idempotent => news::RetryPolicy::Idempotent,
        RetryPolicy::Once => news::RetryPolicy::Once,
        RetryPolicy::Resumable => news::RetryPolicy::Resumable,
    }
}

fn retry_policy(message: news::RetryPolicy) -> Option<RetryPolicy> {
    match message {
        news::RetryPolicy::Unspecified => None,
        news::RetryPolicy::Idempotent => Some(RetryPolicy::Idempotent),
        news::RetryPolicy::Once => Some(RetryPolicy::Once),
        news::RetryPolicy::Resumable => Some(RetryPolicy::Resumable),
    }
}
