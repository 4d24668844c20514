//! The tables of docs/MEASUREMENTS.md, in Markdown.

use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use comfreymast_decide::admission::AdmissionOptions;
use comfreymast_decide::lengths::LengthOptions;

use crate::capacity;
use crate::policy::Policy;
use crate::run::{EngineFailure, RunOptions, run};
use crate::summary::{Spread, Summary};
use crate::workload::{Demand, DemandChange, Deployment, HIGH_PRIORITY, Request, bogota, jutland};

const WORKERS: usize = 4;
/// A small organisation: the one whose request rate or answer length grows.
const ODD_ORGANISATION: usize = 9;

/// Length and number of runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    /// How long requests arrive.
    pub duration_ms: u64,
    /// Requests that arrive before this time are not counted.
    pub warm_up_ms: u64,
    /// Runs of each case.
    pub seeds: u64,
}

impl Scale {
    /// The scale of the tables in docs/MEASUREMENTS.md.
    #[must_use]
    pub fn full() -> Self {
        Self { duration_ms: 1_200_000, warm_up_ms: 400_000, seeds: 3 }
    }

    /// A small scale for tests that check counts.
    #[must_use]
    pub fn short() -> Self {
        Self { duration_ms: 300_000, warm_up_ms: 100_000, seeds: 1 }
    }
}

/// A subset of requests that a row covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSubset {
    /// All requests.
    All,
    /// Requests of high priority.
    HighPriority,
    /// Requests of all organisations except the odd one.
    OtherOrganisations,
    /// Requests of the odd organisation, whose demand changes.
    OddOrganisation,
}

impl RequestSubset {
    fn name(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::HighPriority => "high priority",
            Self::OtherOrganisations => "other organisations",
            Self::OddOrganisation => "odd organisation",
        }
    }

    fn includes(self, request: &Request) -> bool {
        match self {
            Self::All => true,
            Self::HighPriority => request.priority >= HIGH_PRIORITY,
            Self::OtherOrganisations => request.organisation != ODD_ORGANISATION,
            Self::OddOrganisation => request.organisation == ODD_ORGANISATION,
        }
    }
}

/// One configuration to run, which gives the rows of a table.
#[derive(Clone, Debug)]
pub struct Case {
    /// What distinguishes it from other cases.
    pub name: String,
    /// The load, as a share of the engines' capacity.
    pub load: f64,
    /// The parameters of its runs.
    pub options: RunOptions,
}

/// One row of a table, with the measures of each seed.
#[derive(Clone, Debug)]
pub struct Row {
    /// The deployment.
    pub deployment: &'static str,
    /// The load, as a share of the engines' capacity.
    pub load: f64,
    /// What distinguishes it from other cases.
    pub name: String,
    /// The requests that it covers.
    pub subset: RequestSubset,
    /// Measures of each run.
    pub all: Vec<Summary>,
    /// Measures of each run, for requests with streamed answers only.
    pub streamed: Vec<Summary>,
}

/// The names of all tables that [`table`] knows.
pub const TABLES: [&str; 7] = ["load", "choices", "lag", "prefix", "faults", "flood", "longer"];

/// Runs the cases of a table and returns its rows; `None` if the name is unknown.
#[must_use]
pub fn table(name: &str, first_seed: u64, scale: Scale) -> Option<Vec<Row>> {
    let (cases, subsets): (Vec<Case>, &[RequestSubset]) = match name {
        "load" => (load_cases(scale), &[RequestSubset::All, RequestSubset::HighPriority]),
        "choices" => (choice_cases(scale), &[RequestSubset::All, RequestSubset::HighPriority]),
        "lag" => (lag_cases(scale), &[RequestSubset::All]),
        "prefix" => (prefix_cases(scale), &[RequestSubset::All]),
        "faults" => (fault_cases(scale), &[RequestSubset::All, RequestSubset::HighPriority]),
        "flood" => (
            flood_cases(scale),
            &[RequestSubset::OtherOrganisations, RequestSubset::OddOrganisation],
        ),
        "longer" => (
            longer_cases(scale),
            &[RequestSubset::OtherOrganisations, RequestSubset::OddOrganisation],
        ),
        _ => return None,
    };
    Some(rows(&cases, subsets, first_seed, scale))
}

// ----------------------------------------------------------------------------------------------
// Cases

/// A deployment and the capacity of its engines.
struct Site {
    deployment: Deployment,
    capacity_tokens_per_s: f64,
}

impl Site {
    fn new(deployment: Deployment) -> Self {
        const CAPACITY_SEED: u64 = 1;
        let capacity_tokens_per_s = capacity::tokens_per_s(&deployment, CAPACITY_SEED);
        Self { deployment, capacity_tokens_per_s }
    }
}

fn case(site: &Site, load: f64, name: &str, policy: Policy, scale: Scale) -> Case {
    let options = RunOptions {
        deployment: site.deployment.clone(),
        policy,
        demand: Demand {
            tokens_per_s: site.capacity_tokens_per_s * load,
            duration_ms: scale.duration_ms,
            flood: None,
            longer: None,
        },
        warm_up_ms: scale.warm_up_ms,
        report_lag_ms: 200,
        exchange_interval_ms: Some(500),
        cache_event_lag_ms: Some(2_000),
        failures: Vec::new(),
        seed: 0,
    };
    Case { name: name.to_owned(), load, options }
}

