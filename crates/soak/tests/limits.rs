//! Upstreams that name limits get no more from real daemons, some of which are killed.

use comfreymast_net::Spawner;
use comfreymast_soak::{LimitOptions, SoakOptions, run_limits};
use tempfile::TempDir;

const THREADS: usize = 4;

#[test]
fn upstreams_get_no_more_than_they_name_although_daemons_are_killed() {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned()).duration_ms(9_000).daemons(3);
    let options =
        LimitOptions { fleet, per_s: 3.0, is_skewed: false, kill_interval_ms: Some(1_500) };
    let report = Spawner::run(THREADS, async |spawner| run_limits(&spawner, &options).await);
    let report = report.expect("programs that start");
    assert!(report.is_within_limits(), "{report:?}");
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.calls > 0, "nobody asked for anything");
}
