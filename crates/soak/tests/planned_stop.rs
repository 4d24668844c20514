//! The planned stop of one daemon cuts no request that comes late.

use comfreymast_net::Spawner;
use comfreymast_soak::{PlannedStopReport, SoakOptions, run_planned_stop};
use tempfile::TempDir;

const THREADS: usize = 4;
const CALLERS: usize = 6;
const KINDS: usize = 4;

/// Guards against requests that are passed on late in the grace period and cut at its end (LOST).
#[test]
fn requests_that_come_late_in_a_planned_stop_are_refused_and_run_nowhere() {
    let folder = TempDir::new().expect("a folder");
    let mut options = SoakOptions::new(1, folder.path().to_owned()).daemons(3);
    options.callers = CALLERS;
    let report = Spawner::run(THREADS, async |spawner| run_planned_stop(&spawner, &options).await)
        .expect("programs that start");
    let expected = PlannedStopReport { refused: CALLERS * KINDS, ..PlannedStopReport::default() };
    assert_eq!(report, expected);
}
