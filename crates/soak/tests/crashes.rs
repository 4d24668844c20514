//! Requests that crash the upstreams that run them are stopped on all daemons.

use comfreymast_net::Spawner;
use comfreymast_soak::{CrashOptions, CrashReport, Kind, SoakOptions, run_crashes};
use tempfile::TempDir;

const THREADS: usize = 4;
/// Long enough for a request that is not stopped to run more often than allowed.
const DURATION_MS: u64 = 9_000;

/// Sends one culprit of each kind through a small fleet, beside other callers.
fn run_culprits(kinds: &[Kind], change: impl FnOnce(&mut CrashOptions)) -> CrashReport {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned())
        .duration_ms(DURATION_MS)
        .daemons(3)
        .engines(6);
    let mut options = CrashOptions::new(fleet, kinds.to_vec());
    change(&mut options);
    run_with(&options)
}

fn run_with(options: &CrashOptions) -> CrashReport {
    let report = Spawner::run(THREADS, async |spawner| run_crashes(&spawner, options).await);
    report.expect("programs that start")
}

fn assert_stopped(report: &CrashReport) {
    // Several culprits may share an upstream; the one that does not run yet is suspected too.
    let min_runs = if report.culprits.len() == 1 { 3 } else { 1 };
    let have_run = report.culprits.iter().all(|culprit| culprit.runs >= min_runs);
    assert!(have_run, "quarantined too early: {:?}", report.culprits);
    assert_eq!(report.not_stopped(), [], "sent on after the third upstream had ended");
    assert!(report.others_refused.is_empty(), "{:?}", report.others_refused);
    let violations: Vec<_> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn an_idempotent_request_that_crashed_three_upstreams_is_not_sent_on() {
    assert_stopped(&run_culprits(&[Kind::Safe], |_| ()));
}

#[test]
fn a_request_that_may_run_once_and_crashed_three_upstreams_is_not_sent_on() {
    assert_stopped(&run_culprits(&[Kind::Plain], |_| ()));
}

#[test]
fn streams_that_crashed_three_engines_are_not_sent_on() {
    assert_stopped(&run_culprits(&[Kind::Report, Kind::Caption], |_| ()));
}

/// Daemons forget what only they know when they are killed, and upstreams that are killed for another
/// reason hide the culprits.
#[test]
fn culprits_are_found_among_kills_of_daemons_and_upstreams() {
    const KILL_INTERVAL_MS: u64 = 900;
    let change = |options: &mut CrashOptions| options.kill_interval_ms = Some(KILL_INTERVAL_MS);
    assert_stopped(&run_culprits(&[Kind::Safe, Kind::Report], change));
}

#[test]
fn a_culprit_is_not_sent_on_although_the_store_is_down() {
    let change = |options: &mut CrashOptions| options.is_store_down = true;
    assert_stopped(&run_culprits(&[Kind::Safe], change));
}

/// Each engine runs an equal request when all of them fail together.
#[test]
fn equal_requests_on_engines_that_fail_together_are_not_refused() {
    const KILL_INTERVAL_MS: u64 = 2_500;
    let change = |options: &mut CrashOptions| {
        options.kill_interval_ms = Some(KILL_INTERVAL_MS);
        options.kills_all_upstreams = true;
        options.harmless = vec![Kind::Caption; 2];
    };
    assert_stopped(&run_culprits(&[], change));
}

/// The only daemon is killed again and again, so all it knows comes from the store.
#[test]
fn a_restarted_daemon_does_not_lift_a_quarantine_by_its_own_suspicion() {
    const KILL_INTERVAL_MS: u64 = 900;
    let change = |options: &mut CrashOptions| {
        options.fleet.daemons = 1;
        options.kill_interval_ms = Some(KILL_INTERVAL_MS);
    };
    assert_stopped(&run_culprits(&[Kind::Safe, Kind::Report], change));
}

/// A process that ends may close its connections before its port, so a daemon that dials at once is
/// still accepted.
#[test]
fn culprits_are_found_although_connections_close_before_the_port() {
    for port_delay_ms in [2, 20, 50] {
        let change = |options: &mut CrashOptions| options.port_delay_ms = port_delay_ms;
        assert_stopped(&run_culprits(&[Kind::Safe, Kind::Plain], change));
    }
}

/// An upstream that is back before anybody dials it refuses nobody; only its new start tells of the end.
#[test]
fn culprits_are_found_although_their_upstreams_are_back_at_once() {
    let change = |options: &mut CrashOptions| {
        options.port_delay_ms = 1;
        options.restart_ms = 5;
    };
    assert_stopped(&run_culprits(&[Kind::Safe], change));
}

/// Before the trouble, an equal request was served, which says nothing about upstreams that start later.
#[test]
fn a_request_that_was_served_before_it_crashed_a_whole_service_is_not_sent_on() {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned()).duration_ms(DURATION_MS).daemons(3);
    let mut options = CrashOptions::whole_service(fleet, vec![Kind::Safe]);
    options.harmless_ms = 2_000;
    assert_stopped(&run_with(&options));
}

/// A process that ends may accept connections for a moment longer and close each, and its successor has another name.
#[test]
fn culprits_are_found_although_a_crashed_upstream_closes_several_new_connections_first() {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned()).duration_ms(DURATION_MS).daemons(3);
    let mut options = CrashOptions::whole_service(fleet, vec![Kind::Safe]);
    options.port_delay_ms = 40;
    options.closes_accepted = true;
    assert_stopped(&run_with(&options));
}

/// Pollers send equal requests all the time, so each upstream that ends runs some of them.
#[test]
fn equal_requests_are_not_refused_beside_culprits_that_end_a_whole_service() {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned()).duration_ms(DURATION_MS).daemons(3);
    let mut options = CrashOptions::whole_service(fleet, vec![Kind::Safe; 2]);
    options.harmless = vec![Kind::Safe; 8];
    options.answer_ms = 15;
    assert_stopped(&run_with(&options));
}
