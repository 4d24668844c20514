use std::collections::{BTreeMap, BTreeSet};

use comfreymast_fakes::platform_documents::{has_key, organisation};
use comfreymast_fakes::platform_upstream::{RefusedRequest, Run};
use derive_more::Display;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;

use crate::call::{Call, CallAnswer, CallEnd};
use crate::daemon::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MS};
use crate::recorder::Events;
use crate::site::EVENTS;

/// How long an older version may still be used after a newer one was first seen in use.
const VERSION_OVERLAP_MS: u64 = 250;

/// A guarantee that did not hold.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{guarantee}: {detail}")]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// The observation that contradicts it.
    pub detail: String,
}

/// The requests that an upstream received.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRuns {
    pub(crate) name: String,
    pub(crate) runs: Vec<Run>,
    pub(crate) refused: Vec<RefusedRequest>,
}

/// Checks the guarantees that hold at any time, also during faults.
pub(crate) fn check(events: &Events, upstreams: &[UpstreamRuns]) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_runs(events, upstreams, &mut violations);
    let runs_by_id = runs_by_id(upstreams);
    for call in events.calls.values() {
        let runs = runs_by_id.get(&*call.id).map_or(&[][..], Vec::as_slice);
        check_at_most_once(call, runs, &mut violations);
        if let Some(CallEnd::Answered(answer)) = call.outcome.as_ref().map(|outcome| &outcome.end) {
            check_answer(call, answer, runs, &mut violations);
        }
    }
    check_versions(events, upstreams, &mut violations);
    check_retry_budget(events, upstreams, &mut violations);
    violations
}

fn runs_by_id(upstreams: &[UpstreamRuns]) -> BTreeMap<&str, Vec<(&str, &Run)>> {
    let mut by_id: BTreeMap<&str, Vec<(&str, &Run)>> = BTreeMap::new();
    for upstream in upstreams {
        for run in &upstream.runs {
            by_id.entry(&*run.id).or_default().push((&*upstream.name, run));
        }
    }
    by_id
}

/// Upstreams run only requests that callers sent, unchanged, without the caller's key and for the
/// organisation of that key.
fn check_runs(events: &Events, upstreams: &[UpstreamRuns], violations: &mut Vec<Violation>) {
    let versions: BTreeSet<_> =
        events.published.iter().map(|published| published.version).collect();
    for run in upstreams.iter().flat_map(|upstream| &upstream.runs) {
        let mut fail =
            |guarantee| violations.push(Violation { guarantee, detail: format!("{run:?}") });
        let Some(call) = events.calls.get(&run.id) else {
            fail("nothing runs that nobody asked for");
            continue;
        };
        if run.body != call.body {
            fail("a request runs as it was sent");
        }
        if has_key(&run.headers) {
            fail("caller keys are not forwarded to upstreams");
        }
        if version_of(run).is_none_or(|version| !versions.contains(&version)) {
            fail("a request runs for the organisation that holds its key");
        }
    }
}

/// The version of the configuration that a request ran under, from the name of its organisation.
pub(crate) fn version_of(run: &Run) -> Option<u64> {
    organisation(&run.headers)?.strip_prefix("org-")?.parse().ok()
}

/// A request that may run at most once was started at most once. Resuming a generation is not a
/// start.
fn check_at_most_once(call: &Call, runs: &[(&str, &Run)], violations: &mut Vec<Violation>) {
    let starts = runs.iter().filter(|(_, run)| run.origin.is_none()).count();
    if call.kind.is_at_most_once() && starts > 1 {
        let detail = format!("{call:?} ran as {runs:?}");
        violations.push(Violation { guarantee: "a request that may run once runs once", detail });
    }
}

fn check_answer(
    call: &Call,
    answer: &CallAnswer,
    runs: &[(&str, &Run)],
    violations: &mut Vec<Violation>,
) {
    let mut fail = |guarantee| {
        violations.push(Violation { guarantee, detail: format!("{call:?} ran as {runs:?}") });
    };
    if is_refusal(answer.status) {
        if call.kind.is_at_most_once() && !runs.is_empty() {
            fail("a refused request has not run");
        }
        if !answer.headers.contains_key(RETRY_AFTER) {
            fail("a refusal carries a retry-after header");
        }
    }
    if answer.status.is_success() {
        let ran_on = |signer| runs.iter().any(|(upstream, _)| *upstream == signer);
        match answer.signer() {
            Some(signer) if ran_on(signer) => check_body(call, answer, signer, &mut fail),
            _ => fail("a success comes from an upstream that ran the request"),
        }
    }
}

