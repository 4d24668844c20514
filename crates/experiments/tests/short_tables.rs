//! Short versions of the tables. They check counts and orderings, never wall-clock time.

#![allow(clippy::unwrap_used)]

use comfreymast_decide::admission::AdmissionOptions;
use comfreymast_experiments::capacity;
use comfreymast_experiments::policy::Policy;
use comfreymast_experiments::run::{RunOptions, run};
use comfreymast_experiments::summary::RunRecord;
use comfreymast_experiments::tables::{RequestSubset, Row, Scale, TABLES, markdown, table};
use comfreymast_experiments::workload::{Demand, bogota, generate_requests};

const SEED: u64 = 1;

fn rows(name: &str) -> Vec<Row> {
    let rows = table(name, SEED, Scale::short()).unwrap();
    for row in &rows {
        for summary in &row.all {
            let total = summary.in_time_share + summary.late_share + summary.refused_share;
            assert!((total - 1.0).abs() < 1e-9, "{row:?}");
        }
    }
    rows
}

fn find<'a>(rows: &'a [Row], site: &str, name: &str, subset: RequestSubset, load: f64) -> &'a Row {
    let matches = |row: &&Row| {
        row.deployment == site && row.name == name && row.subset == subset && row.load == load
    };
    rows.iter().find(matches).unwrap()
}

fn preempted(row: &Row) -> f64 {
    row.all[0].preemptions_per_1000
}

fn record(policy: Policy, load: f64) -> RunRecord {
    let deployment = bogota();
    let tokens_per_s = capacity::tokens_per_s(&deployment, SEED) * load;
    let demand = Demand { tokens_per_s, duration_ms: 300_000, flood: None, longer: None };
    run(RunOptions {
        deployment,
        policy,
        demand,
        warm_up_ms: 0,
        report_lag_ms: 200,
        exchange_interval_ms: Some(500),
        cache_event_lag_ms: Some(2_000),
        failures: Vec::new(),
        seed: SEED,
    })
}

#[test]
fn admission_preempts_less_than_every_baseline_and_refuses_only_under_overload() {
    let rows = rows("load");
    for site in ["Bogotá", "Jutland"] {
        for load in [0.95, 1.3] {
            let admission = find(&rows, site, "admission", RequestSubset::All, load);
            for policy in ["round robin", "least outstanding", "two choices"] {
                let baseline = find(&rows, site, policy, RequestSubset::All, load);
                // Without memory pressure, one preemption per thousand requests is tolerated.
                assert!(
                    preempted(admission) <= preempted(baseline).max(1.0),
                    "{admission:?} {baseline:?}"
                );
            }
        }
        let low_load = find(&rows, site, "admission", RequestSubset::HighPriority, 0.7);
        assert_eq!(low_load.all[0].refused_share, 0.0, "{low_load:?}");
    }
    let overloaded = find(&rows, "Jutland", "admission", RequestSubset::All, 1.3);
    assert!(overloaded.all[0].refused_share > 0.0, "{overloaded:?}");
    assert_eq!(markdown(&rows).lines().count(), rows.len() + 2);
}

#[test]
fn every_other_table_has_rows() {
    for name in TABLES.into_iter().filter(|name| !["load", "lag"].contains(name)) {
        assert!(!rows(name).is_empty(), "{name}");
    }
    assert!(table("none", SEED, Scale::short()).is_none());
}

#[test]
fn same_seed_gives_same_run() {
    let policy = || Policy::admission(AdmissionOptions::default());
    assert_eq!(record(policy(), 1.3).requests, record(policy(), 1.3).requests);
}

#[test]
fn refused_requests_never_ran_and_have_a_retry_delay() {
    let record = record(Policy::admission(AdmissionOptions::default()), 2.5);
    let refused: Vec<_> =
        record.requests.iter().filter(|(_, outcome)| outcome.refused_us.is_some()).collect();
    assert!(!refused.is_empty());
    for (_, outcome) in refused {
        assert_eq!((outcome.tokens, outcome.first_token_us), (0, None));
        assert!(outcome.retry_after_ms >= 1_000);
    }
}

#[test]
fn demand_change_of_one_organisation_keeps_requests_of_others() {
    let deployment = bogota();
    let demand = Demand { tokens_per_s: 3_000.0, duration_ms: 200_000, flood: None, longer: None };
    let change = comfreymast_experiments::workload::DemandChange {
        organisation: 9,
        factor: 10.0,
        from_ms: 50_000,
    };
    let flooded = Demand { flood: Some(change), ..demand.clone() };
    let others = |demand: &Demand| {
        let mut all = generate_requests(&deployment, demand, SEED);
        all.retain(|request| request.organisation != 9);
        all
    };
    assert_eq!(others(&demand), others(&flooded));
    assert!(
        generate_requests(&deployment, &flooded, SEED).len()
            > generate_requests(&deployment, &demand, SEED).len()
    );
}
