//! The expected memory use of generations, now and at later times.

use crate::lengths::LengthCurve;

/// The horizons of a [`MemoryProfile`], in tokens that each generation adds from now on.
pub const HORIZON_TOKENS: [f64; HORIZONS] = [
    0.0, 64.0, 128.0, 256.0, 384.0, 512.0, 768.0, 1_024.0, 1_536.0, 2_048.0, 3_072.0, 4_096.0,
    6_144.0, 8_192.0, 12_288.0, 16_384.0,
];
/// The number of horizons of a [`MemoryProfile`].
pub const HORIZONS: usize = 16;

/// The memory that a set of generations is expected to use at each horizon, in tokens.
///
/// The generations are taken as independent, so that profiles add up by mean and variance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemoryProfile {
    /// Expected tokens at each horizon.
    pub mean_tokens: [f64; HORIZONS],
    /// Variance at each horizon, in tokens squared.
    pub variance: [f64; HORIZONS],
}

impl MemoryProfile {
    /// The profile of one generation with this prompt and output so far.
    ///
    /// At each horizon it holds all of its tokens, or none if it has ended by then.
    #[must_use]
    pub fn of_generation(curve: &LengthCurve, prompt_tokens: u32, done_tokens: u32) -> Self {
        let done = f64::from(done_tokens);
        let held = f64::from(prompt_tokens) + done;
        let mut profile = Self::default();
        for (at, more) in HORIZON_TOKENS.into_iter().enumerate() {
            let survival = curve.conditional_survival(done, more);
            let tokens = held + more;
            profile.mean_tokens[at] = tokens * survival;
            profile.variance[at] = tokens * tokens * survival * (1.0 - survival);
        }
        profile
    }

    /// A profile with `tokens` at every horizon.
    #[must_use]
    pub fn constant(tokens: f64) -> Self {
        Self { mean_tokens: [tokens; HORIZONS], variance: [0.0; HORIZONS] }
    }

    /// Adds the generations of another profile.
    pub fn add(&mut self, other: &Self) {
        for at in 0..HORIZONS {
            self.mean_tokens[at] += other.mean_tokens[at];
            self.variance[at] += other.variance[at];
        }
    }

    /// Subtracts generations that were added before.
    pub fn subtract(&mut self, other: &Self) {
        for at in 0..HORIZONS {
            self.mean_tokens[at] = (self.mean_tokens[at] - other.mean_tokens[at]).max(0.0);
            self.variance[at] = (self.variance[at] - other.variance[at]).max(0.0);
        }
    }

    /// The sum of two profiles.
    #[must_use]
    pub fn with(mut self, other: &Self) -> Self {
        self.add(other);
        self
    }

    /// The highest expected use plus `deviations` standard deviations, over all horizons.
    #[must_use]
    pub fn peak_tokens(&self, deviations: f64) -> f64 {
        let moments = self.mean_tokens.iter().zip(&self.variance);
        moments.map(|(mean, variance)| mean + deviations * variance.sqrt()).fold(0.0, f64::max)
    }

    /// Like [`MemoryProfile::peak_tokens`], for the sum of this profile and another.
    #[must_use]
    pub fn peak_with(&self, other: &Self, deviations: f64) -> f64 {
        let at = |at: usize| {
            let variance = self.variance[at] + other.variance[at];
            self.mean_tokens[at] + other.mean_tokens[at] + deviations * variance.sqrt()
        };
        (0..HORIZONS).map(at).fold(0.0, f64::max)
    }
}
