//! What readers saw.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::workload::Request;

const MAX_US: u64 = 4_000_000_000;
const DIGITS: u8 = 3;
const US_PER_MS: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;

/// What became of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// When the first token came.
    pub first_us: Option<u64>,
    /// When the last token came so far.
    pub last_us: u64,
    /// The longest wait between two tokens.
    pub longest_gap_us: u64,
    /// Tokens that came.
    pub tokens: u32,
    /// How often its generation was pushed aside.
    pub preemptions: u32,
    /// When its last token came, if the answer is whole.
    pub whole_us: Option<u64>,
    /// When it was refused.
    pub refused_us: Option<u64>,
    /// When it was told to come back.
    pub retry_after_ms: u64,
}

/// Requests of one organisation and kind share a histogram of gaps.
pub type GapKey = (usize, usize);

/// All that one run showed.
#[derive(Debug)]
pub struct Record {
    /// Requests with what became of them.
    pub requests: Vec<(Request, Seen)>,
    /// Gaps between tokens, in microseconds.
    pub gaps: BTreeMap<GapKey, Histogram<u64>>,
    /// Requests that came before this moment are not counted.
    pub from_ms: u64,
    /// Nor those that came after this one.
    pub to_ms: u64,
}

/// The measures of some requests of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests that came.
    pub offered: f64,
    /// 99th percentile of each answer's longest wait between two tokens.
    pub stall_p99_ms: f64,
    /// Generations pushed aside, for each thousand requests.
    pub preemptions_per_1000: f64,
    /// 99th percentile of the time between two tokens.
    pub gap_p99_ms: f64,
    /// Median wait for the first token.
    pub first_p50_ms: f64,
    /// 99th percentile of the wait for the first token.
    pub first_p99_ms: f64,
    /// Tokens a second of answers that became whole, in time, while requests came.
    pub goodput_tokens_per_s: f64,
    /// The part of requests answered whole in time.
    pub in_time_share: f64,
    /// The part of requests that were run but not whole in time.
    pub late_share: f64,
    /// The part of requests that were refused.
    pub refused_share: f64,
    /// The part of refusals that came on arrival.
    pub refused_at_once_share: f64,
    /// The longest time until a refusal, 99th percentile.
    pub refusal_p99_ms: f64,
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

fn percentile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / US_PER_MS
}

impl Record {
    /// The measures of the requests that `counts` selects by organisation, kind and priority.
    #[must_use]
    pub fn summary(&self, counts: impl Fn(&Request) -> bool) -> Summary {
        const AT_ONCE_US: u64 = 1_000;
        let mut totals = Totals::default();
        let (mut stalls, mut firsts, mut refusals) = (histogram(), histogram(), histogram());
        let mut gaps = histogram();
        let mut keys = std::collections::BTreeSet::new();
        let in_window = |request: &Request| (self.from_ms..self.to_ms).contains(&request.at_ms);
        for (request, seen) in &self.requests {
            if !counts(request) {
                continue;
            }
            let whole_ms = seen.whole_us.map(|whole_us| whole_us / 1_000);
            let in_time = |whole_ms: &u64| *whole_ms <= request.deadline_ms;
            if whole_ms
                .filter(in_time)
                .is_some_and(|at_ms| (self.from_ms..self.to_ms).contains(&at_ms))
            {
                totals.in_time_tokens += f64::from(seen.tokens);
            }
            if !in_window(request) {
                continue;
            }
            keys.insert((request.organisation, request.kind));
            totals.offered += 1.0;
            totals.preemptions += f64::from(seen.preemptions);
            let at_us = request.at_ms * 1_000;
            if let Some(first_us) = seen.first_us {
                firsts.saturating_record(first_us - at_us);
                stalls.saturating_record(seen.longest_gap_us.max(1));
            }
            match (seen.refused_us, seen.whole_us) {
                (Some(refused_us), _) => {
                    totals.refused += 1.0;
                    totals.at_once += f64::from(u8::from(refused_us - at_us <= AT_ONCE_US));
                    refusals.saturating_record((refused_us - at_us).max(1));
                }
                (None, Some(whole_us)) if whole_us <= request.deadline_ms * 1_000 => {
                    totals.in_time += 1.0;
                }
                _ => totals.late += 1.0,
            }
        }
        for key in keys {
            if let Some(more) = self.gaps.get(&key) {
                gaps.add(more).unwrap_or_else(|_| unreachable!("equal bounds"));
            }
        }
        let share = |part: f64| part / totals.offered.max(1.0);
        let window_s = (self.to_ms - self.from_ms) as f64 / MS_PER_S;
        Summary {
            offered: totals.offered,
            stall_p99_ms: percentile_ms(&stalls, 0.99),
            preemptions_per_1000: share(totals.preemptions) * 1_000.0,
            gap_p99_ms: percentile_ms(&gaps, 0.99),
            first_p50_ms: percentile_ms(&firsts, 0.5),
            first_p99_ms: percentile_ms(&firsts, 0.99),
            goodput_tokens_per_s: totals.in_time_tokens / window_s,
            in_time_share: share(totals.in_time),
            late_share: share(totals.late),
            refused_share: share(totals.refused),
            refused_at_once_share: totals.at_once / totals.refused.max(1.0),
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
    at_once: f64,
}

/// A median over runs, with the least and the most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// Over the same measure of several runs.
    #[must_use]
    pub fn of(runs: &[Summary], measure: impl Fn(&Summary) -> f64) -> Self {
        let mut values: Vec<f64> = runs.iter().map(measure).collect();
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self {
            median: at(values.len() / 2),
            least: at(0),
            most: at(values.len().saturating_sub(1)),
        }
    }
}
