//! Runs seeds of the soak test and prints violations.

mod flags;

use std::path::PathBuf;
use std::process::ExitCode;

use comfreymast_net::Spawner;
use comfreymast_soak::{
    BadPartOptions, CrashOptions, Kind, LimitOptions, SoakError, SoakOptions, VersionOptions,
    run_bad_parts, run_crashes, run_limits, run_versions, soak,
};
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
    if let Some(per_s) = flags.limit_per_s {
        return play_limits(flags, options, per_s);
    }
    if let Some(versions) = flags.versions {
        return play_versions(flags, options, versions);
    }
    if let Some(bad_parts) = flags.bad_parts {
        return play_bad_parts(flags, options, bad_parts);
    }
    if flags.crashes {
        return play_crashes(flags, options);
    }
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

/// Lets upstreams name limits; true when they were kept and all else held.
fn play_limits(flags: &ComfreymastSoak, fleet: SoakOptions, per_s: f64) -> Result<bool, SoakError> {
    let seed = fleet.seed;
    let options = LimitOptions {
        fleet,
        per_s,
        is_skewed: flags.skewed,
        kill_interval_ms: flags.kill_interval_ms,
    };
    let report = Spawner::run(THREADS, async |spawner| run_limits(&spawner, &options).await)?;
    println!(
        "seed {seed}: {} calls, most in 4 s {:?} of {}, {} violations",
        report.calls,
        report.most_in_span,
        report.allowed as usize,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    Ok(report.is_within_limits() && report.violations.is_empty())
}

/// Lets engines of several versions break streams off; true when each went on at its version.
fn play_versions(
    flags: &ComfreymastSoak,
    fleet: SoakOptions,
    versions: usize,
) -> Result<bool, SoakError> {
    let seed = fleet.seed;
    let mut options = VersionOptions::new(fleet);
    options.fleet.versions = versions;
    options.kill_interval_ms = flags.kill_interval_ms;
    if flags.kill_all {
        options = options.kills_all();
    }
    let report = Spawner::run(THREADS, async |spawner| run_versions(&spawner, &options).await)?;
    println!("seed {seed}: {report:?}");
    Ok(report.keeps_versions() && report.goes_on())
}

/// Sends requests with parts that crash upstreams; true when all were stopped in time and all else
/// held.
fn play_bad_parts(
    flags: &ComfreymastSoak,
    fleet: SoakOptions,
    bad_parts: usize,
) -> Result<bool, SoakError> {
    let seed = fleet.seed;
    let mut options = BadPartOptions { bad_parts, ..BadPartOptions::new(fleet) };
    options.kind = if flags.once { Kind::Report } else { options.kind };
    options.crash_after_events = flags.crash_after_events.unwrap_or(options.crash_after_events);
    let crashes = &mut options.crashes;
    crashes.kill_interval_ms = flags.kill_interval_ms;
    crashes.interval_ms = flags.interval_ms.unwrap_or(crashes.interval_ms);
    crashes.restart_ms = flags.restart_ms.unwrap_or(crashes.restart_ms);
    crashes.renames_upstreams = flags.whole_service;
    let report = Spawner::run(THREADS, async |spawner| run_bad_parts(&spawner, &options).await)?;
    for part in &report.parts {
        println!("seed {seed}: {part:?}");
    }
    println!(
        "seed {seed}: sound before {:?}, after {:?}; {} others refused, {} violations",
        report.sound_before,
        report.sound_after,
        report.others_refused.len(),
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    let is_clean = report.violations.is_empty() && report.others_refused.is_empty();
    Ok(is_clean && report.not_stopped().is_empty() && report.is_sound_served())
}

/// Sends requests that crash their upstreams; true when all were stopped in time and all else held.
fn play_crashes(flags: &ComfreymastSoak, fleet: SoakOptions) -> Result<bool, SoakError> {
    let seed = fleet.seed;
    let count = flags.culprits.unwrap_or(2);
    let kinds = [Kind::Safe, Kind::Report, Kind::Plain, Kind::Caption];
    let mut options = if flags.whole_service {
        CrashOptions::whole_service(fleet, vec![Kind::Safe; count])
    } else {
        CrashOptions::new(fleet, kinds.iter().copied().cycle().take(count).collect())
    };
    options = options.kill_interval_ms(flags.kill_interval_ms);
    options.closes_accepted = flags.closes_accepted;
    options.harmless_ms = flags.harmless_ms.unwrap_or(options.harmless_ms);
    options.harmless = vec![Kind::Safe; flags.harmless.unwrap_or(0)];
    options.answer_ms = flags.answer_ms.unwrap_or(0);
    options.port_delay_ms = flags.port_delay_ms.unwrap_or(options.port_delay_ms);
    options.restart_ms = flags.restart_ms.unwrap_or(options.restart_ms);
    let report = Spawner::run(THREADS, async |spawner| run_crashes(&spawner, &options).await)?;
    for culprit in &report.culprits {
        println!("seed {seed}: {culprit:?}");
    }
    println!(
        "seed {seed}: {} other calls, {} of them refused as culprits, {} violations",
        report.other_calls,
        report.others_refused.len(),
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    let is_clean = report.violations.is_empty() && report.others_refused.is_empty();
    Ok(is_clean && report.not_stopped().is_empty())
}
