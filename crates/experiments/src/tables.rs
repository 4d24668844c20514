//! The tables of docs/MEASUREMENTS.md. Each is text in Markdown.

use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use comfreymast_decide::admission::AdmissionOptions;
use comfreymast_decide::lengths::LengthOptions;

use crate::capacity;
use crate::policy::Policy;
use crate::run::{Loss, RunOptions, run};
use crate::summary::{Spread, Summary};
use crate::workload::{Change, Demand, Deployment, HIGH_PRIORITY, Request, bogota, jutland};

const WORKERS: usize = 4;
/// A small organisation: the one that floods, or writes longer.
const ODD_ORGANISATION: usize = 9;

/// How much is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    /// How long requests come.
    pub duration_ms: u64,
    /// Requests before this moment are not counted.
    pub warm_up_ms: u64,
    /// Runs of each case.
    pub seeds: u64,
}

impl Scale {
    /// As in docs/MEASUREMENTS.md.
    #[must_use]
    pub fn full() -> Self {
        Self { duration_ms: 1_200_000, warm_up_ms: 400_000, seeds: 3 }
    }

    /// For a test of the counts.
    #[must_use]
    pub fn short() -> Self {
        Self { duration_ms: 300_000, warm_up_ms: 100_000, seeds: 1 }
    }
}

/// The requests that a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rows {
    /// All of them.
    All,
    /// Those of high priority.
    High,
    /// Those of all organisations but the odd one.
    Others,
    /// Those of the odd one.
    Odd,
}

impl Rows {
    fn name(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::High => "high priority",
            Self::Others => "other organisations",
            Self::Odd => "odd organisation",
        }
    }

    fn counts(self, request: &Request) -> bool {
        match self {
            Self::All => true,
            Self::High => request.priority >= HIGH_PRIORITY,
            Self::Others => request.organisation != ODD_ORGANISATION,
            Self::Odd => request.organisation == ODD_ORGANISATION,
        }
    }
}

/// One line of a table before it is run.
#[derive(Clone, Debug)]
pub struct Case {
    /// What is different here.
    pub name: String,
    /// The load, as a part of what the engines can carry.
    pub load: f64,
    /// What is run.
    pub options: RunOptions,
}

/// One line of a table: the measures of each seed.
#[derive(Clone, Debug)]
pub struct Line {
    /// The deployment.
    pub deployment: &'static str,
    /// The load, as a part of what the engines can carry.
    pub load: f64,
    /// What is different here.
    pub name: String,
    /// The requests it is about.
    pub rows: Rows,
    /// All requests of each run.
    pub all: Vec<Summary>,
    /// Only those whose readers get tokens as they come.
    pub streamed: Vec<Summary>,
}

/// The names of all tables.
pub const TABLES: [&str; 7] = ["load", "choices", "lag", "prefix", "faults", "flood", "longer"];

/// The lines of one table; `None` when there is none of this name.
#[must_use]
pub fn table(name: &str, first_seed: u64, scale: Scale) -> Option<Vec<Line>> {
    let (cases, rows): (Vec<Case>, &[Rows]) = match name {
        "load" => (load_cases(scale), &[Rows::All, Rows::High]),
        "choices" => (choice_cases(scale), &[Rows::All, Rows::High]),
        "lag" => (lag_cases(scale), &[Rows::All]),
        "prefix" => (prefix_cases(scale), &[Rows::All]),
        "faults" => (fault_cases(scale), &[Rows::All, Rows::High]),
        "flood" => (flood_cases(scale), &[Rows::Others, Rows::Odd]),
        "longer" => (longer_cases(scale), &[Rows::Others, Rows::Odd]),
        _ => return None,
    };
    Some(lines(&cases, rows, first_seed, scale))
}

// ----------------------------------------------------------------------------------------------
// Cases

/// A deployment and what its engines carry.
struct Site {
    deployment: Deployment,
    carried_tokens_per_s: f64,
}

impl Site {
    fn new(deployment: Deployment) -> Self {
        const CAPACITY_SEED: u64 = 1;
        let carried_tokens_per_s = capacity::tokens_per_s(&deployment, CAPACITY_SEED);
        Self { deployment, carried_tokens_per_s }
    }
}

