//! Measures of a run, as readers observe them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::workload::Request;

const MAX_US: u64 = 4_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;

/// The outcome of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestOutcome {
    /// When the first token arrived.
    pub first_token_us: Option<u64>,
    /// When the most recent token arrived.
    pub last_token_us: u64,
    /// The longest time between two tokens.
    pub longest_gap_us: u64,
    /// Tokens that arrived.
    pub tokens: u32,
    /// How often its generation was preempted.
    pub preemptions: u32,
    /// When the last token of a complete answer arrived.
    pub completed_us: Option<u64>,
    /// When it was refused.
    pub refused_us: Option<u64>,
    /// The delay after which it may be retried, if it was refused.
    pub retry_after_ms: u64,
}

/// Organisation and kind of requests that share a histogram of gaps.
pub type GapKey = (usize, usize);

/// Everything recorded in one run.
#[derive(Debug)]
pub struct RunRecord {
    /// Requests with their outcomes.
    pub requests: Vec<(Request, RequestOutcome)>,
    /// Gaps between tokens, in microseconds.
    pub gaps: BTreeMap<GapKey, Histogram<u64>>,
    /// Requests that arrive before this time are not counted.
    pub from_ms: u64,
    /// Requests that arrive at this time or later are not counted.
    pub to_ms: u64,
}

/// Measures of a subset of a run's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests that arrived.
    pub offered: f64,
    /// 99th percentile of each answer's longest time between two tokens.
    pub stall_p99_ms: f64,
    /// Preemptions per thousand requests.
    pub preemptions_per_1000: f64,
    /// 99th percentile of the time between two tokens.
    pub gap_p99_ms: f64,
    /// Median time to the first token.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token.
    pub first_token_p99_ms: f64,
    /// Tokens a second of answers that were completed before their deadline and within the window.
    pub goodput_tokens_per_s: f64,
    /// The share of requests answered completely before their deadline.
    pub in_time_share: f64,
    /// The share of requests that were accepted but not completed before their deadline.
    pub late_share: f64,
    /// The share of requests that were refused.
    pub refused_share: f64,
    /// The share of refusals that were sent on arrival.
    pub refused_at_once_share: f64,
    /// 99th percentile of the time to a refusal.
    pub refusal_p99_ms: f64,
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

fn percentile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / US_PER_MS
}

impl RunRecord {
    /// Measures of the requests that `includes` selects.
    #[must_use]
    pub fn summary(&self, includes: impl Fn(&Request) -> bool) -> Summary {
        const IMMEDIATE_US: u64 = 1_000;
        let mut totals = Totals::default();
        let (mut stalls, mut first_tokens, mut refusals) = (histogram(), histogram(), histogram());
        let mut gaps = histogram();
        let mut keys = std::collections::BTreeSet::new();
        let in_window = |request: &Request| (self.from_ms..self.to_ms).contains(&request.at_ms);
        for (request, outcome) in &self.requests {
            if !includes(request) {
                continue;
            }
            let completed_ms = outcome.completed_us.map(|completed_us| completed_us / 1_000);
            let in_time = |completed_ms: &u64| *completed_ms <= request.deadline_ms;
            if completed_ms
                .filter(in_time)
                .is_some_and(|at_ms| (self.from_ms..self.to_ms).contains(&at_ms))
            {
                totals.in_time_tokens += f64::from(outcome.tokens);
            }
            if !in_window(request) {
                continue;
            }
            keys.insert((request.organisation, request.kind));
            totals.offered += 1.0;
            totals.preemptions += f64::from(outcome.preemptions);
            let at_us = request.at_ms * 1_000;
            if let Some(first_token_us) = outcome.first_token_us {
                first_tokens.saturating_record(first_token_us - at_us);
                stalls.saturating_record(outcome.longest_gap_us.max(1));
            }
            match (outcome.refused_us, outcome.completed_us) {
                (Some(refused_us), _) => {
                    totals.refused += 1.0;
                    totals.refused_at_once +=
                        f64::from(u8::from(refused_us - at_us <= IMMEDIATE_US));
                    refusals.saturating_record((refused_us - at_us).max(1));
                }
                (None, Some(completed_us)) if completed_us <= request.deadline_ms * 1_000 => {
                    totals.in_time += 1.0;
                }
                _ => totals.late += 1.0,
            }
        }
        for key in keys {
            if let Some(key_gaps) = self.gaps.get(&key) {
                gaps.add(key_gaps).unwrap_or_else(|_| unreachable!("equal bounds"));
            }
        }
        let share = |part: f64| part / totals.offered.max(1.0);
        let window_s = (self.to_ms - self.from_ms) as f64 / MS_PER_S;
        Summary {
            offered: totals.offered,
            stall_p99_ms: percentile_ms(&stalls, 0.99),
            preemptions_per_1000: share(totals.preemptions) * 1_000.0,
            gap_p99_ms: percentile_ms(&gaps, 0.99),
            first_token_p50_ms: percentile_ms(&first_tokens, 0.5),
            first_token_p99_ms: percentile_ms(&first_tokens, 0.99),
            goodput_tokens_per_s: totals.in_time_tokens / window_s,
            in_time_share: share(totals.in_time),
            late_share: share(totals.late),
            refused_share: share(totals.refused),
            refused_at_once_share: totals.refused_at_once / totals.refused.max(1.0),
            refusal_p99_ms: percentile_ms(&refusals, 0.99),
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    offered: f64,
    preemptions: f64,
    in_time: f64,
    in_time_tokens: f64,
    late: f64,
    refused: f64,
    refused_at_once: f64,
}

/// The median, the minimum and the maximum over runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The minimum.
    pub min: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    /// The spread of a measure over several runs.
    #[must_use]
    pub fn of(runs: &[Summary], measure: impl Fn(&Summary) -> f64) -> Self {
        let mut values: Vec<f64> = runs.iter().map(measure).collect();
        values.sort_by(f64::total_cmp);
        let value_at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self {
            median: value_at(values.len() / 2),
            min: value_at(0),
            max: value_at(values.len().saturating_sub(1)),
        }
    }
}
