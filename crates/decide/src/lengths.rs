//! Estimates the length of an answer from earlier answers of its organisation and kind.
//!
//! The length of an answer is unknown when it starts. [`Lengths`] keeps a decaying histogram for
//! each organisation and kind, and one for each kind over all organisations. A [`LengthCurve`]
//! blends the two: an organisation with few observations is assumed to behave like the others.
//!
//! ```
//! use comfreymast_decide::lengths::{LengthOptions, Lengths};
//! let mut lengths = Lengths::new(LengthOptions::default());
//! (0..200).for_each(|_| lengths.observe(&"estudio".into(), &"verdict".into(), 30));
//! let curve = lengths.curve(&"estudio".into(), &"verdict".into(), 20_000);
//! assert!(curve.survival(100.0) < 0.1);
//! ```

use std::collections::HashMap;
use std::sync::Arc;

use comfreymast_base::{Kind, Organisation};

/// Histogram buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Bucket `k` holds lengths from `2^(k / 2)` to `2^((k + 1) / 2)`.
const BUCKETS: usize = 34;

/// How lengths are estimated from observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthOptions {
    /// Decay constant: after this many observations an old one counts for a third.
    pub decay_observations: f64,
    /// Weight of the kind's histogram, in observations of the organisation.
    pub kind_weight: f64,
    /// Weight of a uniform prior over octaves, in observations of the kind.
    pub uniform_weight: f64,
}

impl Default for LengthOptions {
    fn default() -> Self {
        Self { decay_observations: 300.0, kind_weight: 20.0, uniform_weight: 1.0 }
    }
}

#[derive(Clone, Debug)]
struct Histogram {
    weights: [f64; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self { weights: [0.0; BUCKETS] }
    }
}

impl Histogram {
    fn observe(&mut self, tokens: u32, decay_observations: f64) {
        let kept_share = 1.0 - 1.0 / decay_observations;
        self.weights.iter_mut().for_each(|weight| *weight *= kept_share);
        self.weights[bucket(f64::from(tokens))] += 1.0;
    }

    fn total(&self) -> f64 {
        self.weights.iter().sum()
    }
}

/// The lengths of finished answers, by organisation and kind.
#[derive(Clone, Debug)]
pub struct Lengths {
    options: LengthOptions,
    kinds: HashMap<Kind, Histogram>,
    organisations: HashMap<(Organisation, Kind), Histogram>,
}

impl Lengths {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new(options: LengthOptions) -> Self {
        Self { options, kinds: HashMap::new(), organisations: HashMap::new() }
    }

    /// Records the length of a complete answer.
    pub fn observe(&mut self, organisation: &Organisation, kind: &Kind, tokens: u32) {
        let decay = self.options.decay_observations;
        let key = (organisation.clone(), kind.clone());
        self.organisations.entry(key).or_default().observe(tokens, decay);
        self.kinds.entry(kind.clone()).or_default().observe(tokens, decay);
    }

    /// The length distribution of a new answer, truncated at `max_tokens`.
    #[must_use]
    pub fn curve(
        &self,
        organisation: &Organisation,
        kind: &Kind,
        max_tokens: u32,
    ) -> Arc<LengthCurve> {
        const LEARNED_OBSERVATIONS: f64 = 20.0;
        let max_tokens = f64::from(max_tokens.max(1));
        let observed = self.kinds.get(kind).map_or(0.0, Histogram::total);
        let mut prior = [0.0; BUCKETS];
        prior[..=bucket(max_tokens)].fill(1.0);
        if let Some(histogram) = self.kinds.get(kind) {
            prior = blend(histogram, &prior, self.options.uniform_weight);
        }
        let key = (organisation.clone(), kind.clone());
        if let Some(histogram) = self.organisations.get(&key) {
            prior = blend(histogram, &prior, self.options.kind_weight);
        }
        Arc::new(LengthCurve {
            is_learned: observed >= LEARNED_OBSERVATIONS,
            ..LengthCurve::new(&prior, max_tokens)
        })
    }
}

/// Combines own observations with a prior that counts as `prior_weight` observations.
fn blend(own: &Histogram, prior: &[f64; BUCKETS], prior_weight: f64) -> [f64; BUCKETS] {
    let prior_total: f64 = prior.iter().sum();
    let own_total = own.total() + prior_weight;
    std::array::from_fn(|at| {
        (own.weights[at] + prior_weight * prior[at] / prior_total.max(f64::MIN_POSITIVE))
            / own_total
    })
}

fn bucket(tokens: f64) -> usize {
    let octaves = tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    // The cast rounds down to the bucket that contains the length.
    (octaves as usize).min(BUCKETS - 1)
}

fn lower_edge(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}

/// The survival function of the length: the probability that an answer exceeds a number of tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct LengthCurve {
    /// Values at the lower edge of each bucket, and at the upper edge of the last one.
    survival: [f64; BUCKETS + 1],
    max_tokens: f64,
    /// False while too few answers of the kind were observed for an estimate.
    pub is_learned: bool,
}

impl LengthCurve {
    fn new(weights: &[f64; BUCKETS], max_tokens: f64) -> Self {
        let total: f64 = weights.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        let mut longer = 0.0;
        for at in (0..BUCKETS).rev() {
            longer += weights[at] / total.max(f64::MIN_POSITIVE);
            survival[at] = longer;
        }
        Self { survival, max_tokens, is_learned: false }
    }

    /// The probability that an answer has more than `tokens`.
    #[must_use]
    pub fn survival(&self, tokens: f64) -> f64 {
        if tokens >= self.max_tokens {
            return 0.0;
        }
        let at = bucket(tokens);
        let (low, high) = (lower_edge(at), lower_edge(at + 1));
        let part = ((tokens - low) / (high - low)).clamp(0.0, 1.0);
        self.survival[at] + part * (self.survival[at + 1] - self.survival[at])
    }

    /// The probability that an answer with `done_tokens` so far gets more than `more_tokens` more.
    #[must_use]
    pub fn conditional_survival(&self, done_tokens: f64, more_tokens: f64) -> f64 {
        const NEGLIGIBLE_SURVIVAL: f64 = 1e-9;
        let reached = self.survival(done_tokens);
        if reached < NEGLIGIBLE_SURVIVAL {
            // Longer than any observed answer: assume even odds of ending with each doubling.
            return (done_tokens / (done_tokens + more_tokens).max(1.0)).clamp(0.0, 1.0);
        }
        (self.survival(done_tokens + more_tokens) / reached).clamp(0.0, 1.0)
    }

    /// The median length of a new answer, rounded down to a bucket edge.
    #[must_use]
    pub fn median(&self) -> f64 {
        let above = (0..BUCKETS).take_while(|at| self.survival(lower_edge(*at)) > 0.5);
        above.last().map_or(1.0, lower_edge)
    }

    /// The expected number of tokens still to come after `done_tokens`.
    #[must_use]
    pub fn expected_remaining(&self, done_tokens: f64) -> f64 {
        let mut from = done_tokens.max(0.0);
        let mut expected = 0.0;
        for at in bucket(from)..BUCKETS {
            let to = lower_edge(at + 1).min(self.max_tokens);
            if to <= from {
                continue;
            }
            let start = self.conditional_survival(done_tokens, from - done_tokens);
            let end = self.conditional_survival(done_tokens, to - done_tokens);
            expected += (to - from) * (start + end) / 2.0;
            from = to;
        }
        expected
    }
}
