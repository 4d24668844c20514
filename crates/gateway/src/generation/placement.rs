use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::{DataCentre, Service, Upstream};
use comfreymast_decide::data_centres::RegionNeed;
use comfreymast_decide::placement::{EngineView, PlacementOptions, choose_engine, has_room};
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::EngineSpec;

use crate::cold::retain_with_turns;
use crate::dispatch::Dispatch;
use crate::evacuation::{Eligibility, without_returning};
use crate::named_limit::retain_within_limits;
use crate::places::free_places;
use crate::upstream_state::UpstreamState;

const CHOICE_NOISE: f64 = 0.03;
/// The speed of an engine relative to its service while speeds are not counted.
const USUAL_SPEED: f64 = 1.0;
/// The failure rate that is assumed for an engine that could not be reached recently.
const SUSPECT_FAILURE_RATE: f64 = 1.0;

/// What a generation needs of its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementNeed<'a> {
    /// The service whose engines may run it.
    pub(crate) service: &'a Service,
    /// What these engines are.
    pub(crate) spec: &'a EngineSpec,
    /// The software versions that may run it.
    pub(crate) version: &'a VersionNeed,
    /// The regions whose engines may run it.
    pub(crate) regions: &'a RegionNeed,
    /// The memory it will hold.
    pub(crate) tokens: u64,
    /// The data centre that is preferred.
    pub(crate) near: &'a DataCentre,
    /// The engines that may not run it.
    pub(crate) excluded: &'a [Upstream],
}

/// Chooses an engine for a generation.
pub(crate) fn place(
    dispatch: &Dispatch,
    need: &PlacementNeed<'_>,
    options: &PlacementOptions,
) -> Option<Placement> {
    dispatch.apply_peer_updates();
    let upstreams = dispatch.directory.load();
    let eligibility = Eligibility::new(dispatch, need.regions);
    let is_eligible = |engine: &&Arc<UpstreamState>| {
        eligibility.allows(engine)
            && !need.excluded.contains(&engine.record.name)
            && need.version.allows(engine.record.version.as_ref())
    };
    let of_service = upstreams.of_service(need.service).iter();
    let candidates: Vec<_> = of_service.filter(is_eligible).collect();
    if let Some(fewer) = without_returning(dispatch, &candidates)
        && let Some(placed) = place_among(dispatch, fewer, need, options)
    {
        return Some(placed);
    }
    place_among(dispatch, candidates, need, options)
}

/// Chooses one of `candidates`, which may all run the generation.
fn place_among(
    dispatch: &Dispatch,
    mut candidates: Vec<&Arc<UpstreamState>>,
    need: &PlacementNeed<'_>,
    options: &PlacementOptions,
) -> Option<Placement> {
    let PlacementNeed { spec, tokens: need_tokens, near, .. } = *need;
    let now_ms = dispatch.clock.now_ms();
    candidates.retain(|engine| engine.pause_left_ms(now_ms) == 0);
    candidates.retain(|engine| free_places(dispatch, engine, now_ms) > 0);
    retain_with_turns(dispatch, &mut candidates);
    retain_within_limits(dispatch, &mut candidates);
    let views: Vec<_> = candidates
        .iter()
        .map(|engine| {
            let data_centre = &engine.record.data_centre;
            let same_centre =
                candidates.iter().filter(|other| other.record.data_centre == *data_centre);
            let has_neighbour = same_centre.count() > 1;
            let speed =
                if dispatch.options.places_by_speed { engine.speed.speed() } else { USUAL_SPEED };
            let is_near = data_centre == near;
            EngineView { has_neighbour, is_near, speed, ..view(engine, spec, now_ms) }
        })
        .collect();
    let noise = |_| rand::random::<f64>() * CHOICE_NOISE;
    let chosen = choose_engine(&views, need_tokens, options, noise)?;
    let with_room = views.iter().filter(|view| has_room(view, need_tokens, options));
    let (near, far): (Vec<&EngineView>, Vec<_>) = with_room.partition(|view| view.is_near);
    Some(Placement {
        upstream: candidates.get(chosen).map(|engine| Arc::clone(engine))?,
        view: *views.get(chosen)?,
        near_with_room: near.len(),
        far_with_room: far.len(),
    })
}

/// The chosen engine, and the figures behind the choice.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// The engine.
    pub(crate) upstream: Arc<UpstreamState>,
    /// Its figures at the time of the choice.
    pub(crate) view: EngineView,
    /// The number of engines with room in the preferred data centre.
    pub(crate) near_with_room: usize,
    /// The number of engines with room in other data centres.
    pub(crate) far_with_room: usize,
}

fn view(engine: &UpstreamState, spec: &EngineSpec, now_ms: u64) -> EngineView {
    let own_runs = engine.outstanding.load(Ordering::Acquire);
    let own_tokens = engine.reserved_tokens.load(Ordering::Acquire);
    let is_suspect = engine.is_suspect(now_ms);
    EngineView {
        memory_tokens: spec.memory_tokens,
        reserved_tokens: own_tokens + engine.others_reserved_tokens.load(Ordering::Acquire),
        prefill_tokens: engine.prefill_tokens.load(Ordering::Acquire)
            + engine.others_prefill_tokens.load(Ordering::Acquire),
        runs: own_runs + engine.others_runs.load(Ordering::Acquire),
        slots: engine.record.slots,
        is_near: false,
        has_neighbour: false,
        cold_ms: engine.cold_ms(now_ms),
        failure_rate: if is_suspect { SUSPECT_FAILURE_RATE } else { engine.failure_rate() },
        speed: USUAL_SPEED,
    }
}
