//! Which requests are quarantined after engine deaths.

use comfreymast_base::Upstream;
use comfreymast_decide::quarantine::{
    DeathReport, Fingerprint, QuarantineOptions, QuarantineStatus, RecentSuccesses, RequestContent,
    SuccessEffect, SuspicionTable,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CULPRIT: Fingerprint = [99; 32];
const SETTLED_MS: u64 = 400;

fn bystander(number: u8) -> Fingerprint {
    [number; 32]
}

/// Records the death of an engine that ran `running`, requests with their progress, and returns the
/// culprits.
fn record_death(
    table: &mut SuspicionTable,
    upstream: &str,
    running: &[(Fingerprint, u32)],
    now_ms: u64,
) -> Vec<Fingerprint> {
    for (fingerprint, progress_tokens) in running {
        let report = DeathReport {
            content: RequestContent::whole(*fingerprint),
            upstream: Upstream::from(upstream),
            progress_tokens: *progress_tokens,
            last_alive_ms: now_ms,
            known_since_ms: Some(0),
        };
        table.record(&report, now_ms);
        // Daemons receive each other's reports, some of them twice.
        table.record(&report, now_ms + 1);
    }
    table
        .find_culprits(now_ms + SETTLED_MS)
        .into_iter()
        .map(|(fingerprint, _)| fingerprint)
        .collect()
}

#[test]
fn a_request_is_quarantined_at_its_second_death() {
    let mut table = SuspicionTable::new(QuarantineOptions::default());
    assert_eq!(table.status(&CULPRIT, 0), QuarantineStatus::Clear);
    assert!(record_death(&mut table, "e0", &[(CULPRIT, 0)], 0).is_empty());
    assert_eq!(table.status(&CULPRIT, SETTLED_MS), QuarantineStatus::Suspect);
    let report = DeathReport {
        content: RequestContent::whole(CULPRIT),
        upstream: Upstream::from("e1"),
        progress_tokens: 0,
        last_alive_ms: 10_000,
        known_since_ms: None,
    };
    table.record(&report, 10_000);
    assert_eq!(table.status(&CULPRIT, 10_000), QuarantineStatus::Pending);
    assert_eq!(table.find_culprits(10_000 + SETTLED_MS), [(CULPRIT, 2)]);
    assert_eq!(table.status(&CULPRIT, 10_000 + SETTLED_MS), QuarantineStatus::Quarantined);
    assert!(table.find_culprits(20_000).is_empty());
}

#[test]
fn a_late_report_is_of_the_same_death() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 5)], 1_000);
    // A daemon that was paused last heard from the engine before it died.
    let late_report = DeathReport {
        content: RequestContent::whole(CULPRIT),
        upstream: Upstream::from("e0"),
        progress_tokens: 0,
        last_alive_ms: 900,
        known_since_ms: None,
    };
    table.record(&late_report, 60_000);
    assert!(table.find_culprits(60_000 + SETTLED_MS).is_empty());
    // The engine restarted at the same address and died again.
    table.record(&DeathReport { last_alive_ms: 69_000, ..late_report }, 70_000);
    assert_eq!(table.find_culprits(70_000 + SETTLED_MS), [(CULPRIT, 2)]);
}

#[test]
fn reports_that_arrive_again_do_not_postpone_the_verdict() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0)], 0);
    let report = DeathReport {
        content: RequestContent::whole(CULPRIT),
        upstream: Upstream::from("e1"),
        progress_tokens: 0,
        last_alive_ms: 10_000,
        known_since_ms: None,
    };
    assert_eq!(table.record(&report, 10_000), Some(2));
    assert_eq!(table.record(&report, 10_250), None);
    assert_eq!(table.find_culprits(10_000 + SETTLED_MS), [(CULPRIT, 2)]);
}

#[test]
fn a_request_that_shared_one_death_is_not_quarantined() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0), (bystander(1), 50), (bystander(2), 7)], 0);
    let culprits = record_death(&mut table, "e1", &[(CULPRIT, 0), (bystander(3), 20)], 10_000);
    assert_eq!(culprits, [CULPRIT]);
}

#[test]
fn a_tie_is_resolved_only_by_the_next_death() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0), (bystander(1), 5)], 0);
    let tied_culprits = record_death(&mut table, "e1", &[(CULPRIT, 0), (bystander(1), 6)], 10_000);
    assert!(tied_culprits.is_empty());
    assert_eq!(table.status(&bystander(1), 20_000), QuarantineStatus::Suspect);
    assert_eq!(
        record_death(&mut table, "e2", &[(CULPRIT, 0), (bystander(2), 6)], 20_000),
        [CULPRIT]
    );
}

#[test]
fn progress_clears_a_request_that_was_in_every_death() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0), (bystander(1), 100)], 0);
    let culprits = record_death(&mut table, "e1", &[(CULPRIT, 0), (bystander(1), 200)], 10_000);
    assert_eq!(culprits, [CULPRIT]);
}