fn case(site: &Site, load: f64, name: &str, policy: Policy, scale: Scale) -> Case {
    let options = RunOptions {
        deployment: site.deployment.clone(),
        policy,
        demand: Demand {
            tokens_per_s: site.carried_tokens_per_s * load,
            duration_ms: scale.duration_ms,
            flood: None,
            longer: None,
        },
        warm_up_ms: scale.warm_up_ms,
        report_lag_ms: 200,
        exchange_ms: Some(500),
        cache_event_lag_ms: Some(2_000),
        losses: Vec::new(),
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
    let no_holding =
        AdmissionOptions { memory_share: 1e9, now_share: 1e9, priority_reserve: 0.0, ..default() };
    let by_kind = LengthOptions { kind_weight: 1e9, ..LengthOptions::default() };
    let unlearned = LengthOptions { kind_weight: 1e9, uniform_weight: 1e9, ..by_kind };
    let choices = [
        ("admission", default()),
        ("queue at the engine", no_holding),
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
        for (name, policy, exchange_ms) in variants {
            let name = format!("{name}, lag {lag_ms} ms");
            let mut case = case(&site, 0.95, &name, policy, scale);
            case.options.report_lag_ms = lag_ms;
            case.options.exchange_ms = exchange_ms;
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
    let death = vec![Loss { engine: 0, notice_ms: at_ms, at_ms, back_ms: at_ms + DOWN_MS }];
    let wave = |engine: usize| {
        let notice_ms = at_ms + 3_000 * engine as u64;
        let lost_ms = notice_ms + NOTICE_MS;
        Loss { engine, notice_ms, at_ms: lost_ms, back_ms: lost_ms + DOWN_MS }
    };
    let wave: Vec<_> = (0..3).map(wave).collect();
    let mut cases = Vec::new();
    for (fault, losses) in [("no fault", Vec::new()), ("one engine dies", death), ("wave", wave)] {
        for policy in [Policy::LeastOutstanding, default_policy()] {
            let name = format!("{}, {fault}", policy.name());
            let mut case = case(&site, 0.7, &name, policy, scale);
            case.options.losses.clone_from(&losses);
            cases.push(case);
        }
    }
    cases
}

fn flood_cases(scale: Scale) -> Vec<Case> {
    let site = Site::new(bogota());
    let flood =
        Change { organisation: ODD_ORGANISATION, factor: 15.0, from_ms: scale.warm_up_ms / 2 };
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
    let longer = Change { organisation: ODD_ORGANISATION, factor: 10.0, from_ms: scale.warm_up_ms };
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

fn lines(cases: &[Case], rows: &[Rows], first_seed: u64, scale: Scale) -> Vec<Line> {
    let seeds: Vec<u64> = (first_seed..first_seed + scale.seeds).collect();
    let jobs: Vec<(usize, u64)> =
        (0..cases.len()).flat_map(|case| seeds.iter().map(move |seed| (case, *seed))).collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                while let Some((case, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let summaries = summaries(&cases[*case], rows, *seed);
                    let mut done = done.lock().unwrap_or_else(PoisonError::into_inner);
                    done.push((*case, *seed, summaries));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(case, seed, _)| (*case, *seed));
    let mut lines = Vec::new();
    for (at, rows) in rows.iter().enumerate() {
        for (index, case) in cases.iter().enumerate() {
            let runs = done.iter().filter(|(case, ..)| *case == index);
            let (all, streamed) = runs.map(|(_, _, summaries)| summaries[at]).unzip();
            lines.push(Line {
                deployment: case.options.deployment.name,
                load: case.load,
                name: case.name.clone(),
                rows: *rows,
                all,
                streamed,
            });
        }
    }
    lines
}

fn summaries(case: &Case, rows: &[Rows], seed: u64) -> Vec<(Summary, Summary)> {
    let record = run(RunOptions { seed, ..case.options.clone() });
    let kinds = &case.options.deployment.kinds;
    let of = |rows: &Rows| {
        let all = record.summary(|request| rows.counts(request));
        let streamed =
            record.summary(|request| rows.counts(request) && kinds[request.kind].streamed);
        (all, streamed)
    };
    rows.iter().map(of).collect()
}

// ----------------------------------------------------------------------------------------------
// Text

/// The lines as a table in Markdown: medians, with the least and the most over all seeds.
#[must_use]
pub fn markdown(lines: &[Line]) -> String {
    let mut text = String::from(
        "| deployment | load | requests | policy | preempted /1000 | stall p99 ms | gap p99 ms \
         | first p50 ms | first p99 ms | goodput tokens/s | in time % | refused % | at once % |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for line in lines {
        let Line { deployment, load, name, rows, all, streamed } = line;
        let cells = [
            cell(all, 1, |summary| summary.preemptions_per_1000),
            cell(streamed, 0, |summary| summary.stall_p99_ms),
            cell(streamed, 1, |summary| summary.gap_p99_ms),
            cell(streamed, 0, |summary| summary.first_p50_ms),
            cell(streamed, 0, |summary| summary.first_p99_ms),
            cell(all, 0, |summary| summary.goodput_tokens_per_s),
            cell(all, 1, |summary| summary.in_time_share * 100.0),
            cell(all, 1, |summary| summary.refused_share * 100.0),
            cell(all, 0, |summary| summary.refused_at_once_share * 100.0),
        ];
        let cells = cells.join(" | ");
        let load = load * 100.0;
        // Writing to a String cannot fail.
        let _ =
            writeln!(text, "| {deployment} | {load:.0}% | {} | {name} | {cells} |", rows.name());
    }
    text
}

fn cell(runs: &[Summary], decimals: usize, measure: impl Fn(&Summary) -> f64) -> String {
    let Spread { median, least, most } = Spread::of(runs, measure);
    format!("{median:.decimals$} [{least:.decimals$}–{most:.decimals$}]")
}
