//! Retry budgets, slow start of upstreams that failed, and jittered retry delays.
//!
//! * [`RetryBudget`] — limits an organisation's retries to a fraction of its requests.
//! * [`UpstreamHealth`] — withholds work from a failing upstream, then ramps it up again.
//! * [`least_weighted_load`] — chooses the upstream of a call by load and that weight.
//! * [`jittered_ms`] — spreads the retries of callers that were refused at the same time.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Retries earned per thousand requests.
    pub per_thousand_requests: u32,
    /// Retries earned per second without any requests, so that infrequent callers can retry too.
    pub per_s: u32,
    /// Maximum number of retries that can accumulate.
    pub burst: u32,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self { per_thousand_requests: 100, per_s: 1, burst: 20, max_attempts: 3 }
    }
}

/// Credits are thousandths of a retry.
const CREDITS_PER_RETRY: i64 = 1_000;

/// A token bucket: each request earns a fraction of a retry, each retry spends a whole one.
///
/// ```
/// use comfreymast_decide::retry::{RetryBudget, RetryOptions};
/// let options = RetryOptions { per_thousand_requests: 500, per_s: 0, burst: 1, max_attempts: 3 };
/// let budget = RetryBudget::new(options, 0);
/// assert!(budget.try_retry(0));
/// assert!(!budget.try_retry(0));
/// budget.record_request(0);
/// budget.record_request(0);
/// assert!(budget.try_retry(0));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    credits: AtomicI64,
    last_earned_ms: AtomicU64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(options: RetryOptions, now_ms: u64) -> Self {
        let credits = AtomicI64::new(i64::from(options.burst) * CREDITS_PER_RETRY);
        Self { options, credits, last_earned_ms: AtomicU64::new(now_ms) }
    }

    /// Maximum number of attempts of one request.
    #[must_use]
    pub fn max_attempts(&self) -> u32 {
        self.options.max_attempts
    }

    /// Records one request of the organisation.
    pub fn record_request(&self, now_ms: u64) {
        self.earn_by_time(now_ms);
        self.earn(i64::from(self.options.per_thousand_requests));
    }

    /// Spends one retry. Returns false if none is available.
    pub fn try_retry(&self, now_ms: u64) -> bool {
        self.earn_by_time(now_ms);
        let spend =
            |credits: i64| (credits >= CREDITS_PER_RETRY).then_some(credits - CREDITS_PER_RETRY);
        self.credits.fetch_update(Ordering::AcqRel, Ordering::Acquire, spend).is_ok()
    }

    fn earn(&self, credits: i64) {
        let max_credits = i64::from(self.options.burst) * CREDITS_PER_RETRY;
        let add = |current: i64| Some((current + credits).min(max_credits));
        let _ = self.credits.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    fn earn_by_time(&self, now_ms: u64) {
        let last_earned_ms = self.last_earned_ms.fetch_max(now_ms, Ordering::AcqRel);
        let elapsed_ms = now_ms.saturating_sub(last_earned_ms);
        // One credit per millisecond is one retry per second.
        let credits = elapsed_ms.saturating_mul(u64::from(self.options.per_s));
        self.earn(i64::try_from(credits).unwrap_or(i64::MAX / 2));
    }
}

/// How an upstream gets work after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartOptions {
    /// How long an upstream gets no work after a failure.
    pub cooldown_ms: u64,
    /// Time from its first success until it gets its full share again.
    pub ramp_ms: u64,
    /// The share it starts with, in thousandths.
    pub initial_permille: u32,
}

impl Default for SlowStartOptions {
    fn default() -> Self {
        Self { cooldown_ms: 1_000, ramp_ms: 10_000, initial_permille: 100 }
    }
}

/// The full share, in thousandths, that an upstream without failures gets.
pub const FULL_PERMILLE: u32 = 1_000;

/// Connection failures of one upstream, and its recovery.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    /// Time of the last failure plus one; 0 if there was none.
    failed_ms: AtomicU64,
    /// Time of the first success after that failure plus one; 0 if there was none yet.
    recovered_ms: AtomicU64,
}

impl UpstreamHealth {
    /// Records that a new connection failed.
    pub fn record_failure(&self, now_ms: u64) {
        self.failed_ms.store(now_ms + 1, Ordering::Release);
        self.recovered_ms.store(0, Ordering::Release);
    }

    /// Records that a request was answered.
    pub fn record_success(&self, now_ms: u64) {
        if self.failed_ms.load(Ordering::Acquire) != 0 {
            let _ = self.recovered_ms.compare_exchange(
                0,
                now_ms + 1,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
        }
    }

    /// The fraction of its normal share that the upstream should get now, in thousandths;
    /// 0 means no work.
    #[must_use]
    pub fn weight_permille(&self, options: SlowStartOptions, now_ms: u64) -> u32 {
        let failed_ms = self.failed_ms.load(Ordering::Acquire);
        let recovered_ms = self.recovered_ms.load(Ordering::Acquire);
        match (failed_ms, recovered_ms) {
            (0, _) => FULL_PERMILLE,
            (failed_ms, 0) if now_ms + 1 - failed_ms.min(now_ms + 1) < options.cooldown_ms => 0,
            (_, 0) => options.initial_permille,
            (_, recovered_ms) => ramp(options, (now_ms + 1).saturating_sub(recovered_ms)),
        }
    }
}

fn ramp(options: SlowStartOptions, elapsed_ms: u64) -> u32 {
    if elapsed_ms >= options.ramp_ms {
        return FULL_PERMILLE;
    }
    let remaining = u64::from(FULL_PERMILLE.saturating_sub(options.initial_permille));
    let gained = remaining * elapsed_ms / options.ramp_ms.max(1);
    options.initial_permille + u32::try_from(gained).unwrap_or(FULL_PERMILLE)
}

/// A candidate upstream for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedUpstream {
    /// Number of its outstanding requests.
    pub outstanding: u32,
    /// From [`UpstreamHealth::weight_permille`].
    pub weight_permille: u32,
    /// Whether the upstream is in this daemon's data centre.
    pub is_near: bool,
}

/// The index of the upstream with the least load per weight. On a tie, an upstream in this data
/// centre is preferred.
///
/// Upstreams with weight 0 are chosen only if there are no others.
///
/// ```
/// use comfreymast_decide::retry::{WeightedUpstream, least_weighted_load};
/// let recovering = WeightedUpstream { outstanding: 1, weight_permille: 100, is_near: true };
/// let healthy = WeightedUpstream { outstanding: 9, weight_permille: 1_000, is_near: true };
/// assert_eq!(least_weighted_load(&[recovering, healthy]), Some(1));
/// ```
#[must_use]
pub fn least_weighted_load(upstreams: &[WeightedUpstream]) -> Option<usize> {
    let cost = |upstream: &WeightedUpstream| {
        let weight = u64::from(upstream.weight_permille.max(1));
        let load = (u64::from(upstream.outstanding) + 1) * u64::from(FULL_PERMILLE) / weight;
        (upstream.weight_permille == 0, load, !upstream.is_near)
    };
    let indexed = upstreams.iter().enumerate();
    Some(indexed.min_by_key(|(_, upstream)| cost(upstream))?.0)
}

/// A delay between `min_ms` and twice that, for a uniformly distributed `random`.
#[must_use]
pub fn jittered_ms(min_ms: u64, random: u32) -> u64 {
    min_ms + min_ms * u64::from(random) / u64::from(u32::MAX)
}
