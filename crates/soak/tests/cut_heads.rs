//! Real daemons pass on no answer whose head broke off as a success.

use comfreymast_net::Spawner;
use comfreymast_soak::{SoakOptions, run_cut_heads};
use tempfile::TempDir;

const THREADS: usize = 4;

/// Guards against a success with an empty or short body where only a part of its head has come (MIXED, ORDER).
#[test]
fn an_answer_whose_head_was_cut_is_no_success() {
    let folder = TempDir::new().expect("a folder");
    let options = SoakOptions::new(1, folder.path().to_owned()).daemons(2);
    let report = Spawner::run(THREADS, async |spawner| run_cut_heads(&spawner, &options).await)
        .expect("programs that start");
    assert_eq!(report.successes, 0, "{report:?}");
    assert!(report.failures > 0, "{report:?}");
}