fn default_policy() -> Policy {
    Policy::admission(AdmissionOptions::default())
}

fn all_policies() -> Vec<Policy> {
    let mut policies = Policy::baselines();
    policies.push(default_policy());
    policies
}

fn load_cases(scale: Scale) -> Vec<Case> {
    let mut cases = Vec::new();
    for site in [bogota(), jutland()].map(Site::new) {
        for load in [0.7, 0.95, 1.3] {
            for policy in all_policies() {
                cases.push(case(&site, load, policy.name(), policy.clone(), scale));
            }
        }
    }
    cases
}

fn choice_cases(scale: Scale) -> Vec<Case> {
    let default = AdmissionOptions::default;
    let queue_at_engine =
        AdmissionOptions { memory_share: 1e9, now_share: 1e9, priority_reserve: 0.0, ..default() };
    let by_kind = LengthOptions { kind_weight: 1e9, ..LengthOptions::default() };
    let unlearned = LengthOptions { kind_weight: 1e9, uniform_weight: 1e9, ..by_kind };
    let choices = [
        ("admission", default()),
        ("queue at the engine", queue_at_engine),
        ("all engines compared", AdmissionOptions { choices: 64, ..default() }),
        ("no deviations", AdmissionOptions { deviations: 0.0, ..default() }),
        ("one deviation", AdmissionOptions { deviations: 1.0, ..default() }),
        ("memory share 0.95", AdmissionOptions { memory_share: 0.95, ..default() }),
        ("memory share 1.05", AdmissionOptions { memory_share: 1.05, ..default() }),
        ("in use at once 0.9", AdmissionOptions { now_share: 0.9, ..default() }),
        ("no priority reserve", AdmissionOptions { priority_reserve: 0.0, ..default() }),
        ("lengths by kind only", AdmissionOptions { lengths: by_kind, ..default() }),
        ("lengths not learned", AdmissionOptions { lengths: unlearned, ..default() }),
    ];
    let mut cases = Vec::new();
    for site in [bogota(), jutland()].map(Site::new) {
        cases.push(case(&site, 0.95, "least outstanding", Policy::LeastOutstanding, scale));
        for (name, options) in &choices {
            cases.push(case(&site, 0.95, name, Policy::admission(options.clone()), scale));
        }
    }
    cases
}

fn lag_cases(scale: Scale) -> Vec<Case> {
    let site = Site::new(bogota());
    let mut cases = Vec::new();
    for lag_ms in [200, 1_000, 3_000] {
        let variants = [
            ("two choices", Policy::TwoChoices, None),
            ("least outstanding", Policy::LeastOutstanding, None),
            ("admission, reports only", default_policy(), None),
            ("admission, peers every 500 ms", default_policy(), Some(500)),
            ("admission, peers every 100 ms", default_policy(), Some(100)),
        ];
        for (name, policy, exchange_interval_ms) in variants {
            let name = format!("{name}, lag {lag_ms} ms");
            let mut case = case(&site, 0.95, &name, policy, scale);
            case.options.report_lag_ms = lag_ms;
            case.options.exchange_interval_ms = exchange_interval_ms;
            cases.push(case);
        }
    }
    cases
}

fn prefix_cases(scale: Scale) -> Vec<Case> {
    let site = Site::new(jutland());
    let mut cases = Vec::new();
    for (prefix_bonus, lag_ms) in
        [(0.0, None), (0.05, None), (0.05, Some(2_000)), (0.2, Some(2_000)), (0.2, Some(30_000))]
    {
        let events = lag_ms.map_or("no events".to_owned(), |lag_ms| format!("events {lag_ms} ms"));
        let name = format!("worth {prefix_bonus}, {events}");
        let options = AdmissionOptions { prefix_bonus, ..AdmissionOptions::default() };
        let mut case = case(&site, 0.7, &name, Policy::admission(options), scale);
        case.options.cache_event_lag_ms = lag_ms;
        cases.push(case);
    }
    cases
}

fn fault_cases(scale: Scale) -> Vec<Case> {
    let site = Site::new(bogota());
    const DOWN_MS: u64 = 120_000;
    const NOTICE_MS: u64 = 30_000;
    let at_ms = scale.warm_up_ms + 60_000;
    let failure =
        vec![EngineFailure { engine: 0, notice_ms: at_ms, at_ms, recovered_ms: at_ms + DOWN_MS }];
    let wave = |engine: usize| {
        let notice_ms = at_ms + 3_000 * engine as u64;
        let failed_ms = notice_ms + NOTICE_MS;
        EngineFailure { engine, notice_ms, at_ms: failed_ms, recovered_ms: failed_ms + DOWN_MS }
    };
    let wave: Vec<_> = (0..3).map(wave).collect();
    let mut cases = Vec::new();
    for (fault, failures) in
        [("no fault", Vec::new()), ("one engine dies", failure), ("wave", wave)]
    {
        for policy in [Policy::LeastOutstanding, default_policy()] {
            let name = format!("{}, {fault}", policy.name());
            let mut case = case(&site, 0.7, &name, policy, scale);
            case.options.failures.clone_from(&failures);
            cases.push(case);
        }
    }
    cases
}