fn check_body(call: &Call, answer: &CallAnswer, signer: &str, fail: &mut impl FnMut(&'static str)) {
    if !call.kind.is_stream() {
        if answer.is_whole && answer.body != format!("answer of {signer}").into_bytes() {
            fail("an answer is the upstream's whole body");
        }
        return;
    }
    let ids = answer.event_ids();
    if !ids.iter().copied().eq(1..=ids.len() as u64) {
        fail("a stream has each event once, in order");
    }
    if answer.event_versions().len() > 1 {
        fail("a stream holds the events of one software version");
    }
    if answer.is_whole && ids.len() as u64 != EVENTS {
        fail("a stream that ends early does not look complete");
    }
}

fn is_refusal(status: StatusCode) -> bool {
    [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ]
    .contains(&status)
}

/// Within one incarnation of a daemon the version of the configuration never decreases.
fn check_versions(events: &Events, upstreams: &[UpstreamRuns], violations: &mut Vec<Violation>) {
    let mut uses: BTreeMap<(usize, u32), Vec<(u64, u64)>> = BTreeMap::new();
    let mut runs = Vec::new();
    for run in upstreams.iter().flat_map(|upstream| &upstream.runs) {
        let (Some(call), Some(version)) = (events.calls.get(&run.id), version_of(run)) else {
            continue;
        };
        let incarnation = (call.daemon, call.incarnation);
        uses.entry(incarnation).or_default().push((run.started_unix_ms, version));
        runs.push((incarnation, call, version));
    }
    for (incarnation, call, version) in runs {
        let observed = uses.get(&incarnation).into_iter().flatten();
        let is_older = observed
            .filter(|(at_ms, _)| at_ms + VERSION_OVERLAP_MS < call.sent_ms)
            .any(|(_, newer)| *newer > version);
        if is_older {
            let detail = format!("version {version} for {call:?}");
            violations
                .push(Violation { guarantee: "a configuration is never rolled back", detail });
        }
    }
}

/// Retries stay within the retry budget of the fleet, in every window.
fn check_retry_budget(
    events: &Events,
    upstreams: &[UpstreamRuns],
    violations: &mut Vec<Violation>,
) {
    for service in ["plain", "engines"] {
        let calls = events.calls.values().filter(|call| call.kind.service() == service);
        let sent_ms: Vec<_> = calls.map(|call| call.sent_ms).collect();
        for at_ms in retries(events, upstreams, service) {
            let window = at_ms..at_ms + RETRY_WINDOW_MS;
            let count = retries(events, upstreams, service)
                .into_iter()
                .filter(|retry| window.contains(retry))
                .count();
            let earliest_ms = at_ms.saturating_sub(RETRY_WINDOW_MS);
            let nearby = sent_ms.iter().filter(|sent| (earliest_ms..window.end).contains(sent));
            let allowed = RETRY_RATIO * nearby.count() as f64 + RETRY_SLACK;
            if count as f64 > allowed {
                let detail = format!("{count} of {allowed} for {service} from {at_ms}");
                violations.push(Violation { guarantee: "repeats stay within the budget", detail });
                return;
            }
        }
    }
}

/// The arrival times of retries, which are all arrivals of a request but its first.
fn retries(events: &Events, upstreams: &[UpstreamRuns], service: &str) -> Vec<u64> {
    let mut arrivals: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for upstream in upstreams {
        let runs = upstream.runs.iter().filter(|run| run.origin.is_none());
        let runs = runs.map(|run| (&*run.id, run.started_unix_ms));
        let refused = upstream.refused.iter().map(|refused| (&*refused.id, refused.at_unix_ms));
        for (id, at_ms) in runs.chain(refused) {
            if events.calls.get(id).is_some_and(|call| call.kind.service() == service) {
                arrivals.entry(id).or_default().push(at_ms);
            }
        }
    }
    let mut retries = Vec::new();
    for mut times in arrivals.into_values() {
        times.sort_unstable();
        retries.extend(times.into_iter().skip(1));
    }
    retries
}
