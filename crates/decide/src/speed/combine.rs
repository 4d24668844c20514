use super::{USUAL_SLOWNESS, valid_slowness, weighted_median};

/// The time in which a report loses half of its weight.
const HALF_WEIGHT_MS: f64 = 400.0;
/// How long an estimate stays as it is without new observations. Divided by the multiples beyond
/// the usual time that it states, so that an engine which was far slower soon gets a little work and
/// its recovery is seen.
const HOLD_MS: f64 = 4_000.0;
/// The time in which an estimate then gets half way back to the usual, divided in the same way.
const HALF_LIFE_MS: f64 = 5_000.0;
/// The most that one report weighs, so that one daemon does not outvote all others.
const MAX_WEIGHT_MS: f64 = 20_000.0;

/// What one daemon or data centre has observed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedReport {
    /// The slowness of the engine.
    pub slowness: f64,
    /// Time of streams that it was observed in.
    pub weight_ms: f64,
    /// When it was last observed, by the clock of this daemon.
    pub heard_ms: u64,
}

/// The slowness of an engine according to all `reports`, and when it was last observed; `None` if
/// none of them can be used.
///
/// The weighted median: a daemon that is itself slow takes all engines for slow, and the others
/// know better.
#[must_use]
pub fn combine(reports: &[SpeedReport], now_ms: u64) -> Option<SpeedReport> {
    let usable: Vec<_> = reports.iter().filter_map(|report| usable(report, now_ms)).collect();
    let heard_ms = usable.iter().map(|report| report.heard_ms).max()?;
    // Measured from the newest report, so that weights do not vanish while an engine is idle.
    let weighted = |report: &SpeedReport| {
        let age_ms = (heard_ms - report.heard_ms) as f64;
        (report.slowness, report.weight_ms * 0.5_f64.powf(age_ms / HALF_WEIGHT_MS))
    };
    let mut values: Vec<_> = usable.iter().map(weighted).collect();
    let weight_ms = values.iter().map(|(_, weight)| weight).sum::<f64>();
    let slowness = weighted_median(&mut values)?;
    Some(SpeedReport { slowness, weight_ms: weight_ms.min(MAX_WEIGHT_MS), heard_ms })
}

impl SpeedReport {
    /// The slowness now: without new observations it returns to the usual.
    #[must_use]
    pub fn aged(&self, now_ms: u64) -> f64 {
        let excess = (self.slowness - USUAL_SLOWNESS).max(1.0);
        let age_ms = now_ms.saturating_sub(self.heard_ms) as f64 - HOLD_MS / excess;
        let share = 0.5_f64.powf(age_ms.max(0.0) * excess / HALF_LIFE_MS);
        USUAL_SLOWNESS + (self.slowness - USUAL_SLOWNESS) * share
    }
}

/// The report within bounds, `None` if a figure of it is none.
fn usable(report: &SpeedReport, now_ms: u64) -> Option<SpeedReport> {
    let slowness = valid_slowness(report.slowness)?;
    let is_weighted = report.weight_ms.is_finite() && report.weight_ms > 0.0;
    is_weighted.then(|| SpeedReport {
        slowness,
        weight_ms: report.weight_ms.min(MAX_WEIGHT_MS),
        heard_ms: report.heard_ms.min(now_ms),
    })
}
