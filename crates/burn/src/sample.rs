use crate::{Counts, Indicator, SeriesKey};

/// Measurements of one request, or of a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whose work.
    pub key: SeriesKey,
    /// What was measured.
    pub indicator: Indicator,
    /// How often, and how often it missed the bound.
    pub counts: Counts,
    /// The durations behind the counts; empty where there are none.
    pub durations_ms: Vec<u32>,
}

impl Sample {
    /// The wait for a first token.
    #[must_use]
    pub fn first_token(key: SeriesKey, wait_ms: u32, bound_ms: u64) -> Self {
        Self::durations(key, Indicator::FirstToken, vec![wait_ms], bound_ms)
    }

    /// Gaps between tokens.
    #[must_use]
    pub fn gaps(key: SeriesKey, gaps_ms: Vec<u32>, bound_ms: u64) -> Self {
        Self::durations(key, Indicator::BetweenTokens, gaps_ms, bound_ms)
    }

    /// Whether one request missed an indicator.
    #[must_use]
    pub fn outcome(key: SeriesKey, indicator: Indicator, missed: bool) -> Self {
        let counts = Counts { total: 1, bad: u64::from(missed) };
        Self { key, indicator, counts, durations_ms: Vec::new() }
    }

    fn durations(
        key: SeriesKey,
        indicator: Indicator,
        durations_ms: Vec<u32>,
        bound_ms: u64,
    ) -> Self {
        let over = durations_ms.iter().filter(|duration_ms| u64::from(**duration_ms) > bound_ms);
        let counts = Counts { total: durations_ms.len() as u64, bad: over.count() as u64 };
        Self { key, indicator, counts, durations_ms }
    }
}
