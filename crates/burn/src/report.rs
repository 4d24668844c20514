use std::collections::BTreeMap;

use comfreymast_contract::ServiceLevel;
use serde::{Deserialize, Serialize};

use crate::{
    DaemonCounts, DurationHistogram, Indicator, LONG_WINDOW_MS, Row, SHORT_WINDOW_MS, SeriesCounts,
    SeriesKey,
};

/// Quantiles at which a distribution is plotted.
const QUANTILES: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Service levels and burn rates over all daemons that answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Length of the short window.
    pub short_window_ms: u64,
    /// Length of the long window.
    pub long_window_ms: u64,
    /// Daemons whose counts are included.
    pub daemons: Vec<String>,
    /// Daemons of the VM list that did not answer. Their requests are not included.
    pub missing: Vec<String>,
    /// One row for each kind of work and measured indicator.
    pub rows: Vec<Row>,
    /// Distributions of durations, for plots.
    pub distributions: Vec<Distribution>,
}

/// Distribution of the durations of one indicator for one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distribution {
    /// Organisation and kind of work.
    #[serde(flatten)]
    pub key: SeriesKey,
    /// The measured indicator.
    pub indicator: Indicator,
    /// The bound, in milliseconds.
    pub bound_ms: u64,
    /// Number of durations.
    pub count: u64,
    /// Pairs of a quantile from 0 to 1 and its duration in milliseconds.
    pub quantiles: Vec<(f64, u64)>,
}

impl Report {
    /// Merges the counts of all daemons that answered.
    ///
    /// `level` returns the service level of the contract in force. Work whose contract no longer
    /// exists is compared with the default.
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
        for series in merge_by_key(counts).values() {
            let level = level(&series.key).unwrap_or_default();
            report.add_series(series, &level);
        }
        report
    }

    /// Whether every daemon of the VM list has answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    fn add_series(&mut self, series: &SeriesCounts, level: &ServiceLevel) {
        for indicator in Indicator::ALL {
            let (short, long) = (series.short[indicator.index()], series.long[indicator.index()]);
            if long.total > 0 {
                self.rows.push(Row::new(&series.key, indicator, level, short, long));
            }
        }
        let histograms = [
            (Indicator::FirstToken, &series.first_token),
            (Indicator::BetweenTokens, &series.gaps),
        ];
        for (indicator, histogram) in histograms {
            if let (Some(bound_ms), true) = (indicator.bound_ms(level), histogram.count() > 0) {
                let distribution = Distribution {
                    key: series.key.clone(),
                    indicator,
                    bound_ms,
                    count: histogram.count(),
                    quantiles: quantiles(histogram),
                };
                self.distributions.push(distribution);
            }
        }
    }
}

fn merge_by_key(counts: &[DaemonCounts]) -> BTreeMap<SeriesKey, SeriesCounts> {
    let mut merged = BTreeMap::<SeriesKey, SeriesCounts>::new();
    for series in counts.iter().flat_map(|counts| &counts.series) {
        match merged.get_mut(&series.key) {
            Some(existing) => existing.merge(series),
            None => {
                merged.insert(series.key.clone(), series.clone());
            }
        }
    }
    merged
}

fn quantiles(histogram: &DurationHistogram) -> Vec<(f64, u64)> {
    QUANTILES.map(|quantile| (quantile, histogram.quantile_ms(quantile))).to_vec()
}
