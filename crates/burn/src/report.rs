use std::collections::BTreeMap;

use comfreymast_contract::ServiceLevel;
use serde::{Deserialize, Serialize};

use crate::{
    DaemonCounts, Durations, Indicator, LONG_WINDOW_MS, Row, SHORT_WINDOW_MS, SeriesCounts,
    SeriesKey,
};

/// Quantiles that a distribution is drawn from.
const QUANTILES: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Service levels and error-budget burn over all daemons that answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The short window.
    pub short_window_ms: u64,
    /// The long window.
    pub long_window_ms: u64,
    /// Daemons whose counts are in the figures.
    pub daemons: Vec<String>,
    /// Daemons of the VM list that did not answer. What they served is in no figure.
    pub missing: Vec<String>,
    /// One row for each indicator that was measured.
    pub rows: Vec<Row>,
    /// Distributions of durations, for plots.
    pub distributions: Vec<Distribution>,
}

/// The durations of one indicator of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distribution {
    /// Whose work.
    #[serde(flatten)]
    pub key: SeriesKey,
    /// What was measured.
    pub indicator: Indicator,
    /// The bound, in milliseconds.
    pub bound_ms: u64,
    /// How many durations there are.
    pub count: u64,
    /// Quantile from 0 to 1, and its duration in milliseconds.
    pub quantiles: Vec<(f64, u64)>,
}

impl Report {
    /// Merges the counts of all daemons that answered.
    ///
    /// `level` finds what the contract in force promises; work without a contract any more is held
    /// against the default.
    #[must_use]
    pub fn new(
        counts: &[DaemonCounts],
        missing: Vec<String>,
        level: impl Fn(&SeriesKey) -> Option<ServiceLevel>,
    ) -> Self {
        let mut report = Self {
            short_window_ms: SHORT_WINDOW_MS,
            long_window_ms: LONG_WINDOW_MS,
            daemons: counts.iter().map(|counts| counts.daemon.clone()).collect(),
            missing,
            rows: Vec::new(),
            distributions: Vec::new(),
        };
        for series in merged(counts).values() {
            let level = level(&series.key).unwrap_or_default();
            report.add(series, &level);
        }
        report
    }

    /// True when every daemon of the VM list has answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    fn add(&mut self, series: &SeriesCounts, level: &ServiceLevel) {
        for indicator in Indicator::ALL {
            let (short, long) = (series.short[indicator.index()], series.long[indicator.index()]);
            if long.total > 0 {
                self.rows.push(Row::new(&series.key, indicator, level, short, long));
            }
        }
        let durations = [
            (Indicator::FirstToken, &series.first_token),
            (Indicator::BetweenTokens, &series.gaps),
        ];
        for (indicator, durations) in durations {
            if let (Some(bound_ms), true) = (indicator.bound_ms(level), durations.count() > 0) {
                let distribution = Distribution {
                    key: series.key.clone(),
                    indicator,
                    bound_ms,
                    count: durations.count(),
                    quantiles: quantiles(durations),
                };
                self.distributions.push(distribution);
            }
        }
    }
}

fn merged(counts: &[DaemonCounts]) -> BTreeMap<SeriesKey, SeriesCounts> {
    let mut merged = BTreeMap::<SeriesKey, SeriesCounts>::new();
    for series in counts.iter().flat_map(|counts| &counts.series) {
        match merged.get_mut(&series.key) {
            Some(known) => known.merge(series),
            None => {
                merged.insert(series.key.clone(), series.clone());
            }
        }
    }
    merged
}

fn quantiles(durations: &Durations) -> Vec<(f64, u64)> {
    QUANTILES.map(|quantile| (quantile, durations.quantile_ms(quantile))).to_vec()
}
