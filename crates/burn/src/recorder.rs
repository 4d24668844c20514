use std::collections::HashMap;

use crate::series::Series;
use crate::{DaemonCounts, Sample, SeriesKey};

/// The measurements of one daemon over the last hour.
///
/// An organisation that sends nothing for an hour takes no memory.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    series: HashMap<SeriesKey, Series>,
}

impl Recorder {
    /// Takes one sample in.
    pub fn take(&mut self, sample: Sample, now_ms: u64) {
        if let Some(series) = self.series.get_mut(&sample.key) {
            return series.take(&sample, now_ms);
        }
        // A new key is the moment to let go of the idle ones.
        self.series.retain(|_, series| !series.is_idle(now_ms));
        self.series.entry(sample.key.clone()).or_default().take(&sample, now_ms);
    }

    /// How many kinds of work are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.series.len()
    }

    /// True when nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.series.is_empty()
    }

    /// The counts of both windows as they are now.
    #[must_use]
    pub fn counts(&mut self, daemon: &str, now_ms: u64) -> DaemonCounts {
        self.series.retain(|_, series| !series.is_idle(now_ms));
        let mut series: Vec<_> =
            self.series.iter_mut().map(|(key, series)| series.counts(key, now_ms)).collect();
        series.sort_by(|one, other| one.key.cmp(&other.key));
        DaemonCounts { daemon: daemon.to_owned(), series }
    }
}
