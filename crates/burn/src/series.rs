use crate::window::{LONG_WINDOW_MS, Window};
use crate::{Durations, Indicator, Sample, SeriesCounts, SeriesKey};

/// The measurements of one kind of work of one organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Series {
    windows: [Window; Indicator::ALL.len()],
    /// Durations of this period and of the one before it, each as long as the long window.
    first_token: [Durations; 2],
    gaps: [Durations; 2],
    period: u64,
    last_sample_ms: u64,
}

impl Series {
    pub(crate) fn take(&mut self, sample: &Sample, now_ms: u64) {
        self.turn(now_ms);
        self.last_sample_ms = now_ms;
        self.windows[sample.indicator.index()].add(sample.counts, now_ms);
        let durations = match sample.indicator {
            Indicator::FirstToken => &mut self.first_token[0],
            Indicator::BetweenTokens => &mut self.gaps[0],
            _ => return,
        };
        for duration_ms in &sample.durations_ms {
            durations.record_ms(u64::from(*duration_ms));
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
            first_token: merged(&self.first_token),
            gaps: merged(&self.gaps),
        }
    }

    /// Starts a new period of the histograms when the time has come.
    fn turn(&mut self, now_ms: u64) {
        let period = now_ms / LONG_WINDOW_MS;
        let passed = period.saturating_sub(self.period);
        for durations in [&mut self.first_token, &mut self.gaps] {
            if passed > 1 {
                durations[0].clear();
            }
            if passed > 0 {
                durations.swap(0, 1);
                durations[0].clear();
            }
        }
        self.period = self.period.max(period);
    }
}

fn merged(durations: &[Durations; 2]) -> Durations {
    let mut merged = durations[0].clone();
    merged.merge(&durations[1]);
    merged
}
