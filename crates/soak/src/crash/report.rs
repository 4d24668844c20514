use std::collections::BTreeSet;
use std::path::Path;

use crate::Kind;
use crate::checks::{UpstreamRuns, Violation};
use crate::crash::repeated_request::{RepeatedRequest, is_culprit};

/// The number of upstreams that a request may crash before it must be stopped.
const TOLERATED_ENDS: usize = 3;
/// How long after that daemons may still send it on without limit.
const CONTACT_MS: u64 = 3_000;
/// How many times they may send it on later than that.
const TOLERATED_LATE_RUNS: usize = 3;
/// The log line of a request that is refused since it crashes upstreams.
const REFUSED_LINE: &str = "\"code\":1605,";

/// What became of one request that crashes its upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CulpritReport {
    /// Its kind.
    pub kind: Kind,
    /// How many times an upstream began to run it, and ended.
    pub runs: usize,
    /// How many of these runs began later than allowed after the third.
    pub late_runs: usize,
}

/// The result of a run with requests that crash their upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// One entry for each culprit.
    pub culprits: Vec<CulpritReport>,
    /// The number of other requests that callers sent.
    pub other_calls: usize,
    /// The identifiers of other requests that were refused as if they crashed upstreams.
    pub others_refused: BTreeSet<String>,
    /// The guarantees that did not hold.
    pub violations: BTreeSet<Violation>,
}

impl CrashReport {
    /// The culprits that reached upstreams more often than allowed.
    #[must_use]
    pub fn not_stopped(&self) -> Vec<CulpritReport> {
        let culprits = self.culprits.iter().copied();
        culprits.filter(|culprit| culprit.late_runs > TOLERATED_LATE_RUNS).collect()
    }
}

/// Counts the runs of a culprit on all upstreams since it began to crash them.
pub(super) fn culprit_report(
    culprit: RepeatedRequest,
    upstreams: &[UpstreamRuns],
    crashes_from_ms: u64,
) -> CulpritReport {
    let body = culprit.body();
    let runs = upstreams.iter().flat_map(|upstream| &upstream.runs);
    let crashes = runs.filter(|run| run.body == body && run.started_unix_ms >= crashes_from_ms);
    let mut starts_ms: Vec<_> = crashes.map(|run| run.started_unix_ms).collect();
    starts_ms.sort_unstable();
    let late_from_ms = starts_ms.get(TOLERATED_ENDS - 1).map(|third_ms| third_ms + CONTACT_MS);
    let late =
        starts_ms.iter().filter(|start_ms| late_from_ms.is_some_and(|from| **start_ms > from));
    CulpritReport { kind: culprit.kind, runs: starts_ms.len(), late_runs: late.count() }
}

/// The identifiers of requests in the daemons' logs that were refused as if they crashed upstreams,
/// without those of culprits.
pub(super) fn others_refused(folder: &Path) -> std::io::Result<BTreeSet<String>> {
    let mut refused = BTreeSet::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = String::from_utf8_lossy(&std::fs::read(path)?).into_owned();
        let lines = text.lines().filter(|line| line.contains(REFUSED_LINE));
        let ids = lines.filter_map(request_id).filter(|id| !is_culprit(id));
        refused.extend(ids);
    }
    Ok(refused)
}

fn request_id(line: &str) -> Option<String> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    Some(line["request"].as_str()?.to_owned())
}
