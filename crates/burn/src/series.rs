use crate::window::{LONG_WINDOW_MS, Window};
use crate::{DurationHistogram, Indicator, Sample, SeriesCounts, SeriesKey};

/// Measurements of one kind of work of one organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Series {
    windows: [Window; Indicator::ALL.len()],
    first_token: RotatingHistogram,
    gaps: RotatingHistogram,
    period: u64,
    last_sample_ms: u64,
}

impl Series {
    pub(crate) fn record(&mut self, sample: &Sample, now_ms: u64) {
        self.rotate(now_ms);
        self.last_sample_ms = now_ms;
        self.windows[sample.indicator.index()].add(sample.counts, now_ms);
        let histograms = match sample.indicator {
            Indicator::FirstToken => &mut self.first_token,
            Indicator::BetweenTokens => &mut self.gaps,
            _ => return,
        };
        let current = histograms.current.get_or_insert_default();
        for duration_ms in &sample.durations_ms {
            current.record_ms(u64::from(*duration_ms));
        }
    }

    /// Whether nothing was measured within the long window.
    pub(crate) fn is_idle(&self, now_ms: u64) -> bool {
        self.last_sample_ms + LONG_WINDOW_MS < now_ms
    }

    pub(crate) fn counts(&mut self, key: &SeriesKey, now_ms: u64) -> SeriesCounts {
        self.rotate(now_ms);
        SeriesCounts {
            key: key.clone(),
            short: Indicator::ALL.map(|indicator| self.windows[indicator.index()].short(now_ms)),
            long: Indicator::ALL.map(|indicator| self.windows[indicator.index()].long(now_ms)),
            first_token: self.first_token.merged(),
            gaps: self.gaps.merged(),
        }
    }

    /// Rotates the histograms if a new period has started.
    fn rotate(&mut self, now_ms: u64) {
        let period = now_ms / LONG_WINDOW_MS;
        let elapsed_periods = period.saturating_sub(self.period);
        self.first_token.rotate(elapsed_periods);
        self.gaps.rotate(elapsed_periods);
        self.period = self.period.max(period);
    }
}

/// Histograms of the current and the previous period, each as long as the long window. Periods
/// without a measurement take no memory.
#[derive(Clone, Debug, Default)]
struct RotatingHistogram {
    current: Option<DurationHistogram>,
    previous: Option<DurationHistogram>,
}

impl RotatingHistogram {
    fn rotate(&mut self, elapsed_periods: u64) {
        match elapsed_periods {
            0 => {}
            1 => self.previous = self.current.take(),
            _ => *self = Self::default(),
        }
    }

    fn merged(&self) -> DurationHistogram {
        let mut merged = self.current.clone().unwrap_or_default();
        if let Some(previous) = &self.previous {
            merged.merge(previous);
        }
        merged
    }
}
