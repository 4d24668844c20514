//! Short soaks with fixed seeds, and with every seed that ever failed.
//!
//! Guarantees with a time limit are not checked here, since the result must not depend on the load
//! of the machine; `comfreymast-soak --times` checks them.

use comfreymast_net::Spawner;
use comfreymast_soak::{SoakOptions, soak};
use tempfile::TempDir;

const THREADS: usize = 4;
const DURATION_MS: u64 = 6_000;

fn assert_no_violations(seed: u64) {
    let folder = TempDir::new().expect("a folder");
    let options = SoakOptions::new(seed, folder.path().to_owned()).duration_ms(DURATION_MS);
    let report = Spawner::run(THREADS, async |spawner| soak(&spawner, &options).await);
    let report = report.expect("programs that start");
    assert!(report.runs > 0, "seed {seed}: nothing ran");
    let violations: Vec<_> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against an aborted stream that looks complete, which failed once with forty daemons. The
/// engine's stand-in dropped the error that aborts a stream when its reader was slow, so the stream
/// ended regularly.
#[test]
fn promises_hold_for_seed_8000() {
    assert_no_violations(8_000);
}

#[test]
fn promises_hold_for_seed_11() {
    assert_no_violations(11);
}

#[test]
fn promises_hold_for_seed_12() {
    assert_no_violations(12);
}

#[test]
fn promises_hold_for_seed_13() {
    assert_no_violations(13);
}
