//! Counts events over a sliding window.

const BUCKETS: usize = 10;

/// A count over a sliding window, in buckets of a tenth of its length.
#[derive(Clone, Debug)]
pub(crate) struct SlidingCount {
    bucket_ms: u64,
    newest: u64,
    buckets: [u64; BUCKETS],
}

impl SlidingCount {
    /// Creates an empty count over `window_ms`.
    pub(crate) fn new(window_ms: u64) -> Self {
        let bucket_ms = (window_ms / BUCKETS as u64).max(1);
        Self { bucket_ms, newest: 0, buckets: [0; BUCKETS] }
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now_ms: u64) {
        *self.bucket(now_ms) += 1;
    }

    /// The count of the window that ends now. It lacks up to a tenth of its length.
    pub(crate) fn total(&mut self, now_ms: u64) -> u64 {
        self.bucket(now_ms);
        self.buckets.iter().sum()
    }

    fn bucket(&mut self, now_ms: u64) -> &mut u64 {
        let current = now_ms / self.bucket_ms;
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            self.buckets[((current - step) % BUCKETS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(current);
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }
}
