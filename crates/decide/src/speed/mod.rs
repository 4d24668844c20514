//! How slow each engine of a service is, from the streams that run on it.
//!
//! Slowness is the time that an engine takes as a multiple of what a usual engine takes at the same
//! load: 1 is usual, 4 takes four times as long.
//!
//! Load pattern: engines of uneven speed, of which some become noisy for some hundred ms and some
//! four times as slow for several seconds, under a mix of long and short requests.

mod combine;
mod estimate;
mod relative;
mod usual;

pub use combine::{SpeedReport, combine};
pub use estimate::SpeedEstimate;
pub use relative::{is_slow, relative_slowness};
pub use usual::UsualEngine;

/// The slowness assumed for an engine that nothing is known of.
pub const USUAL_SLOWNESS: f64 = 1.0;
/// Slowness that is measured or told beyond these bounds counts as the bound.
pub const MIN_SLOWNESS: f64 = 0.2;
/// The upper bound. It also keeps an engine that is far slower from being excluded for good.
pub const MAX_SLOWNESS: f64 = 8.0;

/// `slowness` within its bounds; `None` if it is no positive number.
#[must_use]
pub fn valid_slowness(slowness: f64) -> Option<f64> {
    let is_valid = slowness.is_finite() && slowness > 0.0;
    is_valid.then(|| slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS))
}

/// The value at which half of the weight is reached; `None` without any weight.
fn weighted_median(values: &mut [(f64, f64)]) -> Option<f64> {
    const HALF: f64 = 0.5;
    values.sort_by(|left, right| left.0.total_cmp(&right.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() * HALF;
    let mut passed = 0.0;
    let reaches_half = |(_, weight): &&(f64, f64)| {
        passed += weight;
        passed >= half && passed > 0.0
    };
    values.iter().find(reaches_half).map(|(value, _)| *value)
}
