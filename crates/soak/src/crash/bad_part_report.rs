use std::collections::BTreeSet;

use comfreymast_fakes::platform_documents::shared_parts;
use comfreymast_fakes::platform_upstream::PlatformUpstream;

use crate::checks::Violation;

/// The number of upstreams that a part may crash before its requests must be stopped.
const TOLERATED_ENDS: usize = 5;
/// How long after that daemons may still send such requests without limit.
pub(super) const CONTACT_MS: u64 = 3_000;
/// How many they may send later than that.
const TOLERATED_LATE_ARRIVALS: usize = 3;

/// What became of one part that crashes upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// Its identifier.
    pub part: String,
    /// How many upstreams ended under it.
    pub ends: usize,
    /// How many requests with it reached upstreams.
    pub arrivals: usize,
    /// How many of these came later than allowed after the fifth end.
    pub late_arrivals: usize,
    /// When requests with it must no longer disturb others, in Unix milliseconds; `None` if it
    /// crashed nothing.
    pub(super) settled_unix_ms: Option<u64>,
}

/// Sound requests that were sent in some span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoundCalls {
    /// How many were sent.
    pub sent: usize,
    /// How many of their streams began.
    pub begun: usize,
    /// How many were whole.
    pub whole: usize,
}

/// One sound request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SoundCall {
    pub(super) sent_unix_ms: u64,
    pub(super) has_begun: bool,
    pub(super) is_whole: bool,
}

/// The result of a run with parts of prompts that crash upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BadPartReport {
    /// One entry for each bad part.
    pub parts: Vec<PartReport>,
    /// Sound requests before the first request with a bad part.
    pub sound_before: SoundCalls,
    /// Sound requests from when the parts must have been found.
    pub sound_after: SoundCalls,
    /// The identifiers of requests without a bad part that were refused as if they crashed upstreams.
    pub others_refused: BTreeSet<String>,
    /// The guarantees that did not hold.
    pub violations: BTreeSet<Violation>,
}

impl BadPartReport {
    /// The parts whose requests reached upstreams more often than allowed.
    #[must_use]
    pub fn not_stopped(&self) -> Vec<&PartReport> {
        let parts = self.parts.iter();
        parts.filter(|part| part.late_arrivals > TOLERATED_LATE_ARRIVALS).collect()
    }

    /// True if sound requests begin at least half as often as before.
    #[must_use]
    pub fn is_sound_served(&self) -> bool {
        let (before, after) = (self.sound_before, self.sound_after);
        2 * after.begun * before.sent >= before.begun * after.sent
    }
}

/// Counts the ends under a part and the arrivals of its requests.
pub(super) fn part_report(part: &str, upstreams: &[PlatformUpstream]) -> PartReport {
    let crashes = upstreams.iter().flat_map(PlatformUpstream::part_crashes);
    let mut ends_ms: Vec<_> =
        crashes.filter(|(crashing, _)| crashing == part).map(|(_, at_ms)| at_ms).collect();
    ends_ms.sort_unstable();
    let last_tolerated_ms = ends_ms.get(TOLERATED_ENDS - 1).copied();
    let runs = upstreams.iter().flat_map(PlatformUpstream::runs);
    let arrivals_ms: Vec<_> = runs
        .filter(|run| shared_parts(&run.headers).contains(&part))
        .map(|run| run.started_unix_ms)
        .collect();
    let is_late = |at_ms: &&u64| last_tolerated_ms.is_some_and(|end| **at_ms > end + CONTACT_MS);
    let settles_from_ms = last_tolerated_ms.or(ends_ms.last().copied());
    PartReport {
        part: part.to_owned(),
        ends: ends_ms.len(),
        arrivals: arrivals_ms.len(),
        late_arrivals: arrivals_ms.iter().filter(is_late).count(),
        settled_unix_ms: settles_from_ms.map(|end_ms| end_ms + 2 * CONTACT_MS),
    }
}

/// Counts the sound requests that were sent in a span.
pub(super) fn sound_calls(calls: &[SoundCall], from_ms: u64, to_ms: u64) -> SoundCalls {
    let in_span = calls.iter().filter(|call| (from_ms..to_ms).contains(&call.sent_unix_ms));
    in_span.fold(SoundCalls::default(), |counts, call| SoundCalls {
        sent: counts.sent + 1,
        begun: counts.begun + usize::from(call.has_begun),
        whole: counts.whole + usize::from(call.is_whole),
    })
}