fn flood_cases(scale: Scale) -> Vec<Case> {
    let site = Site::new(bogota());
    let flood = DemandChange {
        organisation: ODD_ORGANISATION,
        factor: 15.0,
        from_ms: scale.warm_up_ms / 2,
    };
    let unfair =
        AdmissionOptions { fair: false, share_reserve: 0.0, ..AdmissionOptions::default() };
    let mut cases = Vec::new();
    for (policy_name, policy) in [
        ("least outstanding", Policy::LeastOutstanding),
        ("admission without fairness", Policy::admission(unfair)),
        ("admission", default_policy()),
    ] {
        for (name, flood) in [("calm", None), ("flood", Some(flood))] {
            let name = format!("{policy_name}, {name}");
            let mut case = case(&site, 0.7, &name, policy.clone(), scale);
            case.options.demand.flood = flood;
            cases.push(case);
        }
    }
    cases
}

fn longer_cases(scale: Scale) -> Vec<Case> {
    let site = Site::new(bogota());
    let longer =
        DemandChange { organisation: ODD_ORGANISATION, factor: 10.0, from_ms: scale.warm_up_ms };
    let mut cases = Vec::new();
    for policy in [Policy::LeastOutstanding, default_policy()] {
        for (name, longer) in [("as before", None), ("ten times longer", Some(longer))] {
            let name = format!("{}, {name}", policy.name());
            let mut case = case(&site, 0.7, &name, policy.clone(), scale);
            case.options.demand.longer = longer;
            cases.push(case);
        }
    }
    cases
}

// ----------------------------------------------------------------------------------------------
// Runs

fn rows(cases: &[Case], subsets: &[RequestSubset], first_seed: u64, scale: Scale) -> Vec<Row> {
    let seeds: Vec<u64> = (first_seed..first_seed + scale.seeds).collect();
    let jobs: Vec<(usize, u64)> =
        (0..cases.len()).flat_map(|case| seeds.iter().map(move |seed| (case, *seed))).collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                while let Some((case, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let summaries = summaries(&cases[*case], subsets, *seed);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((*case, *seed, summaries));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(case, seed, _)| (*case, *seed));
    let mut rows = Vec::new();
    for (subset_index, subset) in subsets.iter().enumerate() {
        for (case_index, case) in cases.iter().enumerate() {
            let runs = results.iter().filter(|(case, ..)| *case == case_index);
            let (all, streamed) = runs.map(|(_, _, summaries)| summaries[subset_index]).unzip();
            rows.push(Row {
                deployment: case.options.deployment.name,
                load: case.load,
                name: case.name.clone(),
                subset: *subset,
                all,
                streamed,
            });
        }
    }
    rows
}

fn summaries(case: &Case, subsets: &[RequestSubset], seed: u64) -> Vec<(Summary, Summary)> {
    let record = run(RunOptions { seed, ..case.options.clone() });
    let kinds = &case.options.deployment.kinds;
    let summarize = |subset: &RequestSubset| {
        let all = record.summary(|request| subset.includes(request));
        let streamed =
            record.summary(|request| subset.includes(request) && kinds[request.kind].streamed);
        (all, streamed)
    };
    subsets.iter().map(summarize).collect()
}

// ----------------------------------------------------------------------------------------------
// Text

/// Formats rows as a table in Markdown: medians, with the minimum and the maximum over all seeds.
#[must_use]
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from(
        "| deployment | load | requests | policy | preempted /1000 | stall p99 ms | gap p99 ms \
         | first p50 ms | first p99 ms | goodput tokens/s | in time % | refused % | at once % |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let Row { deployment, load, name, subset, all, streamed } = row;
        let cells = [
            cell(all, 1, |summary| summary.preemptions_per_1000),
            cell(streamed, 0, |summary| summary.stall_p99_ms),
            cell(streamed, 1, |summary| summary.gap_p99_ms),
            cell(streamed, 0, |summary| summary.first_token_p50_ms),
            cell(streamed, 0, |summary| summary.first_token_p99_ms),
            cell(all, 0, |summary| summary.goodput_tokens_per_s),
            cell(all, 1, |summary| summary.in_time_share * 100.0),
            cell(all, 1, |summary| summary.refused_share * 100.0),
            cell(all, 0, |summary| summary.refused_at_once_share * 100.0),
        ];
        let cells = cells.join(" | ");
        let load = load * 100.0;
        // Writing to a String cannot fail.
        let _ =
            writeln!(text, "| {deployment} | {load:.0}% | {} | {name} | {cells} |", subset.name());
    }
    text
}

fn cell(runs: &[Summary], decimals: usize, measure: impl Fn(&Summary) -> f64) -> String {
    let Spread { median, min, max } = Spread::of(runs, measure);
    format!("{median:.decimals$} [{min:.decimals$}–{max:.decimals$}]")
}
