use std::collections::{BTreeMap, BTreeSet};

use comfreymast_fakes::platform_documents::{has_key, organisation};
use comfreymast_fakes::platform_upstream::{RefusedRequest, Run};
use derive_more::Display;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;

use crate::call::{Call, CallAnswer, CallEnd};
use crate::daemon::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MS};
use crate::record::Events;
use crate::site::EVENTS;

/// How long after a version took effect an older one may still be used.
const ROLLBACK_SLACK_MS: u64 = 250;

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{promise}: {detail}")]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// What upstreams saw.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRuns {
    pub(crate) upstream: String,
    pub(crate) runs: Vec<Run>,
    pub(crate) refused: Vec<RefusedRequest>,
}

/// Checks every promise that holds at any time, faults or not.
pub(crate) fn check(events: &Events, upstreams: &[UpstreamRuns]) -> Vec<Violation> {
    let mut found = Vec::new();
    check_runs(events, upstreams, &mut found);
    let runs_by_id = runs_by_id(upstreams);
    for call in events.calls.values() {
        let runs = runs_by_id.get(&*call.id).map_or(&[][..], Vec::as_slice);
        check_once(call, runs, &mut found);
        if let Some(CallEnd::Answered(answer)) = call.outcome.as_ref().map(|outcome| &outcome.end) {
            check_answer(call, answer, runs, &mut found);
        }
    }
    check_versions(events, upstreams, &mut found);
    check_budget(events, upstreams, &mut found);
    found
}

fn runs_by_id(upstreams: &[UpstreamRuns]) -> BTreeMap<&str, Vec<(&str, &Run)>> {
    let mut by_id: BTreeMap<&str, Vec<(&str, &Run)>> = BTreeMap::new();
    for seen in upstreams {
        for run in &seen.runs {
            by_id.entry(&*run.id).or_default().push((&*seen.upstream, run));
        }
    }
    by_id
}

/// What runs is what was asked, by whom it was asked.
fn check_runs(events: &Events, upstreams: &[UpstreamRuns], found: &mut Vec<Violation>) {
    let versions: BTreeSet<_> = events.published.iter().map(|known| known.version).collect();
    for run in upstreams.iter().flat_map(|seen| &seen.runs) {
        let mut fail = |promise| found.push(Violation { promise, detail: format!("{run:?}") });
        let Some(call) = events.calls.get(&run.id) else {
            fail("nothing runs that nobody asked for");
            continue;
        };
        if run.body != call.body {
            fail("a request runs as it was sent");
        }
        if has_key(&run.headers) {
            fail("keys stay with the daemon");
        }
        if version_of(run).is_none_or(|version| !versions.contains(&version)) {
            fail("a request runs for the organisation that holds its key");
        }
    }
}

/// The configuration by which a request ran, by its organisation's name.
pub(crate) fn version_of(run: &Run) -> Option<u64> {
    organisation(&run.headers)?.strip_prefix("org-")?.parse().ok()
}

fn check_once(call: &Call, runs: &[(&str, &Run)], found: &mut Vec<Violation>) {
    let starts = runs.iter().filter(|(_, run)| run.origin.is_none()).count();
    if call.kind.runs_once() && starts > 1 {
        let detail = format!("{call:?} ran as {runs:?}");
        found.push(Violation { promise: "a request that may run once runs once", detail });
    }
}

fn check_answer(
    call: &Call,
    answer: &CallAnswer,
    runs: &[(&str, &Run)],
    found: &mut Vec<Violation>,
) {
    let mut fail = |promise| {
        found.push(Violation { promise, detail: format!("{call:?} ran as {runs:?}") });
    };
    if is_refusal(answer.status) {
        if call.kind.runs_once() && !runs.is_empty() {
            fail("a refused request has not run");
        }
        if !answer.headers.contains_key(RETRY_AFTER) {
            fail("a refusal says when to come back");
        }
    }
    if answer.status.is_success() {
        let ran_there = |signer| runs.iter().any(|(upstream, _)| *upstream == signer);
        match answer.signer() {
            Some(signer) if ran_there(signer) => check_body(call, answer, signer, &mut fail),
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

/// In one life of a daemon the configuration only moves forward.
fn check_versions(events: &Events, upstreams: &[UpstreamRuns], found: &mut Vec<Violation>) {
    let mut effects: BTreeMap<(usize, u32), Vec<(u64, u64)>> = BTreeMap::new();
    let mut used = Vec::new();
    for run in upstreams.iter().flat_map(|seen| &seen.runs) {
        let (Some(call), Some(version)) = (events.calls.get(&run.id), version_of(run)) else {
            continue;
        };
        let life = (call.daemon, call.incarnation);
        effects.entry(life).or_default().push((run.started_unix_ms, version));
        used.push((life, call, version));
    }
    for (life, call, version) in used {
        let seen = effects.get(&life).into_iter().flatten();
        let is_older = seen
            .filter(|(at_ms, _)| at_ms + ROLLBACK_SLACK_MS < call.sent_ms)
            .any(|(_, newer)| *newer > version);
        if is_older {
            let detail = format!("version {version} for {call:?}");
            found.push(Violation { promise: "a configuration never goes back", detail });
        }
    }
}

/// Sends beyond the first of each request stay within the fleet's budget.
fn check_budget(events: &Events, upstreams: &[UpstreamRuns], found: &mut Vec<Violation>) {
    for service in ["plain", "engines"] {
        let calls = events.calls.values().filter(|call| call.kind.service() == service);
        let sent_ms: Vec<_> = calls.map(|call| call.sent_ms).collect();
        for at_ms in repeats(events, upstreams, service) {
            let window = at_ms..at_ms + RETRY_WINDOW_MS;
            let count = repeats(events, upstreams, service)
                .into_iter()
                .filter(|repeat| window.contains(repeat))
                .count();
            let earliest_ms = at_ms.saturating_sub(RETRY_WINDOW_MS);
            let near = sent_ms.iter().filter(|sent| (earliest_ms..window.end).contains(sent));
            let allowed = RETRY_RATIO * near.count() as f64 + RETRY_SLACK;
            if count as f64 > allowed {
                let detail = format!("{count} of {allowed} for {service} from {at_ms}");
                found.push(Violation { promise: "repeats stay within the budget", detail });
                return;
            }
        }
    }
}

/// The times of arrivals beyond the first of each request.
fn repeats(events: &Events, upstreams: &[UpstreamRuns], service: &str) -> Vec<u64> {
    let mut arrivals: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for seen in upstreams {
        let runs = seen.runs.iter().filter(|run| run.origin.is_none());
        let runs = runs.map(|run| (&*run.id, run.started_unix_ms));
        let refused = seen.refused.iter().map(|refused| (&*refused.id, refused.at_unix_ms));
        for (id, at_ms) in runs.chain(refused) {
            if events.calls.get(id).is_some_and(|call| call.kind.service() == service) {
                arrivals.entry(id).or_default().push(at_ms);
            }
        }
    }
    let mut repeats = Vec::new();
    for mut times in arrivals.into_values() {
        times.sort_unstable();
        repeats.extend(times.into_iter().skip(1));
    }
    repeats
}
