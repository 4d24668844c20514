//! A stream stays with the software version that began it.

use comfreymast_net::Spawner;
use comfreymast_soak::{SoakOptions, VersionOptions, VersionReport, run_versions};
use tempfile::TempDir;

const THREADS: usize = 4;
const DURATION_MS: u64 = 8_000;
/// As many streams that are taken up as the comparison with new ones needs.
const MIN_TAKEN_UP: usize = 12;

fn run(change: impl FnOnce(&mut VersionOptions)) -> VersionReport {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned())
        .duration_ms(DURATION_MS)
        .daemons(3)
        .engines(8);
    let mut options = VersionOptions::new(fleet);
    change(&mut options);
    Spawner::run(THREADS, async |spawner| run_versions(&spawner, &options).await)
        .expect("programs that start")
}

fn assert_kept(report: &VersionReport) {
    assert!(report.keeps_versions(), "streams of two versions: {report:?}");
    assert!(report.taken_up >= MIN_TAKEN_UP, "{report:?}");
    assert!(report.goes_on(), "streams are not taken up: {report:?}");
}

#[test]
fn a_stream_goes_on_only_at_the_version_that_began_it() {
    assert_kept(&run(|_| ()));
}

/// Daemons that are killed leave streams behind that only others can take up.
#[test]
fn a_stream_that_a_killed_daemon_began_is_taken_up_at_its_version() {
    assert_kept(&run(|options| options.kill_interval_ms = Some(700)));
}

/// Each time a new version has just replaced one engine.
#[test]
fn streams_that_outlive_all_daemons_are_taken_up_at_their_version() {
    assert_kept(&run(|options| {
        *options = options.clone().kills_all();
        options.kill_interval_ms = Some(1_500);
    }));
}

/// Guards against streams that are joined by a daemon which has not seen their version (ORDER).
#[test]
fn streams_of_a_version_that_joined_while_a_daemon_stood_still_are_not_joined_there() {
    assert_kept(&run(|options| {
        *options = options.clone().suspends();
        options.kill_interval_ms = Some(300);
        options.fleet.duration_ms = 2 * DURATION_MS;
    }));
}
