//! Whether a request is tried again, and when a caller should come back.
//!
//! * [`RetryBudget`] — what one organisation may retry, as a part of its own requests.
//! * [`UpstreamHealth`] — keeps work from an upstream that fails, and returns it slowly.
//! * [`jittered_ms`] — spreads callers that were refused together.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// What may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Retries earned by a thousand requests.
    pub per_thousand_requests: u32,
    /// Retries a second that are earned without any request, so that a rare caller gets one too.
    pub per_s: u32,
    /// The most retries that can be saved up.
    pub burst: u32,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self { per_thousand_requests: 100, per_s: 1, burst: 20, max_attempts: 3 }
    }
}

/// Thousandths of a retry.
const CREDIT: i64 = 1_000;

/// A token bucket: each request earns a part of a retry, each retry takes a whole one.
///
/// ```
/// use comfreymast_decide::retry::{RetryBudget, RetryOptions};
/// let options = RetryOptions { per_thousand_requests: 500, per_s: 0, burst: 1, max_attempts: 3 };
/// let budget = RetryBudget::new(options, 0);
/// assert!(budget.try_retry(0));
/// assert!(!budget.try_retry(0));
/// budget.request(0);
/// budget.request(0);
/// assert!(budget.try_retry(0));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    credits: AtomicI64,
    earned_ms: AtomicU64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(options: RetryOptions, now_ms: u64) -> Self {
        let credits = AtomicI64::new(i64::from(options.burst) * CREDIT);
        Self { options, credits, earned_ms: AtomicU64::new(now_ms) }
    }

    /// The most attempts of one request.
    #[must_use]
    pub fn max_attempts(&self) -> u32 {
        self.options.max_attempts
    }

    /// Counts one request of the organisation.
    pub fn request(&self, now_ms: u64) {
        self.earn_by_time(now_ms);
        self.earn(i64::from(self.options.per_thousand_requests));
    }

    /// Takes one retry, if there is one.
    pub fn try_retry(&self, now_ms: u64) -> bool {
        self.earn_by_time(now_ms);
        let take = |credits: i64| (credits >= CREDIT).then_some(credits - CREDIT);
        self.credits.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    fn earn(&self, credits: i64) {
        let full = i64::from(self.options.burst) * CREDIT;
        let earned = |held: i64| Some((held + credits).min(full));
        let _ = self.credits.fetch_update(Ordering::AcqRel, Ordering::Acquire, earned);
    }

    fn earn_by_time(&self, now_ms: u64) {
        let earned_ms = self.earned_ms.fetch_max(now_ms, Ordering::AcqRel);
        let passed_ms = now_ms.saturating_sub(earned_ms);
        // One credit a millisecond is one retry a second.
        let credits = passed_ms.saturating_mul(u64::from(self.options.per_s));
        self.earn(i64::try_from(credits).unwrap_or(i64::MAX / 2));
    }
}

/// How an upstream that fails gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartOptions {
    /// How long an upstream gets nothing after a failure.
    pub avoid_ms: u64,
    /// How long it takes from its first success until it gets its whole part again.
    pub ramp_ms: u64,
    /// The part it begins with, in thousandths.
    pub first_permille: u32,
}

impl Default for SlowStartOptions {
    fn default() -> Self {
        Self { avoid_ms: 1_000, ramp_ms: 10_000, first_permille: 100 }
    }
}

/// The part of an upstream that never failed, in thousandths.
pub const FULL_PERMILLE: u32 = 1_000;

/// Failures to connect to one upstream, and its return.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    /// Time of the last failure plus one; 0 for never.
    failed_ms: AtomicU64,
    /// Time of the first success after it plus one; 0 for none yet.
    back_ms: AtomicU64,
}

impl UpstreamHealth {
    /// A new connection failed.
    pub fn failed(&self, now_ms: u64) {
        self.failed_ms.store(now_ms + 1, Ordering::Release);
        self.back_ms.store(0, Ordering::Release);
    }

    /// A request was answered.
    pub fn answered(&self, now_ms: u64) {
        if self.failed_ms.load(Ordering::Acquire) != 0 {
            let _ =
                self.back_ms.compare_exchange(0, now_ms + 1, Ordering::AcqRel, Ordering::Acquire);
        }
    }

    /// The part of its share that the upstream should get now, in thousandths; 0 is none.
    #[must_use]
    pub fn weight_permille(&self, options: SlowStartOptions, now_ms: u64) -> u32 {
        let failed_ms = self.failed_ms.load(Ordering::Acquire);
        let back_ms = self.back_ms.load(Ordering::Acquire);
        match (failed_ms, back_ms) {
            (0, _) => FULL_PERMILLE,
            (failed_ms, 0) if now_ms + 1 - failed_ms.min(now_ms + 1) < options.avoid_ms => 0,
            (_, 0) => options.first_permille,
            (_, back_ms) => ramp(options, (now_ms + 1).saturating_sub(back_ms)),
        }
    }
}

fn ramp(options: SlowStartOptions, passed_ms: u64) -> u32 {
    if passed_ms >= options.ramp_ms {
        return FULL_PERMILLE;
    }
    let missing = u64::from(FULL_PERMILLE.saturating_sub(options.first_permille));
    let gained = missing * passed_ms / options.ramp_ms.max(1);
    options.first_permille + u32::try_from(gained).unwrap_or(FULL_PERMILLE)
}

/// One upstream that could take a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeighedUpstream {
    /// Requests it has.
    pub outstanding: u32,
    /// From [`UpstreamHealth::weight_permille`].
    pub weight_permille: u32,
    /// True when it is in this daemon's data centre.
    pub is_near: bool,
}

/// The index of the upstream with the least work for its weight; the nearer one among equals.
///
/// Upstreams without weight are used only when there is no other.
///
/// ```
/// use comfreymast_decide::retry::{WeighedUpstream, least_for_weight};
/// let new = WeighedUpstream { outstanding: 1, weight_permille: 100, is_near: true };
/// let old = WeighedUpstream { outstanding: 9, weight_permille: 1_000, is_near: true };
/// assert_eq!(least_for_weight(&[new, old]), Some(1));
/// ```
#[must_use]
pub fn least_for_weight(upstreams: &[WeighedUpstream]) -> Option<usize> {
    let cost = |upstream: &WeighedUpstream| {
        let weight = u64::from(upstream.weight_permille.max(1));
        let load = (u64::from(upstream.outstanding) + 1) * u64::from(FULL_PERMILLE) / weight;
        (upstream.weight_permille == 0, load, !upstream.is_near)
    };
    let indexed = upstreams.iter().enumerate();
    Some(indexed.min_by_key(|(_, upstream)| cost(upstream))?.0)
}

/// A time between `least_ms` and twice that. `random` is drawn evenly from all values.
#[must_use]
pub fn jittered_ms(least_ms: u64, random: u32) -> u64 {
    least_ms + least_ms * u64::from(random) / u64::from(u32::MAX)
}
