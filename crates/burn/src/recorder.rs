use std::collections::HashMap;

use crate::series::Series;
use crate::{DaemonCounts, Sample, SeriesKey};

/// Measurements of one daemon over the last hour.
///
/// An organisation that sends nothing for an hour takes no memory.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    series: HashMap<SeriesKey, Series>,
}

impl Recorder {
    /// Records one sample.
    pub fn record(&mut self, sample: Sample, now_ms: u64) {
        if let Some(series) = self.series.get_mut(&sample.key) {
            return series.record(&sample, now_ms);
        }
        // Removes idle series before a new one is added, so that they don't accumulate.
        self.series.retain(|_, series| !series.is_idle(now_ms));
        self.series.entry(sample.key.clone()).or_default().record(&sample, now_ms);
    }

    /// Number of series, one for each organisation and kind of work.
    #[must_use]
    pub fn len(&self) -> usize {
        self.series.len()
    }

    /// Whether there are no series.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.series.is_empty()
    }

    /// Counts of both windows at `now_ms`; removes idle series.
    #[must_use]
    pub fn counts(&mut self, daemon: &str, now_ms: u64) -> DaemonCounts {
        self.series.retain(|_, series| !series.is_idle(now_ms));
        let mut series: Vec<_> =
            self.series.iter_mut().map(|(key, series)| series.counts(key, now_ms)).collect();
        series.sort_by(|left, right| left.key.cmp(&right.key));
        DaemonCounts { daemon: daemon.to_owned(), series }
    }
}
