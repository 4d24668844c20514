use hdrhistogram::Histogram;

/// With two significant digits, a bucket's width is at most 1% of its value.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Histogram of durations in milliseconds. Its range grows with the longest duration.
#[derive(Clone, Debug, PartialEq)]
pub struct DurationHistogram {
    histogram: Histogram<u32>,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("a histogram may have two significant digits"));
        Self { histogram }
    }
}

impl DurationHistogram {
    /// Records one duration.
    pub fn record_ms(&mut self, duration_ms: u64) {
        self.record_n_ms(duration_ms, 1);
    }

    /// Records `count` equal durations.
    pub fn record_n_ms(&mut self, duration_ms: u64, count: u32) {
        // An auto-resizing histogram rejects only values far beyond any real duration.
        let _ = self.histogram.record_n(duration_ms, count);
    }

    /// Adds the durations of `other`. The buckets are the same, so no precision is lost.
    pub fn merge(&mut self, other: &Self) {
        for (duration_ms, count) in other.buckets() {
            self.record_n_ms(duration_ms, count);
        }
    }

    /// The non-empty buckets: a duration that falls into the bucket, and the count.
    pub fn buckets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.histogram
            .iter_recorded()
            .map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
    }

    /// Number of recorded durations.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The duration that a share of `quantile` (0 to 1) of all durations does not exceed; 0 when the
    /// histogram is empty.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}
