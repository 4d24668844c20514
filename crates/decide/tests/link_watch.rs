//! Tests of when links to upstreams count as lost.

use comfreymast_base::Upstream;
use comfreymast_decide::forward_choice::{PeerView, choose_peer};
use comfreymast_decide::link_watch::{ConnectionKind, LinkWatch, LinkWatchOptions};

fn upstream(number: usize) -> Upstream {
    Upstream::from(format!("u{number}"))
}

fn watch() -> LinkWatch {
    LinkWatch::new(LinkWatchOptions::default())
}

#[test]
fn one_upstream_that_fails_again_and_again_is_no_lost_link() {
    let mut watch = watch();
    for round in 0..50 {
        assert!(!watch.record_failure(&upstream(1), ConnectionKind::New, 4, round * 10));
    }
    assert!(!watch.is_lost());
}

#[test]
fn links_are_lost_once_several_upstreams_fail_and_none_answers() {
    let mut watch = watch();
    assert!(!watch.record_failure(&upstream(1), ConnectionKind::Kept, 4, 0));
    assert!(watch.record_failure(&upstream(2), ConnectionKind::Kept, 4, 5));
    assert!(!watch.record_failure(&upstream(3), ConnectionKind::Kept, 4, 6), "known already");
    assert!(!watch.record_answer(&upstream(1), ConnectionKind::Kept, 9));
    assert!(!watch.record_answer(&upstream(1), ConnectionKind::Kept, 9), "the same one");
    assert!(watch.record_answer(&upstream(2), ConnectionKind::Kept, 9));
    assert!(!watch.is_lost());
}

#[test]
fn an_answer_between_two_failures_says_that_links_are_there() {
    let mut watch = watch();
    for round in 0..20 {
        watch.record_failure(&upstream(round), ConnectionKind::New, 9, round as u64);
        watch.record_answer(&upstream(1), ConnectionKind::New, 9);
    }
    assert!(!watch.is_lost());
}

#[test]
fn failures_that_lie_far_apart_do_not_add_up() {
    let mut watch = watch();
    for round in 0..9 {
        watch.record_failure(&upstream(round), ConnectionKind::New, 9, round as u64 * 3_000);
    }
    assert!(!watch.is_lost());
}

#[test]
fn answers_on_kept_connections_do_not_hide_that_new_ones_fail() {
    let mut watch = watch();
    for number in 0..2 {
        watch.record_failure(&upstream(number), ConnectionKind::New, 9, 0);
        assert!(!watch.record_answer(&upstream(1), ConnectionKind::Kept, 9));
    }
    assert!(watch.is_lost());
    watch.record_answer(&upstream(1), ConnectionKind::New, 9);
    assert!(watch.record_answer(&upstream(2), ConnectionKind::New, 9));
}

#[test]
fn the_only_upstream_of_a_service_is_all_its_links() {
    let mut watch = watch();
    assert!(watch.record_failure(&upstream(1), ConnectionKind::New, 1, 0));
    assert!(watch.record_answer(&upstream(1), ConnectionKind::New, 1));
}

#[test]
fn calls_go_to_the_daemon_with_few_of_them_and_rather_to_a_near_one() {
    let view = |calls, is_near| PeerView { calls, is_near };
    let even = |_| 0.5;
    assert_eq!(choose_peer(&[], even), None);
    assert_eq!(choose_peer(&[view(3, true), view(3, false)], even), Some(0));
    assert_eq!(choose_peer(&[view(9, true), view(1, false)], even), Some(1));
}
