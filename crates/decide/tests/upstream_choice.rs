//! The choice among upstreams of a plain service, of which one fails part of its requests, one is
//! slow and one is unreachable.

use comfreymast_decide::upstream_choice::{UpstreamView, choose_upstream};

fn upstream() -> UpstreamView {
    UpstreamView { is_near: true, latency_ms: 20.0, ..UpstreamView::default() }
}

fn choose(upstreams: &[UpstreamView]) -> Option<usize> {
    choose_upstream(upstreams, |_| 0.0)
}

#[test]
fn the_least_loaded_upstream_is_chosen_and_the_nearer_among_equals() {
    let busy = UpstreamView { outstanding: 3, ..upstream() };
    assert_eq!(choose(&[busy, upstream()]), Some(1));
    let far = UpstreamView { is_near: false, ..upstream() };
    assert_eq!(choose(&[far, upstream()]), Some(1));
}

#[test]
fn an_upstream_that_fails_or_is_slow_is_avoided() {
    let failing = UpstreamView { failure_rate: 0.45, ..upstream() };
    let slow = UpstreamView { latency_ms: 160.0, ..upstream() };
    let busy = UpstreamView { outstanding: 2, ..upstream() };
    assert_eq!(choose(&[failing, slow, busy]), Some(2));
}

#[test]
fn a_service_with_only_suspect_upstreams_stays_usable() {
    let suspect = UpstreamView { is_suspect: true, failure_rate: 1.0, ..upstream() };
    assert!(choose(&[suspect, suspect]).is_some());
    assert_eq!(choose(&[]), None);
}

/// Answers within less than a millisecond average to almost nothing.
#[test]
fn an_upstream_of_unknown_latency_is_used_beside_one_that_answers_at_once() {
    let fast = UpstreamView { latency_ms: 0.001, ..upstream() };
    let unknown = UpstreamView { latency_ms: 0.0, ..upstream() };
    let noise = |index| if index == 0 { 0.1 } else { 0.0 };
    assert_eq!(choose_upstream(&[fast, unknown], noise), Some(1));
}