#[test]
fn a_third_death_is_required_when_other_engines_die_without_the_request() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(bystander(1), 5)], 0);
    record_death(&mut table, "e5", &[(bystander(2), 900)], 9_000);
    assert!(record_death(&mut table, "e1", &[(bystander(1), 5)], 10_000).is_empty());
    assert_eq!(record_death(&mut table, "e2", &[(bystander(1), 5)], 100_000), [bystander(1)]);
}

#[test]
fn old_deaths_are_forgotten() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0)], 0);
    assert!(record_death(&mut table, "e1", &[(CULPRIT, 0)], 700_000).is_empty());
}

#[test]
fn a_lifted_quarantine_forgets_earlier_deaths() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0)], 0);
    record_death(&mut table, "e1", &[(CULPRIT, 0)], 10_000);
    table.forget(&CULPRIT);
    assert!(table.is_empty());
    assert!(record_death(&mut table, "e2", &[(CULPRIT, 0)], 20_000).is_empty());
}

#[test]
fn the_table_stays_bounded() {
    let options = QuarantineOptions { max_deaths: 8, window_ms: 1_000, ..Default::default() };
    let mut table = SuspicionTable::new(options);
    for death in 0..100_u8 {
        record_death(
            &mut table,
            &format!("e{death}"),
            &[(bystander(death), 0)],
            u64::from(death) * 5_000,
        );
    }
    assert_eq!(table.status(&bystander(0), 500_000), QuarantineStatus::Clear);
}

/// The culprit is retried after each death; other streams share its engines, are resumed and make
/// progress.
#[test]
fn only_the_culprit_is_quarantined_over_many_runs() {
    const RUNS: u64 = 500;
    const ENGINES: usize = 8;
    const BYSTANDERS: u8 = 24;
    const MAX_DEATHS: usize = 5;
    let mut most_deaths = 0;
    for seed in 0..RUNS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut table = SuspicionTable::default();
        let mut progress = [0_u32; BYSTANDERS as usize];
        let mut now_ms = 0;
        let mut deaths = 0;
        let culprits = loop {
            // Some streams are slow, some have just begun.
            progress.iter_mut().for_each(|tokens| *tokens += rng.random_range(0..60));
            let engine = rng.random_range(0..ENGINES);
            let shares = |rng: &mut SmallRng| rng.random_range(0..ENGINES) == engine;
            let mut running = vec![(CULPRIT, 0)];
            for number in 0..BYSTANDERS {
                if shares(&mut rng) {
                    running.push((bystander(number), progress[usize::from(number)]));
                }
            }
            deaths += 1;
            let culprits = record_death(&mut table, &format!("e{deaths}"), &running, now_ms);
            if !culprits.is_empty() {
                break culprits;
            }
            now_ms += rng.random_range(500..5_000);
        };
        assert_eq!(culprits, [CULPRIT], "seed {seed}");
        most_deaths = most_deaths.max(deaths);
    }
    assert!(most_deaths <= MAX_DEATHS, "{most_deaths} engines died before the culprit was found");
}

/// Two culprits that always run on the same engines have equal counts, so neither is in more deaths
/// than the other.
#[test]
fn two_culprits_that_share_all_deaths_are_both_quarantined() {
    let mut table = SuspicionTable::new(QuarantineOptions::for_any_request());
    let running = [(CULPRIT, 0), (bystander(1), 0)];
    for death in 0..3_u64 {
        assert!(record_death(&mut table, &format!("e{death}"), &running, death * 700).is_empty());
    }
    assert_eq!(record_death(&mut table, "e3", &running, 2_100), [bystander(1), CULPRIT]);
}

#[test]
fn a_request_is_quarantined_at_its_fourth_death_although_other_engines_die_too() {
    let mut table = SuspicionTable::new(QuarantineOptions::for_any_request());
    for death in 0..3_u64 {
        let now_ms = death * 700;
        assert!(record_death(&mut table, &format!("e{death}"), &[(CULPRIT, 0)], now_ms).is_empty());
        record_death(&mut table, &format!("killed{death}"), &[(bystander(1), 50)], now_ms + 350);
        table.record_success(&bystander(1), now_ms + 400);
    }
    assert_eq!(record_death(&mut table, "e3", &[(CULPRIT, 0)], 2_100), [CULPRIT]);
}

