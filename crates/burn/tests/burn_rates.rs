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

/// Counts of one daemon: `bad` of `total` requests, all at `at_ms`, got no complete answer.
fn daemon_counts(name: &str, bad: u64, total: u64, at_ms: u64, now_ms: u64) -> DaemonCounts {
    let mut recorder = Recorder::default();
    for index in 0..total {
        let sample = Sample::outcome(key(), Indicator::Whole, index < bad);
        recorder.record(sample, at_ms);
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
    let report = report(&[daemon_counts("d0", 5, 100, 1_000, 1_000)], &[]);
    let rate = report.rows[0].short.rate.unwrap();
    assert!((rate - 1.0).abs() < 1e-9, "{rate}");
    assert!(!report.rows[0].is_burning());
}

#[test]
fn counts_of_daemons_are_added() {
    let counts =
        [daemon_counts("d0", 0, 90, 1_000, 1_000), daemon_counts("d1", 10, 10, 1_000, 1_000)];
    let report = report(&counts, &[]);
    assert_eq!(report.rows[0].long.counts, Counts { total: 100, bad: 10 });
    assert!(report.rows[0].is_burning());
}

#[test]
fn the_short_window_expires_before_the_long_one() {
    let now_ms = SHORT_WINDOW_MS * 2;
    let report = report(&[daemon_counts("d0", 10, 10, 1_000, now_ms)], &[]);
    assert_eq!(report.rows[0].short.rate, None);
    assert_eq!(report.rows[0].long.counts, Counts { total: 10, bad: 10 });
    assert!(!report.rows[0].is_burning());
}

#[test]
fn series_older_than_both_windows_are_removed() {
    let mut recorder = Recorder::default();
    recorder.record(Sample::first_token(key(), 900, 560), 0);
    assert_eq!(recorder.len(), 1);
    let counts = recorder.counts("d0", LONG_WINDOW_MS + 60_000);
    assert!(counts.series.is_empty());
    assert!(recorder.is_empty());
}

#[test]
fn no_traffic_has_no_burn_rate() {
    assert_eq!(Counts::default().burn_rate(0.95), None);
    assert!(report(&[DaemonCounts::default()], &[]).rows.is_empty());
}

#[test]
fn a_missing_daemon_is_listed_and_not_counted() {
    let report = report(&[daemon_counts("d0", 1, 10, 1_000, 1_000)], &["d1"]);
    assert!(!report.is_complete());
    assert_eq!(report.rows[0].long.counts.total, 10);
    let page = report.html().unwrap();
    assert!(page.contains("No figure holds what these daemons served: d1"));
}

#[test]
fn the_page_is_self_contained_and_has_its_plots() {
    let mut recorder = Recorder::default();
    recorder.record(Sample::first_token(key(), 300, 560), 1_000);
    recorder.record(Sample::gaps(key(), vec![10, 20, 90], 57), 1_000);
    let report = report(&[recorder.counts("d0", 1_000)], &[]);
    assert_eq!(report.rows[1].short.counts, Counts { total: 3, bad: 1 });
    let page = report.html().unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    let loading = ["src=", "href=", "@import", "url("];
    assert!(loading.iter().all(|text| !page.contains(text)), "the page loads other resources");
}

#[test]
fn a_request_at_the_bound_is_good_and_one_above_it_is_bad() {
    let mut recorder = Recorder::default();
    recorder.record(Sample::first_token(key(), 560, 560), 1_000);
    recorder.record(Sample::first_token(key(), 561, 560), 1_000);
    let counts = recorder.counts("d0", 1_000);
    assert_eq!(counts.series[0].short[0], Counts { total: 2, bad: 1 });
    assert_eq!(counts.series[0].first_token.count(), 2);
}
