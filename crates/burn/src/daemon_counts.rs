use comfreymast_wire::peer;

use crate::{Counts, DurationHistogram, Indicator, SeriesKey};

/// Snapshot of the counts of one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonCounts {
    /// Name of the daemon.
    pub daemon: String,
    /// One entry for each organisation and kind of work with traffic.
    pub series: Vec<SeriesCounts>,
}

/// Counts of one kind of work of one organisation; the arrays are in the order of
/// [`Indicator::ALL`].
#[derive(Clone, Debug, PartialEq)]
pub struct SeriesCounts {
    /// Organisation and kind of work.
    pub key: SeriesKey,
    /// Counts of the short window.
    pub short: [Counts; Indicator::ALL.len()],
    /// Counts of the long window.
    pub long: [Counts; Indicator::ALL.len()],
    /// Times to the first token, over the last one to two long windows.
    pub first_token: DurationHistogram,
    /// Times between tokens, over the last one to two long windows.
    pub gaps: DurationHistogram,
}

impl SeriesCounts {
    /// Adds the counts of another daemon.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (counts, added) in self.short.iter_mut().zip(&other.short) {
            *counts += *added;
        }
        for (counts, added) in self.long.iter_mut().zip(&other.long) {
            *counts += *added;
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
            short: series.short.iter().map(counts_to_message).collect(),
            long: series.long.iter().map(counts_to_message).collect(),
            first_token: Some(histogram_to_message(&series.first_token)),
            gaps: Some(histogram_to_message(&series.gaps)),
        }
    }
}

fn counts_to_message(counts: &Counts) -> peer::BurnWindow {
    peer::BurnWindow { total: counts.total, bad: counts.bad }
}

fn histogram_to_message(histogram: &DurationHistogram) -> peer::BurnDurations {
    let (durations_ms, counts) = histogram.buckets().unzip();
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
    /// Treats an indicator that the sender does not know as not measured.
    fn from(message: peer::BurnSeries) -> Self {
        Self {
            key: SeriesKey::new(&message.organisation, &message.kind),
            short: counts_from_messages(&message.short),
            long: counts_from_messages(&message.long),
            first_token: message.first_token.map(histogram_from_message).unwrap_or_default(),
            gaps: message.gaps.map(histogram_from_message).unwrap_or_default(),
        }
    }
}

fn counts_from_messages(messages: &[peer::BurnWindow]) -> [Counts; Indicator::ALL.len()] {
    Indicator::ALL.map(|indicator| {
        let window = messages.get(indicator.index());
        window.map_or_else(Counts::default, |window| Counts {
            total: window.total,
            bad: window.bad.min(window.total),
        })
    })
}

fn histogram_from_message(message: peer::BurnDurations) -> DurationHistogram {
    let mut histogram = DurationHistogram::default();
    for (duration_ms, count) in message.durations_ms.into_iter().zip(message.counts) {
        histogram.record_n_ms(duration_ms, count);
    }
    histogram
}
