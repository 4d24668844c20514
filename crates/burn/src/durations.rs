use hdrhistogram::Histogram;

/// Two significant digits: a bucket is at most 1% of its value wide.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of durations in milliseconds. It grows with the longest one.
#[derive(Clone, Debug, PartialEq)]
pub struct Durations {
    histogram: Histogram<u32>,
}

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("a histogram may have two significant digits"));
        Self { histogram }
    }
}

impl Durations {
    /// Adds one duration.
    pub fn record_ms(&mut self, duration_ms: u64) {
        self.record_n_ms(duration_ms, 1);
    }

    /// Adds `count` durations of the same bucket.
    pub fn record_n_ms(&mut self, duration_ms: u64, count: u32) {
        // A histogram that resizes itself refuses only what is beyond any duration.
        let _ = self.histogram.record_n(duration_ms, count);
    }

    /// Adds all of `other`; every bucket stays the bucket it was.
    pub fn merge(&mut self, other: &Self) {
        for (duration_ms, count) in other.buckets() {
            self.record_n_ms(duration_ms, count);
        }
    }

    /// The buckets that hold something: a duration of the bucket, and how many.
    pub fn buckets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.histogram
            .iter_recorded()
            .map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The duration that a share of `quantile`, from 0 to 1, does not exceed; 0 when empty.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}
