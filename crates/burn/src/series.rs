use crate::window::{LONG_WINDOW_MS, Window};
use crate::{Durations, Indicator, Sample, SeriesCounts, SeriesKey};

/// The measurements of one kind of work of one organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Series {
    windows: [Window; Indicator::ALL.len()],
    first_token: Periods,
    gaps: Periods,
    period: u64,
    last_sample_ms: u64,
}

impl Series {
    pub(crate) fn take(&mut self, sample: &Sample, now_ms: u64) {
        self.turn(now_ms);
        self.last_sample_ms = now_ms;
        self.windows[sample.indicator.index()].add(sample.counts, now_ms);
        let durations = match sample.indicator {
            Indicator::FirstToken => &mut self.first_token,
            Indicator::BetweenTokens => &mut self.gaps,
            _ => return,
        };
        let current = durations.current.get_or_insert_default();
        for duration_ms in &sample.durations_ms {
            current.record_ms(u64::from(*duration_ms));
        }
    }

    /// True when nothing was measured within the long window.
    pub(crate) fn is_idle(&self, now_ms: u64) -> bool {
        self.last_sample_ms + LONG_WINDOW_MS < now_ms
    }

    pub(crate) fn counts(&mut self, key: &SeriesKey, now_ms: u64) -> SeriesCounts {
        self.turn(now_ms);
        SeriesCounts {
            key: key.clone(),
            short: Indicator::ALL.map(|indicator| self.windows[indicator.index()].short(now_ms)),
            long: Indicator::ALL.map(|indicator| self.windows[indicator.index()].long(now_ms)),
            first_token: self.first_token.merged(),
            gaps: self.gaps.merged(),
        }
    }

    /// Starts a new period of the histograms when the time has come.
    fn turn(&mut self, now_ms: u64) {
        let period = now_ms / LONG_WINDOW_MS;
        let passed = period.saturating_sub(self.period);
        self.first_token.turn(passed);
        self.gaps.turn(passed);
        self.period = self.period.max(period);
    }
}

/// Durations of this period and of the one before it, each as long as the long window. Periods
/// without a measurement take no memory.
#[derive(Clone, Debug, Default)]
struct Periods {
    current: Option<Durations>,
    previous: Option<Durations>,
}

impl Periods {
    fn turn(&mut self, passed: u64) {
        match passed {
            0 => {}
            1 => self.previous = self.current.take(),
            _ => *self = Self::default(),
        }
    }

    fn merged(&self) -> Durations {
        let mut merged = self.current.clone().unwrap_or_default();
        if let Some(previous) = &self.previous {
            merged.merge(previous);
        }
        merged
    }
}
