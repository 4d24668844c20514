use std::collections::VecDeque;

use super::{SpeedReport, USUAL_SLOWNESS, valid_slowness, weighted_median};

/// The span of observations that count. Noise that lasts less than half of it does not change the
/// median.
const WINDOW_MS: u64 = 1_300;
const MAX_OBSERVATIONS: usize = 96;
/// The most that one observation weighs, so that one stalled answer does not outweigh two others.
const MAX_WEIGHT_MS: f64 = 150.0;
/// With fewer observations or less weight in the window, the estimate stays as it is. Little enough
/// for a short answer, which may be all that a slow engine gets.
const MIN_OBSERVATIONS: usize = 3;
const MIN_TOTAL_WEIGHT_MS: f64 = 200.0;
/// How fast the estimate follows the median when the engine becomes slower.
const SLOWER_MS: f64 = 120.0;
/// The same when it becomes faster. Longer, so that the first good answers of an engine that is
/// about to be slow again attract no crowd.
const FASTER_MS: f64 = 700.0;
/// The longest time between two observations that counts as one step of smoothing.
const MAX_STEP_MS: u64 = 250;

/// What one daemon has observed of one start of an engine.
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    observations: VecDeque<Observation>,
    slowness: f64,
    updated_ms: u64,
    /// True once there was enough to go by.
    is_known: bool,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    at_ms: u64,
    slowness: f64,
    weight_ms: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            observations: VecDeque::new(),
            slowness: USUAL_SLOWNESS,
            updated_ms: 0,
            is_known: false,
        }
    }
}

impl SpeedEstimate {
    /// Records that something took `took_ms` for which a usual engine takes `usual_ms` at the same
    /// load. It weighs by its time, at most `MAX_WEIGHT_MS`.
    pub fn record(&mut self, took_ms: f64, usual_ms: f64, now_ms: u64) {
        let Some(slowness) = valid_slowness(took_ms / usual_ms) else { return };
        let weight_ms = took_ms.min(MAX_WEIGHT_MS);
        self.observations.push_back(Observation { at_ms: now_ms, slowness, weight_ms });
        self.forget_old(now_ms);
        let mut values: Vec<_> =
            self.observations.iter().map(|seen| (seen.slowness, seen.weight_ms)).collect();
        if values.len() < MIN_OBSERVATIONS || self.total_weight_ms() < MIN_TOTAL_WEIGHT_MS {
            return;
        }
        let Some(median) = weighted_median(&mut values) else { return };
        // After a pause, what is left of the old estimate is what others assume too.
        let before = self.report().map_or(USUAL_SLOWNESS, |report| report.aged(now_ms));
        let step_ms = now_ms.saturating_sub(self.updated_ms).min(MAX_STEP_MS) as f64;
        let follow_ms = if median > before { SLOWER_MS } else { FASTER_MS };
        self.slowness = before + (median - before) * (1.0 - (-step_ms / follow_ms).exp());
        self.updated_ms = now_ms;
        self.is_known = true;
    }

    /// What this daemon tells others; `None` before there was enough to go by.
    #[must_use]
    pub fn report(&self) -> Option<SpeedReport> {
        self.is_known.then(|| SpeedReport {
            slowness: self.slowness,
            weight_ms: self.total_weight_ms(),
            heard_ms: self.updated_ms,
        })
    }

    fn total_weight_ms(&self) -> f64 {
        self.observations.iter().map(|seen| seen.weight_ms).sum()
    }

    fn forget_old(&mut self, now_ms: u64) {
        let is_old = |seen: &Observation| seen.at_ms + WINDOW_MS < now_ms;
        while self.observations.front().is_some_and(is_old)
            || self.observations.len() > MAX_OBSERVATIONS
        {
            self.observations.pop_front();
        }
    }
}
