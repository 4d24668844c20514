use comfreymast_wire::peer;

use crate::{Counts, Durations, Indicator, SeriesKey};

/// What one daemon has counted, at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonCounts {
    /// Which daemon.
    pub daemon: String,
    /// One entry for each kind of work with traffic.
    pub series: Vec<SeriesCounts>,
}

/// The counts of one kind of work of one organisation, by [`Indicator`].
#[derive(Clone, Debug, PartialEq)]
pub struct SeriesCounts {
    /// Whose work.
    pub key: SeriesKey,
    /// The short window.
    pub short: [Counts; Indicator::ALL.len()],
    /// The long window.
    pub long: [Counts; Indicator::ALL.len()],
    /// Waits for a first token, of one to two long windows.
    pub first_token: Durations,
    /// Gaps between tokens, of one to two long windows.
    pub gaps: Durations,
}

impl SeriesCounts {
    /// Adds the counts of another daemon.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (own, others) in self.short.iter_mut().zip(&other.short) {
            *own += *others;
        }
        for (own, others) in self.long.iter_mut().zip(&other.long) {
            *own += *others;
        }
        self.first_token.merge(&other.first_token);
        self.gaps.merge(&other.gaps);
    }
}

// ------------------------------------------------------------------------------------------------
// Messages between daemons

impl From<&DaemonCounts> for peer::BurnCounts {
    fn from(counts: &DaemonCounts) -> Self {
        Self {
            daemon: counts.daemon.clone(),
            series: counts.series.iter().map(peer::BurnSeries::from).collect(),
        }
    }
}

impl From<&SeriesCounts> for peer::BurnSeries {
    fn from(series: &SeriesCounts) -> Self {
        Self {
            organisation: series.key.organisation.to_string(),
            kind: series.key.kind.to_string(),
            short: series.short.iter().map(window_message).collect(),
            long: series.long.iter().map(window_message).collect(),
            first_token: Some(durations_message(&series.first_token)),
            gaps: Some(durations_message(&series.gaps)),
        }
    }
}

fn window_message(counts: &Counts) -> peer::BurnWindow {
    peer::BurnWindow { total: counts.total, bad: counts.bad }
}

fn durations_message(durations: &Durations) -> peer::BurnDurations {
    let (durations_ms, counts) = durations.buckets().unzip();
    peer::BurnDurations { durations_ms, counts }
}

impl From<peer::BurnCounts> for DaemonCounts {
    fn from(message: peer::BurnCounts) -> Self {
        Self {
            daemon: message.daemon,
            series: message.series.into_iter().map(SeriesCounts::from).collect(),
        }
    }
}

impl From<peer::BurnSeries> for SeriesCounts {
    /// An indicator that the sender does not know counts as not measured.
    fn from(message: peer::BurnSeries) -> Self {
        Self {
            key: SeriesKey::new(&message.organisation, &message.kind),
            short: windows(&message.short),
            long: windows(&message.long),
            first_token: message.first_token.map(durations).unwrap_or_default(),
            gaps: message.gaps.map(durations).unwrap_or_default(),
        }
    }
}

fn windows(messages: &[peer::BurnWindow]) -> [Counts; Indicator::ALL.len()] {
    Indicator::ALL.map(|indicator| {
        let message = messages.get(indicator.index());
        message.map_or_else(Counts::default, |window| Counts {
            total: window.total,
            bad: window.bad.min(window.total),
        })
    })
}

fn durations(message: peer::BurnDurations) -> Durations {
    let mut durations = Durations::default();
    for (duration_ms, count) in message.durations_ms.into_iter().zip(message.counts) {
        durations.record_n_ms(duration_ms, count);
    }
    durations
}
