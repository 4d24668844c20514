use crate::{Counts, Indicator, SeriesKey};

/// Measurements of one indicator for one request, or for a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Organisation and kind of work.
    pub key: SeriesKey,
    /// The measured indicator.
    pub indicator: Indicator,
    /// Number of measurements, and how many missed the service level.
    pub counts: Counts,
    /// The measured durations; empty for an indicator that isn't a duration.
    pub durations_ms: Vec<u32>,
}

impl Sample {
    /// Creates a sample of the time to the first token.
    #[must_use]
    pub fn first_token(key: SeriesKey, wait_ms: u32, bound_ms: u64) -> Self {
        Self::durations(key, Indicator::FirstToken, vec![wait_ms], bound_ms)
    }

    /// Creates a sample of times between tokens.
    #[must_use]
    pub fn gaps(key: SeriesKey, gaps_ms: Vec<u32>, bound_ms: u64) -> Self {
        Self::durations(key, Indicator::BetweenTokens, gaps_ms, bound_ms)
    }

    /// Creates a sample of an indicator that one request either met or missed.
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
        let over_bound =
            durations_ms.iter().filter(|duration_ms| u64::from(**duration_ms) > bound_ms);
        let counts = Counts { total: durations_ms.len() as u64, bad: over_bound.count() as u64 };
        Self { key, indicator, counts, durations_ms }
    }
}
