//! Repeats stay within the budget of the fleet, on real daemons that lose what they have counted.

use comfreymast_net::Spawner;
use comfreymast_soak::{CrashOptions, SoakOptions, run_crashes};
use tempfile::TempDir;

const THREADS: usize = 4;
const DURATION_MS: u64 = 12_000;
/// Few callers, so that most of the budget is what is allowed beside the share of requests.
const CALLERS: usize = 1;

/// Every upstream fails each request, so that daemons would repeat all that may be.
fn assert_within_budget(change: impl FnOnce(&mut CrashOptions)) {
    let folder = TempDir::new().expect("a folder");
    let mut fleet =
        SoakOptions::new(1, folder.path().to_owned()).duration_ms(DURATION_MS).daemons(3);
    fleet.callers = CALLERS;
    let mut options = CrashOptions::new(fleet, Vec::new());
    options.plain_fails = true;
    change(&mut options);
    let report = Spawner::run(THREADS, async |spawner| run_crashes(&spawner, &options).await);
    let report = report.expect("programs that start");
    let violations: Vec<_> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(report.other_calls > 0, "nobody asked for anything");
}

#[test]
fn repeats_stay_within_the_budget_while_all_upstreams_fail() {
    assert_within_budget(|_| ());
}

#[test]
fn repeats_stay_within_the_budget_although_all_daemons_are_killed_again_and_again() {
    assert_within_budget(|options| {
        options.kill_interval_ms = Some(1_200);
        options.kills_all_daemons = true;
    });
}

/// Kills of daemons one by one, and of upstreams in between.
#[test]
fn repeats_stay_within_the_budget_although_daemons_are_killed_in_turn() {
    assert_within_budget(|options| options.kill_interval_ms = Some(500));
}
