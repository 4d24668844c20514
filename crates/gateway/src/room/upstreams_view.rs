use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::placement::PlacementOptions;
use comfreymast_decide::room::forecast::Capacity;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::EngineSpec;

use crate::dispatch::Dispatch;
use crate::named_limit::usual_wait_ms;
use crate::pause::shortest_pause_ms;
use crate::upstream_state::UpstreamState;

/// The upstreams of one service that do not leave, as they are during one walk over its queue.
pub(super) struct UpstreamsView {
    remaining: Vec<Arc<UpstreamState>>,
    /// True while they name limits or are brittle, so that room on them is not all that a stream needs.
    pub(super) is_limited: bool,
    now_ms: u64,
}

impl UpstreamsView {
    pub(super) fn new(dispatch: &Dispatch, service: &Service, now_ms: u64) -> Self {
        let upstreams = dispatch.directory.load();
        let of_service = upstreams.of_service(service);
        let remaining: Vec<_> =
            of_service.iter().filter(|upstream| !upstream.is_leaving()).cloned().collect();
        let is_brittle = upstreams
            .brittleness(service)
            .is_some_and(|brittleness| brittleness.is_brittle(now_ms));
        let is_limited = is_brittle || usual_wait_ms(&remaining).is_some();
        Self { remaining, is_limited, now_ms }
    }

    /// Those that may run a stream that needs `version`.
    pub(super) fn usable<'a>(
        &'a self,
        version: &'a VersionNeed,
    ) -> impl Iterator<Item = &'a Arc<UpstreamState>> {
        self.remaining
            .iter()
            .filter(move |upstream| version.allows(upstream.record.version.as_ref()))
    }

    /// The time until the first of those takes requests again, if none does now.
    pub(super) fn pause_ms(&self, version: &VersionNeed) -> Option<u64> {
        shortest_pause_ms(self.usable(version), self.now_ms)
    }

    /// What those have together that take requests now.
    pub(super) fn capacity(&self, version: &VersionNeed, spec: &EngineSpec) -> Capacity {
        let mut capacity = Capacity::default();
        for engine in self.usable(version).filter(|one| one.pause_left_ms(self.now_ms) == 0) {
            let usable_tokens = usable_tokens(spec);
            let reserved_tokens = reserved_tokens(engine);
            capacity.usable_tokens += usable_tokens;
            capacity.reserved_tokens += reserved_tokens;
            let free_tokens = usable_tokens.saturating_sub(reserved_tokens);
            capacity.largest_free_tokens = capacity.largest_free_tokens.max(free_tokens);
            capacity.slots += u64::from(engine.record.slots);
            capacity.runs += u64::from(engine.outstanding.load(Ordering::Acquire))
                + u64::from(engine.others_runs.load(Ordering::Acquire));
        }
        capacity
    }

    /// The engine that will first have room for the stream at the head: the one with most free memory.
    pub(super) fn first_to_have_room(
        &self,
        version: &VersionNeed,
        excluded: &[Upstream],
    ) -> Option<Upstream> {
        let usable = self.usable(version).filter(|one| !excluded.contains(&one.record.name));
        usable.min_by_key(|engine| reserved_tokens(engine)).map(|one| one.record.name.clone())
    }
}

fn usable_tokens(spec: &EngineSpec) -> u64 {
    (spec.memory_tokens as f64 * PlacementOptions::default().memory_share) as u64
}

fn reserved_tokens(engine: &UpstreamState) -> u64 {
    engine.reserved_tokens.load(Ordering::Acquire)
        + engine.others_reserved_tokens.load(Ordering::Acquire)
}
