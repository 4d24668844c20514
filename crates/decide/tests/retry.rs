//! Retry budgets, slow start of upstreams that failed, and jittered retry delays.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_decide::retry::{
    FULL_PERMILLE, RetryBudget, RetryOptions, SlowStartOptions, UpstreamHealth, WeightedUpstream,
    jittered_ms, least_weighted_load,
};

const OPTIONS: RetryOptions =
    RetryOptions { per_thousand_requests: 100, per_s: 1, burst: 20, max_attempts: 3 };

/// Number of retries if every request fails and takes as many retries as it can get.
fn retries_of_failing_requests(requests: u64, requests_per_ms: u64) -> u64 {
    let budget = RetryBudget::new(OPTIONS, 0);
    let mut retries = 0;
    for request in 0..requests {
        let now_ms = request / requests_per_ms;
        budget.record_request(now_ms);
        while budget.try_retry(now_ms) {
            retries += 1;
        }
    }
    retries
}

#[test]
fn retries_are_limited_to_a_tenth_of_the_requests_when_all_fail() {
    for requests in [1_000, 10_000, 100_000] {
        let duration_s = requests / 10 / 1_000;
        let max_retries = requests / 10 + 20 + duration_s + 1;
        let retries = retries_of_failing_requests(requests, 10);
        assert!(retries <= max_retries, "{retries} retries for {requests} requests");
        assert!(retries >= requests / 10, "{retries} retries for {requests} requests");
    }
}

#[test]
fn an_infrequent_caller_earns_retries_over_time() {
    let budget = RetryBudget::new(OPTIONS, 0);
    while budget.try_retry(0) {}
    assert!(!budget.try_retry(999));
    assert!(budget.try_retry(1_000));
    assert!(!budget.try_retry(1_000));
}

#[test]
fn a_budget_accumulates_at_most_its_burst() {
    let budget = RetryBudget::new(OPTIONS, 0);
    let hour_ms = 3_600_000;
    let retries = (0..1_000).filter(|_| budget.try_retry(hour_ms)).count();
    assert_eq!(retries, 20);
}

#[test]
fn an_upstream_that_failed_gets_no_work_and_then_an_increasing_share() {
    let options = SlowStartOptions { cooldown_ms: 1_000, ramp_ms: 10_000, initial_permille: 100 };
    let health = UpstreamHealth::default();
    assert_eq!(health.weight_permille(options, 0), FULL_PERMILLE);
    health.record_failure(5_000);
    assert_eq!(health.weight_permille(options, 5_999), 0);
    assert_eq!(health.weight_permille(options, 6_000), 100);
    health.record_success(6_000);
    assert_eq!(health.weight_permille(options, 6_000), 100);
    assert_eq!(health.weight_permille(options, 11_000), 550);
    assert_eq!(health.weight_permille(options, 16_000), FULL_PERMILLE);
    health.record_failure(20_000);
    assert_eq!(health.weight_permille(options, 20_000), 0);
}

#[test]
fn a_recovering_upstream_gets_work_in_proportion_to_its_weight() {
    let mut upstreams = [
        WeightedUpstream { outstanding: 0, weight_permille: 100, is_near: true },
        WeightedUpstream { outstanding: 0, weight_permille: FULL_PERMILLE, is_near: true },
    ];
    for _ in 0..110 {
        let chosen = least_weighted_load(&upstreams).unwrap();
        upstreams[chosen].outstanding += 1;
    }
    assert_eq!(upstreams.map(|upstream| upstream.outstanding), [10, 100]);
}

#[test]
fn an_upstream_with_weight_zero_is_chosen_only_if_there_is_no_other() {
    let failed = WeightedUpstream { outstanding: 0, weight_permille: 0, is_near: true };
    assert_eq!(least_weighted_load(&[failed]), Some(0));
    let recovering = WeightedUpstream { outstanding: 500, weight_permille: 100, is_near: false };
    assert_eq!(least_weighted_load(&[failed, recovering]), Some(1));
    assert_eq!(least_weighted_load(&[]), None);
}

#[test]
fn retry_delays_are_between_one_and_two_times_the_minimum() {
    assert_eq!(jittered_ms(1_000, 0), 1_000);
    assert_eq!(jittered_ms(1_000, u32::MAX / 2), 1_499);
    assert_eq!(jittered_ms(1_000, u32::MAX), 2_000);
}
