use std::collections::BTreeSet;

use comfreymast_base::Upstream;

use super::{DeathReport, Fingerprint, RequestContent};

/// One engine that died, and the requests that may have caused it.
#[derive(Clone, Debug)]
pub(super) struct Death {
    pub(super) number: u64,
    pub(super) upstream: Upstream,
    pub(super) first_report_ms: u64,
    pub(super) last_report_ms: u64,
    /// Since when the engine was known that died, by the daemon that learnt of it last.
    pub(super) known_since_ms: u64,
    pub(super) requests: Vec<RequestContent>,
    /// What caused it, once that is known. It counts for nothing else any more.
    pub(super) culprits: BTreeSet<Fingerprint>,
    pub(super) is_evaluated: bool,
}

impl Death {
    /// A death of which the first report has just arrived.
    pub(super) fn new(number: u64, upstream: &Upstream, now_ms: u64) -> Self {
        Self {
            number,
            upstream: upstream.clone(),
            first_report_ms: now_ms,
            last_report_ms: now_ms,
            known_since_ms: 0,
            requests: Vec::new(),
            culprits: BTreeSet::new(),
            is_evaluated: false,
        }
    }

    /// Adds a request; false if it was known.
    pub(super) fn add(&mut self, report: &DeathReport, now_ms: u64) -> bool {
        let content = &report.content;
        if self.requests.iter().any(|known| known.fingerprint == content.fingerprint) {
            return false;
        }
        // Only new reports postpone the evaluation, as the same one may arrive many times.
        self.last_report_ms = now_ms;
        let known_since_ms = report.known_since_ms.unwrap_or(u64::MAX);
        self.known_since_ms = self.known_since_ms.max(known_since_ms);
        self.requests.push(content.clone());
        true
    }

    /// The number of requests and parts that it names.
    pub(super) fn subject_count(&self) -> usize {
        self.requests.iter().map(|request| 1 + request.parts.len()).sum()
    }

    /// True if it counts against this request or part.
    pub(super) fn counts_for(&self, fingerprint: &Fingerprint) -> bool {
        self.culprits.is_empty() || self.culprits.contains(fingerprint)
    }

    /// True if a request was running that has all of these fingerprints.
    pub(super) fn involves(&self, fingerprints: &[Fingerprint]) -> bool {
        self.requests.iter().any(|request| request.contains_all(fingerprints))
    }

    /// Records what caused it. Of several explanations, what they have in common remains.
    pub(super) fn explain(&mut self, culprits: &BTreeSet<Fingerprint>) {
        let common: BTreeSet<_> = self.culprits.intersection(culprits).copied().collect();
        if common.is_empty() {
            self.culprits.extend(culprits);
        } else {
            self.culprits = common;
        }
    }
}
