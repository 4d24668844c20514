//! The estimate of an engine's speed from observations, its age, and what several daemons say.

use comfreymast_decide::speed::{
    MAX_SLOWNESS, SpeedEstimate, SpeedReport, combine, is_slow, relative_slowness,
};

const EVENT_MS: f64 = 32.0;

/// Observes a stream of events that each take `slowness` times as long, until `until_ms`. Events are
/// taken together until they span some time, as a relay does.
fn observe(estimate: &mut SpeedEstimate, slowness: f64, from_ms: u64, until_ms: u64) {
    const SPAN_MS: f64 = 80.0;
    let events = (SPAN_MS / (EVENT_MS * slowness)).ceil();
    let usual_ms = EVENT_MS * events;
    let mut now_ms = from_ms as f64;
    loop {
        now_ms += usual_ms * slowness;
        if now_ms as u64 > until_ms {
            return;
        }
        estimate.record(usual_ms * slowness, usual_ms, now_ms as u64);
    }
}

fn slowness(estimate: &SpeedEstimate) -> f64 {
    estimate.report().map_or(1.0, |report| report.slowness)
}

fn report(slowness: f64, heard_ms: u64) -> SpeedReport {
    SpeedReport { slowness, weight_ms: 1_000.0, heard_ms }
}

/// Guards against a lasting change that is known too late to be acted on within two seconds.
#[test]
fn a_change_by_a_factor_of_four_is_known_within_a_second_and_a_half() {
    let mut estimate = SpeedEstimate::default();
    observe(&mut estimate, 1.0, 0, 5_000);
    observe(&mut estimate, 4.0, 5_000, 6_500);
    assert!(slowness(&estimate) > 2.5, "{}", slowness(&estimate));
}

/// Guards against an engine that counts as slow after noise of 600 ms.
#[test]
fn noise_of_600_ms_changes_little() {
    let mut estimate = SpeedEstimate::default();
    observe(&mut estimate, 1.0, 0, 5_000);
    observe(&mut estimate, 2.5, 5_000, 5_600);
    assert!(slowness(&estimate) < 1.2, "{}", slowness(&estimate));
    observe(&mut estimate, 1.0, 5_600, 7_000);
    assert!(slowness(&estimate) < 1.2, "{}", slowness(&estimate));
}

/// Guards against one stalled answer that makes a slow engine.
#[test]
fn one_slow_answer_makes_no_slow_engine() {
    let mut estimate = SpeedEstimate::default();
    estimate.record(9_000.0, 100.0, 1_000);
    assert_eq!(estimate.report(), None);
    observe(&mut estimate, 1.0, 1_000, 3_000);
    estimate.record(9_000.0, 100.0, 3_100);
    assert!(slowness(&estimate) < 1.1, "{}", slowness(&estimate));
}

/// Guards against a crowd at an engine whose first answers are good again.
#[test]
fn recovery_is_believed_slowly() {
    let mut estimate = SpeedEstimate::default();
    observe(&mut estimate, 4.0, 0, 5_000);
    observe(&mut estimate, 1.0, 5_000, 6_000);
    assert!(slowness(&estimate) > 2.0, "{}", slowness(&estimate));
    observe(&mut estimate, 1.0, 6_000, 10_000);
    assert!(slowness(&estimate) < 1.2, "{}", slowness(&estimate));
}

/// Guards against figures that cannot be right, of a clock that jumps or of a peer.
#[test]
fn odd_figures_are_ignored_or_bounded() {
    let mut estimate = SpeedEstimate::default();
    for (took_ms, usual_ms) in [(0.0, 10.0), (10.0, 0.0), (f64::NAN, 1.0), (-5.0, 1.0)] {
        for now_ms in 0..20 {
            estimate.record(took_ms, usual_ms, now_ms);
        }
    }
    assert_eq!(estimate.report(), None);
    let odd = [f64::NAN, f64::INFINITY, -1.0, 0.0];
    let odd_slowness = odd.map(|slowness| report(slowness, 1_000));
    assert_eq!(combine(&odd_slowness, 1_000), None);
    let odd_weight = odd.map(|weight_ms| SpeedReport { weight_ms, ..report(2.0, 1_000) });
    assert_eq!(combine(&odd_weight, 1_000), None);
    let extreme = combine(&[report(1e12, u64::MAX)], 1_000).expect("a report");
    assert_eq!((extreme.slowness, extreme.heard_ms), (MAX_SLOWNESS, 1_000));
}

/// Guards against one daemon that is itself slow, or that heard an engine long ago.
#[test]
fn most_daemons_and_the_newest_reports_decide() {
    let now_ms = 10_000;
    let usual = report(1.0, now_ms);
    let combined = combine(&[usual, report(6.0, now_ms), usual], now_ms).expect("a report");
    assert!((combined.slowness - 1.0).abs() < f64::EPSILON);
    let old = report(1.0, now_ms - 3_000);
    let combined = combine(&[old, old, report(4.0, now_ms)], now_ms).expect("a report");
    assert!((combined.slowness - 4.0).abs() < f64::EPSILON);
}

/// Guards against an engine that is avoided for good, as nobody sees its recovery.
#[test]
fn an_estimate_without_observations_returns_to_the_usual() {
    let slow = report(4.0, 1_000);
    assert!(slow.aged(2_000) > 3.9);
    assert!(slow.aged(9_000) < 1.5);
    let fast = report(0.5, 1_000);
    assert!(fast.aged(4_000) < 0.51);
    assert!(fast.aged(60_000) > 0.99);
}

/// Guards against a service whose engines are all shut out, or all treated differently for nothing.
#[test]
fn slowness_is_relative_to_the_service() {
    assert_eq!(relative_slowness(&[Some(4.0), Some(4.1), Some(3.9)]), [1.0, 1.0, 1.0]);
    assert_eq!(relative_slowness(&[Some(1.0), Some(1.1), Some(0.9), None]), [1.0; 4]);
    assert_eq!(relative_slowness(&[Some(1.0), Some(4.0)]), [1.0, 4.0]);
    assert_eq!(relative_slowness(&[None, Some(4.0), None]), [1.0, 4.0, 1.0]);
    assert_eq!(relative_slowness(&[Some(4.0)]), [1.0]);
    assert_eq!(relative_slowness(&[]), Vec::<f64>::new());
    assert_eq!(relative_slowness(&[Some(f64::NAN), Some(1.0), Some(1.0)]), [1.0; 3]);
}

/// Guards against judgements that flap between two heartbeats.
#[test]
fn an_engine_stays_slow_until_it_is_clearly_usual() {
    assert!(!is_slow(1.6, false));
    assert!(is_slow(1.6, true));
    assert!(is_slow(2.0, false));
    assert!(!is_slow(1.2, true));
}
