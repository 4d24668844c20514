//! The retry budget that all daemons share.
//!
//! Each daemon counts the requests of a service and the retries, which are the sends of a request
//! beyond its first. It learns the counts of other daemons from their heartbeats, which lag, so it
//! leaves a part of the budget unused.
//!
//! Load pattern: one daemon needs most of the retries, because its upstreams fail or leave.

use crate::sliding_count::SlidingCount;

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

/// Counts over a sliding window.
#[derive(Clone, Debug)]
pub struct TrafficWindow {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl TrafficWindow {
    /// Creates an empty window of `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self { requests: SlidingCount::new(window_ms), retries: SlidingCount::new(window_ms) }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.requests.record(now_ms);
    }

    /// Counts a send beyond the first of a request.
    pub fn record_retry(&mut self, now_ms: u64) {
        self.retries.record(now_ms);
    }

    /// The counts of the window that ends now.
    pub fn total(&mut self, now_ms: u64) -> Traffic {
        Traffic { requests: self.requests.total(now_ms), retries: self.retries.total(now_ms) }
    }
}
