use super::{MAX_SLOWNESS, USUAL_SLOWNESS, valid_slowness};

/// A factor from the service's median within which an engine counts as usual, so that the spread of
/// estimates changes nothing where engines are even.
const EVEN_FACTOR: f64 = 1.2;
/// The lowest relative slowness, so that one fast engine does not draw all work.
const MIN_RELATIVE: f64 = 0.3;
/// The relative slowness from which an engine counts as slow.
const SLOW_FROM: f64 = 1.8;
/// The relative slowness below which it then counts as usual again.
const SLOW_UNTIL: f64 = 1.4;

/// The slowness of the engines of one service relative to their median; `None` stands for an engine
/// that nothing is known of.
///
/// Relative, so that a service whose engines are all slow excludes none. An engine that nothing is
/// known of counts as the median of the known ones. While only one is known, the others count as
/// usual.
#[must_use]
pub fn relative_slowness(slowness: &[Option<f64>]) -> Vec<f64> {
    let known = slowness.iter().flatten().filter_map(|slowness| valid_slowness(*slowness));
    let mut known: Vec<_> = known.collect();
    known.sort_by(f64::total_cmp);
    let is_single = known.len() == 1 && slowness.len() > 1;
    // The lower one of two, so that a slow engine beside a usual one counts as slow.
    let median = known.get(known.len().saturating_sub(1) / 2).copied();
    let median = median.filter(|_| !is_single).unwrap_or(USUAL_SLOWNESS);
    slowness.iter().map(|slowness| relative(slowness.and_then(valid_slowness), median)).collect()
}

/// True if an engine of this relative slowness counts as slow; `was_slow` if it did before.
#[must_use]
pub fn is_slow(relative: f64, was_slow: bool) -> bool {
    relative >= if was_slow { SLOW_UNTIL } else { SLOW_FROM }
}

fn relative(slowness: Option<f64>, median: f64) -> f64 {
    let Some(slowness) = slowness else { return USUAL_SLOWNESS };
    let relative = (slowness / median).clamp(MIN_RELATIVE, MAX_SLOWNESS);
    let is_even = relative < EVEN_FACTOR && relative * EVEN_FACTOR > USUAL_SLOWNESS;
    if is_even { USUAL_SLOWNESS } else { relative }
}
