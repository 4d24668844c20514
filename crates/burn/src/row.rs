use comfreymast_contract::ServiceLevel;
use serde::{Deserialize, Serialize};

use crate::{Counts, Indicator, SeriesKey};

/// One row of a report: one indicator of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Organisation and kind of work.
    #[serde(flatten)]
    pub key: SeriesKey,
    /// The measured indicator.
    pub indicator: Indicator,
    /// The bound in milliseconds, if the indicator has one.
    pub bound_ms: Option<u64>,
    /// The share of measurements, from 0 to 1, that must meet the service level.
    pub objective: f64,
    /// Burn rate over the short window.
    pub short: BurnRate,
    /// Burn rate over the long window.
    pub long: BurnRate,
}

/// Burn rate of the error budget over one window, and the counts behind it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRate {
    /// The counts that the rate is computed from.
    #[serde(flatten)]
    pub counts: Counts,
    /// 1 spends the budget exactly; `None` without measurements.
    pub rate: Option<f64>,
}

impl BurnRate {
    pub(crate) fn new(counts: Counts, objective: f64) -> Self {
        Self { counts, rate: counts.burn_rate(objective) }
    }
}

impl Row {
    pub(crate) fn new(
        key: &SeriesKey,
        indicator: Indicator,
        level: &ServiceLevel,
        short: Counts,
        long: Counts,
    ) -> Self {
        Self {
            key: key.clone(),
            indicator,
            bound_ms: indicator.bound_ms(level),
            objective: level.objective,
            short: BurnRate::new(short, level.objective),
            long: BurnRate::new(long, level.objective),
        }
    }

    /// Whether both windows spend more than the budget: the short one shows that it is happening
    /// now, the long one that it is significant.
    #[must_use]
    pub fn is_burning(&self) -> bool {
        [self.short, self.long].iter().all(|burn| burn.rate.is_some_and(|rate| rate > 1.0))
    }
}