#[test]
fn a_request_that_runs_to_its_end_is_cleared_of_its_deaths() {
    let mut table = SuspicionTable::new(QuarantineOptions::for_any_request());
    record_death(&mut table, "e0", &[(bystander(1), 0)], 0);
    record_death(&mut table, "e1", &[(bystander(1), 0)], 10_000);
    assert_eq!(table.record_success(&bystander(1), 15_000), SuccessEffect::Cleared(2));
    assert_eq!(table.record_success(&bystander(1), 15_000), SuccessEffect::None);
    assert!(record_death(&mut table, "e2", &[(bystander(1), 0)], 20_000).is_empty());
    assert_eq!(table.status(&bystander(1), 20_000 + SETTLED_MS), QuarantineStatus::Suspect);
}

#[test]
fn a_quarantined_request_is_not_cleared_by_a_run_that_had_started_before() {
    let mut table = SuspicionTable::default();
    record_death(&mut table, "e0", &[(CULPRIT, 0)], 0);
    record_death(&mut table, "e1", &[(CULPRIT, 0)], 10_000);
    assert_eq!(table.record_success(&CULPRIT, 20_000), SuccessEffect::None);
    assert_eq!(table.status(&CULPRIT, 20_000), QuarantineStatus::Quarantined);
}

/// The death of an engine that has been known since `known_since_ms`.
fn death_under(
    fingerprint: Fingerprint,
    upstream: &str,
    at_ms: u64,
    known_since_ms: u64,
) -> DeathReport {
    DeathReport {
        content: RequestContent::whole(fingerprint),
        upstream: Upstream::from(upstream),
        progress_tokens: 0,
        last_alive_ms: at_ms,
        known_since_ms: Some(known_since_ms),
    }
}

/// All four engines of a service end under the request, which was served just before.
fn table_of_a_service_that_ended() -> SuspicionTable {
    let mut table = SuspicionTable::new(QuarantineOptions::for_any_request());
    for (number, at_ms) in [10_000, 10_050, 10_150, 10_200].into_iter().enumerate() {
        table.record(&death_under(CULPRIT, &format!("e{number}"), at_ms, 0), at_ms);
        table.record_success(&CULPRIT, 9_900);
    }
    assert!(table.find_culprits(11_000).is_empty());
    assert_eq!(table.status(&CULPRIT, 11_000), QuarantineStatus::Suspect);
    table
}

#[test]
fn a_success_before_a_service_ended_protects_only_until_an_engine_that_started_later_ends() {
    let mut table = table_of_a_service_that_ended();
    table.record(&death_under(CULPRIT, "e4", 13_600, 13_500), 13_600);
    assert_eq!(table.status(&CULPRIT, 13_601), QuarantineStatus::Pending);
    assert_eq!(table.find_culprits(14_000), [(CULPRIT, 5)]);
}

/// Each engine dies once, all of them started before the success.
#[test]
fn a_success_protects_no_longer_than_it_is_recent() {
    let mut table = SuspicionTable::new(QuarantineOptions::for_any_request());
    let mut found = Vec::new();
    for number in 0..8_u64 {
        let at_ms = 12_000 + number * 2_000;
        table.record(&death_under(CULPRIT, &format!("e{number}"), at_ms, 0), at_ms);
        table.record_success(&CULPRIT, 10_000);
        found.extend(
            table.find_culprits(at_ms + SETTLED_MS).into_iter().map(|found| (found, at_ms)),
        );
    }
    // The sixth is the first that is more than ten seconds after the success.
    assert_eq!(found, [((CULPRIT, 6), 22_000)]);
}

#[test]
fn a_request_that_succeeds_after_its_service_ended_is_cleared() {
    let mut table = table_of_a_service_that_ended();
    assert_eq!(table.record_success(&CULPRIT, 13_600), SuccessEffect::Cleared(4));
    table.record(&death_under(CULPRIT, "e4", 13_700, 13_500), 13_700);
    assert!(table.find_culprits(14_100).is_empty());
}

#[test]
fn the_weakest_suspect_makes_room_for_a_new_one() {
    let options = QuarantineOptions { max_suspects: 2, ..QuarantineOptions::for_any_request() };
    let mut table = SuspicionTable::new(options);
    record_death(&mut table, "e0", &[(CULPRIT, 0)], 0);
    record_death(&mut table, "e1", &[(CULPRIT, 0)], 10_000);
    record_death(&mut table, "e2", &[(bystander(1), 0)], 20_000);
    record_death(&mut table, "e3", &[(bystander(2), 0)], 30_000);
    assert_eq!(table.status(&bystander(1), 40_000), QuarantineStatus::Clear);
    assert_eq!(table.status(&CULPRIT, 40_000), QuarantineStatus::Suspect);
}

#[test]
fn only_requests_that_ended_a_short_time_ago_count_as_recent_successes() {
    let mut recent = RecentSuccesses::default();
    recent.record(CULPRIT, 1_000);
    assert_eq!(recent.last(&CULPRIT, 5_000), Some(1_000));
    assert_eq!(recent.last(&bystander(1), 5_000), None);
    assert_eq!(recent.last(&CULPRIT, 20_000), None);
}
