use std::net::SocketAddr;

use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::stream_origins::{OriginKey, StreamOrigin, origin_key};
use comfreymast_wire::news::{self, OriginQuery, OriginReply, news::Body};

use super::state::UnwrittenOrigin;
use crate::call::Call;
use crate::dispatch::Dispatch;

/// How many other daemons keep the record of a stream. All of a small fleet, so that it outlives the
/// loss of most of them.
pub(super) const HOLDERS: usize = 8;
/// How much longer than the time limit of its route a stream is remembered.
const TTL_MARGIN_MS: u64 = 10_000;

/// The key of an attempt of the organisation that sent `call`.
pub(super) fn key_of(call: &Call, attempt: &str) -> OriginKey {
    let organisation = call.key_holder.as_ref().map_or("", |holder| holder.organisation.as_str());
    origin_key(organisation, attempt)
}

/// Remembers at which service and version of it a call's stream began, and tells the daemons that keep its
/// record.
pub(crate) fn record_origin(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
    version: Option<SoftwareVersion>,
) {
    let key = key_of(call, &call.head.id);
    let now_ms = dispatch.clock.now_ms();
    let expires_ms = now_ms + call.route.timeout_ms + TTL_MARGIN_MS;
    let origin = StreamOrigin { service: Some(service.clone()), version, expires_ms };
    let message = message(&key, &origin, now_ms);
    dispatch.origins.record(key, origin.clone(), now_ms);
    dispatch.origins.add_unwritten(UnwrittenOrigin { service: service.clone(), key, origin });
    for addr in dispatch.peers.holders(&key, HOLDERS) {
        dispatch.outbox.send_to(addr, Body::StreamOrigin(message.clone()));
    }
}

/// Remembers the stream that a peer tells of.
pub(crate) fn handle_origin(dispatch: &Dispatch, message: &news::StreamOrigin) {
    let now_ms = dispatch.clock.now_ms();
    match decode(message, now_ms) {
        Some((key, origin)) => dispatch.origins.record(key, origin, now_ms),
        None => log::debug!("a peer sent a stream origin with an invalid key"),
    }
}

/// Answers a peer's question.
pub(crate) fn handle_query(dispatch: &Dispatch, addr: SocketAddr, query: &OriginQuery) {
    let Ok(key) = query.key[..].try_into() else {
        log::debug!("{addr} asked for a stream origin with an invalid key");
        return;
    };
    let now_ms = dispatch.clock.now_ms();
    let known = dispatch.origins.find(&key, now_ms);
    let origin = known.map(|origin| message(&key, &origin, now_ms));
    let reply = OriginReply { key: query.key.clone(), origin };
    dispatch.outbox.send_to(addr, Body::OriginReply(reply));
}

/// Passes a peer's reply to who asked, and remembers it.
pub(crate) fn handle_reply(dispatch: &Dispatch, reply: &OriginReply) {
    let Ok(key) = reply.key[..].try_into() else {
        log::debug!("a peer replied about a stream with an invalid key");
        return;
    };
    let now_ms = dispatch.clock.now_ms();
    let origin = reply.origin.as_ref().and_then(|message| decode(message, now_ms));
    let origin = origin.filter(|(named, _)| *named == key).map(|(_, origin)| origin);
    if let Some(origin) = &origin {
        dispatch.origins.record(key, origin.clone(), now_ms);
    }
    dispatch.origins.reply(&key, origin.as_ref());
}

pub(super) fn message(key: &OriginKey, origin: &StreamOrigin, now_ms: u64) -> news::StreamOrigin {
    news::StreamOrigin {
        key: key.to_vec().into(),
        version: origin.version.as_ref().map(ToString::to_string).unwrap_or_default(),
        has_version: origin.version.is_some(),
        ttl_ms: origin.expires_ms.saturating_sub(now_ms),
        service: origin.service.as_ref().map(ToString::to_string).unwrap_or_default(),
    }
}

pub(super) fn decode(
    message: &news::StreamOrigin,
    now_ms: u64,
) -> Option<(OriginKey, StreamOrigin)> {
    let key = message.key[..].try_into().ok()?;
    let version = message.has_version.then(|| SoftwareVersion::from(message.version.as_str()));
    let service = (!message.service.is_empty()).then(|| Service::from(message.service.as_str()));
    let expires_ms = now_ms.saturating_add(message.ttl_ms);
    Some((key, StreamOrigin { service, version, expires_ms }))
}
