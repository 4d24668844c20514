use comfreymast_fakes::platform_upstream::Run;

use crate::call::{Call, CallEnd};
use crate::checks::{UpstreamRuns, Violation, version_of};
use crate::disturbance::Touched;
use crate::record::Events;
use crate::site::TIMEOUT_MS;

/// How long after a disturbance the promises with a time hold again.
const CONTACT_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const APPLY_MS: u64 = 2_000;
const ANSWER_SLACK_MS: u64 = 500;

/// Checks the promises that hold within a time, for daemons that nothing has disturbed of late.
pub(crate) fn check(events: &Events, upstreams: &[UpstreamRuns]) -> Vec<Violation> {
    let mut found = Vec::new();
    for seen in upstreams {
        for run in &seen.runs {
            let Some(call) = events.calls.get(&run.id) else { continue };
            check_departed(events, &seen.upstream, run, call, &mut found);
            check_applied(events, run, call, &mut found);
        }
    }
    for call in events.calls.values() {
        check_answered(events, call, &mut found);
        check_kept(events, upstreams, call, &mut found);
    }
    found
}

/// True when neither a daemon nor the store was disturbed from `CONTACT_MS` before a span to its
/// end.
fn is_in_touch(events: &Events, daemon: usize, from_ms: u64, to_ms: u64) -> bool {
    !events.disturbances.iter().any(|disturbance| {
        let concerns = match &disturbance.touched {
            Touched::Daemon(touched) | Touched::Stopping(touched) => *touched == daemon,
            Touched::Store => true,
            Touched::Upstream(_) => false,
        };
        concerns && disturbance.overlaps(from_ms.saturating_sub(CONTACT_MS), to_ms)
    })
}

/// An upstream that leaves gets nothing new.
fn check_departed(
    events: &Events,
    upstream: &str,
    run: &Run,
    call: &Call,
    found: &mut Vec<Violation>,
) {
    let departures = events.departures.iter().filter(|departure| departure.upstream == upstream);
    for departure in departures {
        let is_late = run.started_unix_ms > departure.at_ms + DRAIN_MS && run.origin.is_none();
        if is_late && is_in_touch(events, call.daemon, departure.at_ms, run.started_unix_ms) {
            let detail = format!("{upstream} left at {} and ran {call:?}", departure.at_ms);
            found.push(Violation { promise: "an upstream that leaves gets no new work", detail });
        }
    }
}

/// A configuration is in force everywhere soon after the store has taken it.
fn check_applied(events: &Events, run: &Run, call: &Call, found: &mut Vec<Violation>) {
    let due = events.published.iter().filter(|known| known.at_ms + APPLY_MS < call.sent_ms);
    let Some(due) = due.max_by_key(|known| known.version) else { return };
    let is_old = version_of(run).is_some_and(|version| version < due.version);
    if is_old && is_in_touch(events, call.daemon, due.at_ms, call.sent_ms) {
        let detail = format!("{due:?} is not in force for {call:?}");
        found.push(Violation { promise: "a configuration is in force in time", detail });
    }
}

/// A request has its final answer at its time limit.
fn check_answered(events: &Events, call: &Call, found: &mut Vec<Violation>) {
    let Some(outcome) = &call.outcome else { return };
    let is_late = outcome.ended_ms > call.sent_ms + TIMEOUT_MS + ANSWER_SLACK_MS;
    if is_late && is_in_touch(events, call.daemon, call.sent_ms, outcome.ended_ms) {
        let detail = format!("{call:?}");
        found.push(Violation { promise: "a request is answered within its time", detail });
    }
}

/// A daemon that is told to stop answers what it has read, where the upstream did.
fn check_kept(
    events: &Events,
    upstreams: &[UpstreamRuns],
    call: &Call,
    found: &mut Vec<Violation>,
) {
    let Some(outcome) = &call.outcome else { return };
    let is_lost = match &outcome.end {
        CallEnd::Broken => true,
        CallEnd::Answered(answer) => !answer.is_whole,
        CallEnd::GaveUp => false,
    };
    if !is_lost {
        return;
    }
    let from_ms = call.sent_ms.saturating_sub(CONTACT_MS);
    let near = events.disturbances.iter().filter(|near| near.overlaps(from_ms, outcome.ended_ms));
    let is_excused = near.into_iter().any(|near| match &near.touched {
        Touched::Daemon(touched) => *touched == call.daemon,
        Touched::Upstream(_) | Touched::Store => true,
        Touched::Stopping(_) => false,
    });
    let mut ran = upstreams.iter().filter(|seen| seen.runs.iter().any(|run| run.id == call.id));
    let left = |upstream: &str| {
        let departures = events.departures.iter();
        departures.clone().any(|departure| departure.upstream == upstream)
    };
    let Some(first) = ran.next() else { return };
    if !is_excused && !left(&first.upstream) && ran.all(|seen| !left(&seen.upstream)) {
        let detail = format!("{call:?}");
        found.push(Violation { promise: "a request that was passed on is answered", detail });
    }
}
