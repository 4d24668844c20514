use comfreymast_fakes::platform_upstream::Run;

use crate::call::{Call, CallEnd};
use crate::checks::{UpstreamRuns, Violation, version_of};
use crate::fault_window::FaultTarget;
use crate::recorder::Events;
use crate::site::TIMEOUT_MS;

/// How long after a fault the guarantees with a time limit hold again.
const RECOVERY_MS: u64 = 3_000;
/// How long an upstream that is leaving may still get new requests.
const DRAIN_MS: u64 = 2_000;
/// How long an older configuration may still be used after a newer one was published.
const APPLY_MS: u64 = 2_000;
/// Tolerance on the time limit of a request.
const ANSWER_SLACK_MS: u64 = 500;

/// Checks the guarantees with a time limit, for daemons without recent faults.
pub(crate) fn check(events: &Events, upstreams: &[UpstreamRuns]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for upstream in upstreams {
        for run in &upstream.runs {
            let Some(call) = events.calls.get(&run.id) else { continue };
            check_departed(events, &upstream.name, run, call, &mut violations);
            check_applied(events, run, call, &mut violations);
        }
    }
    for call in events.calls.values() {
        check_answered(events, call, &mut violations);
        check_forwarded(events, upstreams, call, &mut violations);
    }
    violations
}

/// True when no fault affected the daemon or the store from `RECOVERY_MS` before the period to its
/// end.
fn is_undisturbed(events: &Events, daemon: usize, from_ms: u64, to_ms: u64) -> bool {
    !events.fault_windows.iter().any(|window| {
        let is_relevant = match &window.target {
            FaultTarget::Daemon(target) | FaultTarget::Stopping(target) => *target == daemon,
            FaultTarget::Store => true,
            FaultTarget::Upstream(_) => false,
        };
        is_relevant && window.overlaps(from_ms.saturating_sub(RECOVERY_MS), to_ms)
    })
}

/// An upstream that is leaving gets no new requests.
fn check_departed(
    events: &Events,
    upstream: &str,
    run: &Run,
    call: &Call,
    violations: &mut Vec<Violation>,
) {
    let departures = events.departures.iter().filter(|departure| departure.upstream == upstream);
    for departure in departures {
        let is_late = run.started_unix_ms > departure.at_ms + DRAIN_MS && run.origin.is_none();
        if is_late && is_undisturbed(events, call.daemon, departure.at_ms, run.started_unix_ms) {
            let detail = format!("{upstream} left at {} and ran {call:?}", departure.at_ms);
            violations
                .push(Violation { guarantee: "an upstream that leaves gets no new work", detail });
        }
    }
}

/// A configuration is applied everywhere soon after the store accepted it.
fn check_applied(events: &Events, run: &Run, call: &Call, violations: &mut Vec<Violation>) {
    let due = events.published.iter().filter(|published| published.at_ms + APPLY_MS < call.sent_ms);
    let Some(due) = due.max_by_key(|published| published.version) else { return };
    let is_old = version_of(run).is_some_and(|version| version < due.version);
    if is_old && is_undisturbed(events, call.daemon, due.at_ms, call.sent_ms) {
        let detail = format!("{due:?} is not in force for {call:?}");
        violations.push(Violation { guarantee: "a configuration is in force in time", detail });
    }
}

/// A request has its final answer within its time limit.
fn check_answered(events: &Events, call: &Call, violations: &mut Vec<Violation>) {
    let Some(outcome) = &call.outcome else { return };
    let is_late = outcome.ended_ms > call.sent_ms + TIMEOUT_MS + ANSWER_SLACK_MS;
    if is_late && is_undisturbed(events, call.daemon, call.sent_ms, outcome.ended_ms) {
        let detail = format!("{call:?}");
        violations.push(Violation { guarantee: "a request is answered within its time", detail });
    }
}

/// A daemon that shuts down still answers the requests it forwarded, unless the upstream failed.
fn check_forwarded(
    events: &Events,
    upstreams: &[UpstreamRuns],
    call: &Call,
    violations: &mut Vec<Violation>,
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
    let from_ms = call.sent_ms.saturating_sub(RECOVERY_MS);
    let nearby =
        events.fault_windows.iter().filter(|window| window.overlaps(from_ms, outcome.ended_ms));
    let is_excused = nearby.into_iter().any(|window| match &window.target {
        FaultTarget::Daemon(target) => *target == call.daemon,
        FaultTarget::Upstream(_) | FaultTarget::Store => true,
        FaultTarget::Stopping(_) => false,
    });
    let mut ran_on =
        upstreams.iter().filter(|upstream| upstream.runs.iter().any(|run| run.id == call.id));
    let has_left = |upstream: &str| {
        let departures = events.departures.iter();
        departures.clone().any(|departure| departure.upstream == upstream)
    };
    let Some(first) = ran_on.next() else { return };
    if !is_excused && !has_left(&first.name) && ran_on.all(|upstream| !has_left(&upstream.name)) {
        let detail = format!("{call:?}");
        violations
            .push(Violation { guarantee: "a request that was passed on is answered", detail });
    }
}
