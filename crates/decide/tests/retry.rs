//! Retry budgets, and the return of an upstream that failed.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_decide::retry::{
    FULL_PERMILLE, RetryBudget, RetryOptions, SlowStartOptions, UpstreamHealth, WeighedUpstream,
    jittered_ms, least_for_weight,
};

const OPTIONS: RetryOptions =
    RetryOptions { per_thousand_requests: 100, per_s: 1, burst: 20, max_attempts: 3 };

/// Every request fails and asks for as many retries as it can get.
fn retries_of(requests: u64, per_ms: u64) -> u64 {
    let budget = RetryBudget::new(OPTIONS, 0);
    let mut retries = 0;
    for request in 0..requests {
        let now_ms = request / per_ms;
        budget.request(now_ms);
        while budget.try_retry(now_ms) {
            retries += 1;
        }
    }
    retries
}

#[test]
fn retries_stay_a_tenth_of_the_requests_when_all_fail() {
    for requests in [1_000, 10_000, 100_000] {
        let duration_s = requests / 10 / 1_000;
        let bound = requests / 10 + 20 + duration_s + 1;
        let retries = retries_of(requests, 10);
        assert!(retries <= bound, "{retries} retries of {requests}");
        assert!(retries >= requests / 10, "{retries} retries of {requests}");
    }
}

#[test]
fn a_rare_caller_earns_a_retry_by_time() {
    let budget = RetryBudget::new(OPTIONS, 0);
    while budget.try_retry(0) {}
    assert!(!budget.try_retry(999));
    assert!(budget.try_retry(1_000));
    assert!(!budget.try_retry(1_000));
}

#[test]
fn a_budget_saves_no_more_than_its_burst() {
    let budget = RetryBudget::new(OPTIONS, 0);
    let hour_ms = 3_600_000;
    let taken = (0..1_000).filter(|_| budget.try_retry(hour_ms)).count();
    assert_eq!(taken, 20);
}

#[test]
fn an_upstream_that_failed_gets_nothing_and_then_a_rising_part() {
    let options = SlowStartOptions { avoid_ms: 1_000, ramp_ms: 10_000, first_permille: 100 };
    let health = UpstreamHealth::default();
    assert_eq!(health.weight_permille(options, 0), FULL_PERMILLE);
    health.failed(5_000);
    assert_eq!(health.weight_permille(options, 5_999), 0);
    assert_eq!(health.weight_permille(options, 6_000), 100);
    health.answered(6_000);
    assert_eq!(health.weight_permille(options, 6_000), 100);
    assert_eq!(health.weight_permille(options, 11_000), 550);
    assert_eq!(health.weight_permille(options, 16_000), FULL_PERMILLE);
    health.failed(20_000);
    assert_eq!(health.weight_permille(options, 20_000), 0);
}

#[test]
fn an_upstream_that_comes_back_gets_its_part_of_the_work() {
    let mut upstreams = [
        WeighedUpstream { outstanding: 0, weight_permille: 100, is_near: true },
        WeighedUpstream { outstanding: 0, weight_permille: FULL_PERMILLE, is_near: true },
    ];
    for _ in 0..110 {
        let chosen = least_for_weight(&upstreams).unwrap();
        upstreams[chosen].outstanding += 1;
    }
    assert_eq!(upstreams.map(|upstream| upstream.outstanding), [10, 100]);
}

#[test]
fn without_any_weight_an_upstream_is_still_found() {
    let down = WeighedUpstream { outstanding: 0, weight_permille: 0, is_near: true };
    assert_eq!(least_for_weight(&[down]), Some(0));
    let up = WeighedUpstream { outstanding: 500, weight_permille: 100, is_near: false };
    assert_eq!(least_for_weight(&[down, up]), Some(1));
    assert_eq!(least_for_weight(&[]), None);
}

#[test]
fn callers_come_back_between_one_and_two_times_the_least() {
    assert_eq!(jittered_ms(1_000, 0), 1_000);
    assert_eq!(jittered_ms(1_000, u32::MAX / 2), 1_499);
    assert_eq!(jittered_ms(1_000, u32::MAX), 2_000);
}
