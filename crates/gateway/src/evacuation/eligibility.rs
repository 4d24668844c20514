use std::sync::Arc;

use comfreymast_base::Service;
use comfreymast_decide::data_centres::{Evacuations, RegionNeed, may_continue_at_source};
use comfreymast_platform::VmSettings;

use crate::call::Call;
use crate::call_error::Refusal;
use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// When a caller may come back whose request no upstream may get now: operators end an evacuation or change a
/// configuration by hand, so not within milliseconds.
pub(crate) const UNSERVABLE_RETRY_MS: u64 = 1_000;

/// Which upstreams may get work of a call, whatever else it needs of them. It sees one state of the
/// evacuations, so that a choice among upstreams is consistent.
pub(crate) struct Eligibility<'a> {
    evacuations: arc_swap::Guard<Arc<Evacuations>>,
    settings: arc_swap::Guard<Arc<VmSettings>>,
    regions: &'a RegionNeed,
}

impl<'a> Eligibility<'a> {
    /// The rules for a call that needs these regions, as they are now.
    pub(crate) fn new(dispatch: &Dispatch, regions: &'a RegionNeed) -> Self {
        let evacuations = dispatch.evacuation.load();
        Self { evacuations, settings: dispatch.settings.load(), regions }
    }

    /// True if `upstream` may get work of the call. Whether it takes more at this moment (pauses, places, named
    /// limits) is asked afterwards, in `plain.rs` and `generation/placement.rs`; a rule that holds for a
    /// longer time belongs here.
    pub(crate) fn allows(&self, upstream: &UpstreamState) -> bool {
        !upstream.is_leaving() && !self.is_evacuated(upstream) && self.is_in_region(upstream)
    }

    /// Why none of `upstreams`, those of a service, may get the call before operators change something. `None`
    /// if some may, or if there are none but leaving ones.
    pub(crate) fn refusal<'b>(
        &self,
        upstreams: impl Iterator<Item = &'b Arc<UpstreamState>>,
    ) -> Option<Refusal> {
        let mut refusal = None;
        for upstream in upstreams.filter(|upstream| !upstream.is_leaving()) {
            match (self.is_in_region(upstream), self.is_evacuated(upstream)) {
                (true, false) => return None,
                (true, true) => refusal = Some(Refusal::Evacuated),
                (false, _) => refusal = refusal.or(Some(Refusal::Region)),
            }
        }
        refusal
    }

    fn is_evacuated(&self, upstream: &UpstreamState) -> bool {
        self.evacuations.is_evacuated(&upstream.record.data_centre)
    }

    fn is_in_region(&self, upstream: &UpstreamState) -> bool {
        // Most calls have no limit, and need no look-up for each upstream.
        self.regions.allowed().is_none()
            || self.regions.allows(self.settings.region_of(&upstream.record.data_centre))
    }
}

/// Why no upstream of `service` may get the call before operators change something. `None` if one may.
pub(crate) fn service_refusal(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
) -> Option<Refusal> {
    let upstreams = dispatch.directory.load();
    Eligibility::new(dispatch, &call.regions).refusal(upstreams.of_service(service).iter())
}

/// True if a stopped generation may go on at `engine`, where it ran before or to which it was copied.
pub(crate) fn may_continue_at(dispatch: &Dispatch, engine: &UpstreamState) -> bool {
    let evacuations = dispatch.evacuation.load();
    let data_centre = &engine.record.data_centre;
    if !evacuations.is_evacuated(data_centre) {
        return true;
    }
    let known_for_ms = evacuations.known_for_ms(data_centre, dispatch.clock.now_ms());
    may_continue_at_source(known_for_ms, dispatch.settings.load().evacuation_ms)
}
