//! The retry budget that all daemons share.
//!
//! Each daemon counts the requests of a service and the retries, which are the sends of a request
//! beyond its first. It learns the counts of other daemons from their heartbeats, which lag, so it
//! leaves a part of the budget unused.
//!
//! Load pattern: one daemon needs most of the retries, because its upstreams fail or leave.

/// The limit on retries in a window, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudgetOptions {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries that are allowed in addition to the ratio.
    pub slack: f64,
    /// The share of the budget that is used; the rest allows for counts that arrive late.
    pub used_share: f64,
}

/// The traffic of one service in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Requests from callers.
    pub requests: u64,
    /// Sends beyond the first of each request.
    pub retries: u64,
}

impl Traffic {
    /// The sum of the counts of two daemons or windows.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, retries: self.retries + other.retries }
    }
}

/// True when one more retry stays within the budget of `fleet`, which counts all daemons.
///
/// ```
/// use comfreymast_decide::fleet_budget::{FleetBudgetOptions, Traffic, may_retry};
/// let options = FleetBudgetOptions { ratio: 0.2, slack: 10.0, used_share: 0.8 };
/// assert!(may_retry(Traffic { requests: 100, retries: 23 }, &options));
/// assert!(!may_retry(Traffic { requests: 100, retries: 24 }, &options));
/// ```
#[must_use]
pub fn may_retry(fleet: Traffic, options: &FleetBudgetOptions) -> bool {
    let allowed = (fleet.requests as f64 * options.ratio + options.slack) * options.used_share;
    (fleet.retries + 1) as f64 <= allowed
}

const BUCKETS: usize = 10;

/// Counts over a sliding window, in buckets of a tenth of its length.
#[derive(Clone, Debug)]
pub struct TrafficWindow {
    bucket_ms: u64,
    newest: u64,
    buckets: [Traffic; BUCKETS],
}

impl TrafficWindow {
    /// Creates an empty window of `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        let bucket_ms = (window_ms / BUCKETS as u64).max(1);
        Self { bucket_ms, newest: 0, buckets: [Traffic::default(); BUCKETS] }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Counts a send beyond the first of a request.
    pub fn record_retry(&mut self, now_ms: u64) {
        self.bucket(now_ms).retries += 1;
    }

    /// The counts of the window that ends now.
    pub fn total(&mut self, now_ms: u64) -> Traffic {
        self.bucket(now_ms);
        self.buckets.iter().fold(Traffic::default(), |sum, bucket| sum.plus(*bucket))
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Traffic {
        let current = now_ms / self.bucket_ms;
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            self.buckets[((current - step) % BUCKETS as u64) as usize] = Traffic::default();
        }
        self.newest = self.newest.max(current);
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }
}
