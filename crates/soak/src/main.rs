//! Runs seeds of the soak test and prints violations.

mod flags;

use std::path::PathBuf;
use std::process::ExitCode;

use comfreymast_net::Spawner;
use comfreymast_soak::{SoakError, SoakOptions, soak};
use flags::ComfreymastSoak;

const THREADS: usize = 4;
const MS_PER_S: u64 = 1_000;

fn main() -> ExitCode {
    let flags = ComfreymastSoak::from_env_or_exit();
    let first = flags.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut exit = ExitCode::SUCCESS;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        match run_seed(&flags, seed) {
            Ok(true) => {}
            Ok(false) => exit = ExitCode::FAILURE,
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                exit = ExitCode::FAILURE;
            }
        }
    }
    exit
}

/// Runs one seed; true when it found no violation.
fn run_seed(flags: &ComfreymastSoak, seed: u64) -> Result<bool, SoakError> {
    let base = flags.folder.clone().unwrap_or_else(|| std::env::temp_dir().join("soak"));
    let folder: PathBuf = base.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder).map_err(comfreymast_proof::ProofError::from)?;
    let options = SoakOptions::new(seed, folder.clone())
        .duration_ms(flags.seconds.unwrap_or(10) * MS_PER_S)
        .daemons(flags.daemons.unwrap_or(4))
        .engines(flags.engines.unwrap_or(4))
        .checks_times(flags.times);
    let report = Spawner::run(THREADS, async |spawner| soak(&spawner, &options).await)?;
    println!(
        "seed {seed}: {} faults, {} calls, {} runs, {} violations",
        report.faults,
        report.calls,
        report.runs,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    if !report.violations.is_empty() {
        println!("  logs in {}", folder.display());
    }
    Ok(report.violations.is_empty())
}
