//! Burn rates over two windows and several daemons.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_burn::{
    Counts, DaemonCounts, Indicator, LONG_WINDOW_MS, Recorder, Report, SHORT_WINDOW_MS, Sample,
    SeriesKey,
};
use comfreymast_contract::ServiceLevel;

fn key() -> SeriesKey {
    SeriesKey::new("estudio-norte", "report")
}

/// One daemon's counts: `bad` of `total` requests were not answered whole, all at `at_ms`.
fn daemon(name: &str, bad: u64, total: u64, at_ms: u64, now_ms: u64) -> DaemonCounts {
    let mut recorder = Recorder::default();
    for index in 0..total {
        let sample = Sample::outcome(key(), Indicator::Whole, index < bad);
        recorder.take(sample, at_ms);
    }
    recorder.counts(name, now_ms)
}

fn report(counts: &[DaemonCounts], missing: &[&str]) -> Report {
    let missing = missing.iter().map(|name| (*name).to_owned()).collect();
    Report::new(counts, missing, |_| Some(ServiceLevel::default()))
}

#[test]
fn a_rate_of_one_spends_the_budget_exactly() {
    // The default objective is 95 in 100.
    let report = report(&[daemon("d0", 5, 100, 1_000, 1_000)], &[]);
    let rate = report.rows[0].short.rate.unwrap();
    assert!((rate - 1.0).abs() < 1e-9, "{rate}");
    assert!(!report.rows[0].is_burning());
}

#[test]
fn daemons_add_up() {
    let counts = [daemon("d0", 0, 90, 1_000, 1_000), daemon("d1", 10, 10, 1_000, 1_000)];
    let report = report(&counts, &[]);
    assert_eq!(report.rows[0].long.counts, Counts { total: 100, bad: 10 });
    assert!(report.rows[0].is_burning());
}

#[test]
fn the_short_window_forgets_before_the_long_one() {
    let now_ms = SHORT_WINDOW_MS * 2;
    let report = report(&[daemon("d0", 10, 10, 1_000, now_ms)], &[]);
    assert_eq!(report.rows[0].short.rate, None);
    assert_eq!(report.rows[0].long.counts, Counts { total: 10, bad: 10 });
    assert!(!report.rows[0].is_burning());
}

#[test]
fn what_is_older_than_both_windows_takes_no_memory() {
    let mut recorder = Recorder::default();
    recorder.take(Sample::first_token(key(), 900, 560), 0);
    assert_eq!(recorder.len(), 1);
    let counts = recorder.counts("d0", LONG_WINDOW_MS + 60_000);
    assert!(counts.series.is_empty());
    assert!(recorder.is_empty());
}

#[test]
fn no_traffic_is_neither_good_nor_bad() {
    assert_eq!(Counts::default().burn_rate(0.95), None);
    assert!(report(&[DaemonCounts::default()], &[]).rows.is_empty());
}

#[test]
fn a_missing_daemon_is_named_and_adds_nothing() {
    let report = report(&[daemon("d0", 1, 10, 1_000, 1_000)], &["d1"]);
    assert!(!report.is_complete());
    assert_eq!(report.rows[0].long.counts.total, 10);
    let page = report.html().unwrap();
    assert!(page.contains("No figure holds what these daemons served: d1"));
}

#[test]
fn the_page_loads_nothing_and_has_its_plots() {
    let mut recorder = Recorder::default();
    recorder.take(Sample::first_token(key(), 300, 560), 1_000);
    recorder.take(Sample::gaps(key(), vec![10, 20, 90], 57), 1_000);
    let report = report(&[recorder.counts("d0", 1_000)], &[]);
    assert_eq!(report.rows[1].short.counts, Counts { total: 3, bad: 1 });
    let page = report.html().unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    let loads = ["src=", "href=", "@import", "url("];
    assert!(loads.iter().all(|load| !page.contains(load)), "the page loads something");
}

#[test]
fn a_slow_request_counts_once_against_the_bound() {
    let mut recorder = Recorder::default();
    recorder.take(Sample::first_token(key(), 560, 560), 1_000);
    recorder.take(Sample::first_token(key(), 561, 560), 1_000);
    let counts = recorder.counts("d0", 1_000);
    assert_eq!(counts.series[0].short[0], Counts { total: 2, bad: 1 });
    assert_eq!(counts.series[0].first_token.count(), 2);
}
