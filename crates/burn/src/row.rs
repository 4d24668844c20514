use comfreymast_contract::ServiceLevel;
use serde::{Deserialize, Serialize};

use crate::{Counts, Indicator, SeriesKey};

/// One line of a report: one indicator of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Whose work.
    #[serde(flatten)]
    pub key: SeriesKey,
    /// What was measured.
    pub indicator: Indicator,
    /// The bound, in milliseconds, where there is one.
    pub bound_ms: Option<u64>,
    /// The share, from 0 to 1, that must keep the bound.
    pub objective: f64,
    /// The short window.
    pub short: Burn,
    /// The long window.
    pub long: Burn,
}

/// How fast one window spends the error budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// What was counted.
    #[serde(flatten)]
    pub counts: Counts,
    /// 1 spends the budget exactly; absent where nothing was measured.
    pub rate: Option<f64>,
}

impl Burn {
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
            short: Burn::new(short, level.objective),
            long: Burn::new(long, level.objective),
        }
    }

    /// True when both windows spend faster than the budget allows: it burns, and it matters.
    #[must_use]
    pub fn is_burning(&self) -> bool {
        [self.short, self.long].iter().all(|burn| burn.rate.is_some_and(|rate| rate > 1.0))
    }
}
