//! Who is blamed for the deaths of engines.

use comfreymast_base::Upstream;
use comfreymast_decide::quarantine::{
    Fingerprint, QuarantineOptions, Report, Standing, SuspicionTable,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CULPRIT: Fingerprint = [99; 32];
const SETTLED_MS: u64 = 400;

fn innocent(number: u8) -> Fingerprint {
    [number; 32]
}

/// The death of an engine that ran `ran`, each with its progress; returns who is blamed.
fn die(
    table: &mut SuspicionTable,
    upstream: &str,
    ran: &[(Fingerprint, u32)],
    now_ms: u64,
) -> Vec<Fingerprint> {
    for (fingerprint, progress_tokens) in ran {
        let report = Report {
            fingerprint: *fingerprint,
            upstream: Upstream::from(upstream),
            progress_tokens: *progress_tokens,
            last_alive_ms: now_ms,
        };
        table.report(&report, now_ms);
        // All daemons hear each other's reports, some of them twice.
        table.report(&report, now_ms + 1);
    }
    table.judge(now_ms + SETTLED_MS).into_iter().map(|(fingerprint, _)| fingerprint).collect()
}

#[test]
fn a_request_is_quarantined_at_its_second_death() {
    let mut table = SuspicionTable::new(QuarantineOptions::default());
    assert_eq!(table.standing(&CULPRIT, 0), Standing::Clear);
    assert!(die(&mut table, "e0", &[(CULPRIT, 0)], 0).is_empty());
    assert_eq!(table.standing(&CULPRIT, SETTLED_MS), Standing::Suspect);
    let report = Report {
        fingerprint: CULPRIT,
        upstream: Upstream::from("e1"),
        progress_tokens: 0,
        last_alive_ms: 10_000,
    };
    table.report(&report, 10_000);
    assert_eq!(table.standing(&CULPRIT, 10_000), Standing::Unsettled);
    assert_eq!(table.judge(10_000 + SETTLED_MS), [(CULPRIT, 2)]);
    assert_eq!(table.standing(&CULPRIT, 10_000 + SETTLED_MS), Standing::Quarantined);
    assert!(table.judge(20_000).is_empty());
}

#[test]
fn a_late_report_is_of_the_same_death() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(CULPRIT, 5)], 1_000);
    // A daemon that was frozen heard the engine last before it died.
    let late = Report {
        fingerprint: CULPRIT,
        upstream: Upstream::from("e0"),
        progress_tokens: 0,
        last_alive_ms: 900,
    };
    table.report(&late, 60_000);
    assert!(table.judge(60_000 + SETTLED_MS).is_empty());
    // The engine came back under its old address, and died again.
    table.report(&Report { last_alive_ms: 69_000, ..late }, 70_000);
    assert_eq!(table.judge(70_000 + SETTLED_MS), [(CULPRIT, 2)]);
}

#[test]
fn who_shared_one_death_is_not_blamed() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(CULPRIT, 0), (innocent(1), 50), (innocent(2), 7)], 0);
    let blamed = die(&mut table, "e1", &[(CULPRIT, 0), (innocent(3), 20)], 10_000);
    assert_eq!(blamed, [CULPRIT]);
}

#[test]
fn a_tie_is_not_decided_but_broken_by_the_next_death() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(CULPRIT, 0), (innocent(1), 5)], 0);
    let tied = die(&mut table, "e1", &[(CULPRIT, 0), (innocent(1), 6)], 10_000);
    assert!(tied.is_empty());
    assert_eq!(table.standing(&innocent(1), 20_000), Standing::Suspect);
    assert_eq!(die(&mut table, "e2", &[(CULPRIT, 0), (innocent(2), 6)], 20_000), [CULPRIT]);
}

#[test]
fn progress_clears_a_request_that_was_in_every_death() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(CULPRIT, 0), (innocent(1), 100)], 0);
    let blamed = die(&mut table, "e1", &[(CULPRIT, 0), (innocent(1), 200)], 10_000);
    assert_eq!(blamed, [CULPRIT]);
}

#[test]
fn engines_that_die_without_the_request_ask_for_a_third_death() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(innocent(1), 5)], 0);
    die(&mut table, "e5", &[(innocent(2), 900)], 9_000);
    assert!(die(&mut table, "e1", &[(innocent(1), 5)], 10_000).is_empty());
    assert_eq!(die(&mut table, "e2", &[(innocent(1), 5)], 100_000), [innocent(1)]);
}

#[test]
fn old_deaths_are_forgotten() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(CULPRIT, 0)], 0);
    assert!(die(&mut table, "e1", &[(CULPRIT, 0)], 700_000).is_empty());
}

#[test]
fn a_lifted_request_starts_afresh() {
    let mut table = SuspicionTable::default();
    die(&mut table, "e0", &[(CULPRIT, 0)], 0);
    die(&mut table, "e1", &[(CULPRIT, 0)], 10_000);
    table.forget(&CULPRIT);
    assert!(table.is_empty());
    assert!(die(&mut table, "e2", &[(CULPRIT, 0)], 20_000).is_empty());
}

#[test]
fn the_table_stays_bounded() {
    let options = QuarantineOptions { max_deaths: 8, window_ms: 1_000, ..Default::default() };
    let mut table = SuspicionTable::new(options);
    for death in 0..100_u8 {
        die(&mut table, &format!("e{death}"), &[(innocent(death), 0)], u64::from(death) * 5_000);
    }
    assert_eq!(table.standing(&innocent(0), 500_000), Standing::Clear);
}

/// A culprit comes again and again; innocent streams share its engines, are resumed and go on.
#[test]
fn over_many_runs_only_the_culprit_is_ever_blamed() {
    const RUNS: u64 = 500;
    const ENGINES: usize = 8;
    const INNOCENTS: u8 = 24;
    const MAX_DEATHS: usize = 5;
    let mut worst = 0;
    for seed in 0..RUNS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut table = SuspicionTable::default();
        let mut progress = [0_u32; INNOCENTS as usize];
        let mut now_ms = 0;
        let mut deaths = 0;
        let blamed = loop {
            // Some are slow, some have just begun.
            progress.iter_mut().for_each(|tokens| *tokens += rng.random_range(0..60));
            let engine = rng.random_range(0..ENGINES);
            let shares = |rng: &mut SmallRng| rng.random_range(0..ENGINES) == engine;
            let mut ran = vec![(CULPRIT, 0)];
            for number in 0..INNOCENTS {
                if shares(&mut rng) {
                    ran.push((innocent(number), progress[usize::from(number)]));
                }
            }
            deaths += 1;
            let blamed = die(&mut table, &format!("e{deaths}"), &ran, now_ms);
            if !blamed.is_empty() {
                break blamed;
            }
            now_ms += rng.random_range(500..5_000);
        };
        assert_eq!(blamed, [CULPRIT], "seed {seed}");
        worst = worst.max(deaths);
    }
    assert!(worst <= MAX_DEATHS, "{worst} engines died");
}
