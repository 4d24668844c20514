use std::collections::BTreeMap;
use std::sync::Arc;

use comfreymast_base::DataCentre;
use comfreymast_decide::data_centres::ReturnOptions;

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// Leaves out data centres to which traffic returns after an evacuation, each with the chance of the share
/// that it does not get yet. `None` if that changes nothing, or leaves nothing. The caller tries all candidates
/// if those that are left do not do, so that nothing is rejected for a gradual return.
pub(crate) fn without_returning<'a>(
    dispatch: &Dispatch,
    candidates: &[&'a Arc<UpstreamState>],
) -> Option<Vec<&'a Arc<UpstreamState>>> {
    let options = ReturnOptions::default();
    let evacuations = dispatch.evacuation.load();
    let now_ms = dispatch.clock.now_ms();
    if !evacuations.has_returning(&options, now_ms) {
        return None;
    }
    let mut draws: BTreeMap<&DataCentre, bool> = BTreeMap::new();
    let kept: Vec<_> = candidates
        .iter()
        .filter(|upstream| {
            let data_centre = &upstream.record.data_centre;
            *draws.entry(data_centre).or_insert_with(|| {
                rand::random::<f64>() < evacuations.share(data_centre, &options, now_ms)
            })
        })
        .copied()
        .collect();
    (!kept.is_empty() && kept.len() < candidates.len()).then_some(kept)
}
