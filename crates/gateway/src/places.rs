//! The places that this daemon uses at brittle upstreams.

use std::sync::atomic::Ordering;

use comfreymast_base::Service;
use comfreymast_decide::slot_share::own_slots;

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// How many more requests this daemon may have at an upstream. No limit while its service is not brittle.
pub(crate) fn free_places(dispatch: &Dispatch, upstream: &UpstreamState, now_ms: u64) -> u32 {
    if !upstream.brittleness.is_brittle(now_ms) {
        return u32::MAX;
    }
    let taken = upstream.outstanding.load(Ordering::Acquire);
    places(dispatch, upstream, now_ms).saturating_sub(taken)
}

/// The places that this daemon uses at all upstreams of a service together.
pub(crate) fn own_places(dispatch: &Dispatch, service: &Service) -> u32 {
    let now_ms = dispatch.clock.now_ms();
    let upstreams = dispatch.directory.load();
    let remaining = upstreams.of_service(service).iter();
    let remaining =
        remaining.filter(|upstream| !upstream.is_leaving() && !dispatch.is_evacuated(upstream));
    remaining.map(|upstream| places(dispatch, upstream, now_ms)).fold(0, u32::saturating_add)
}

fn places(dispatch: &Dispatch, upstream: &UpstreamState, now_ms: u64) -> u32 {
    let record = &upstream.record;
    upstream.own_slots(now_ms, || {
        let settings = dispatch.settings.load();
        let me = settings.name.as_str();
        dispatch.peers.with_names(|names| own_slots(record.name.as_str(), record.slots, me, names))
    })
}
