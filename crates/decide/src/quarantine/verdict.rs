//! Which requests or parts a death proves to be culprits.

use std::collections::BTreeSet;

use super::death::Death;
use super::suspect::Evidence;
use super::{Fingerprint, QuarantineOptions, RequestContent, SubjectKind};

/// What one death proves: a request, or parts of which any request that has them all crashes engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Verdict {
    /// What is quarantined.
    pub(super) members: Vec<Fingerprint>,
    /// What of the same request may be the cause. Deaths of the members count for nothing else.
    pub(super) explains: BTreeSet<Fingerprint>,
    /// The number of deaths.
    pub(super) deaths: u32,
}

/// What speaks for and against the requests and parts of one death.
pub(super) struct Case<'a, Evidenced, OtherDied> {
    pub(super) death: &'a Death,
    pub(super) options: &'a QuarantineOptions,
    /// What the deaths so far say against a request or part.
    pub(super) evidence: Evidenced,
    /// Whether another engine died at about the same time without a request or part.
    pub(super) other_engine_died: OtherDied,
}

/// An explanation of a death: the most specific fingerprints of one request that are in enough deaths.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    request: &'a RequestContent,
    /// All fingerprints with so many deaths.
    members: BTreeSet<Fingerprint>,
    deaths: u32,
}

impl<Evidenced, OtherDied> Case<'_, Evidenced, OtherDied>
where
    Evidenced: Fn(&Fingerprint) -> Evidence,
    OtherDied: Fn(&Fingerprint) -> bool,
{
    /// Judges the death.
    pub(super) fn judge(&self) -> Vec<Verdict> {
        let candidates = self.candidates();
        let proven = candidates.iter().filter(|candidate| self.is_proven(candidate));
        let mut verdicts: Vec<_> = proven.map(|candidate| self.verdict(candidate)).collect();
        verdicts.sort_by(|left, right| left.members.cmp(&right.members));
        verdicts
    }

    /// One candidate for each explanation, without those of which another request of this death has a
    /// more specific one.
    fn candidates(&self) -> Vec<Candidate<'_>> {
        let requests = self.death.requests.iter();
        let all: Vec<_> = requests.filter_map(|request| self.candidate(request)).collect();
        let mut found: Vec<Candidate<'_>> = Vec::new();
        for candidate in &all {
            let is_known = found.iter().any(|known| known.members == candidate.members);
            let is_refined = |other: &Candidate<'_>| {
                let has_all = candidate.members.iter().all(|one| other.request.contains(one));
                has_all && other.members != candidate.members
            };
            if !is_known && !all.iter().any(is_refined) {
                found.push(candidate.clone());
            }
        }
        found
    }

    /// The fewer deaths a fingerprint is in beyond those that suffice, the more specific it is: what
    /// many requests have is in the deaths of others too.
    fn candidate<'a>(&self, request: &'a RequestContent) -> Option<Candidate<'a>> {
        let sufficient = request.iter().filter(|one| self.is_sufficient(one));
        let counted: Vec<_> = sufficient.map(|one| (*one, (self.evidence)(one).deaths)).collect();
        let deaths = counted.iter().map(|(_, deaths)| *deaths).min()?;
        let members = counted.into_iter().filter(|(_, own)| *own == deaths).map(|(one, _)| one);
        Some(Candidate { request, members: members.collect(), deaths })
    }

    fn is_sufficient(&self, fingerprint: &Fingerprint) -> bool {
        let evidence = (self.evidence)(fingerprint);
        let limits = self.options.limits(SubjectKind::of(fingerprint));
        let is_certain = evidence.deaths >= limits.certain_deaths;
        evidence.is_confirmed
            && evidence.deaths >= evidence.required
            && (is_certain
                || evidence.deaths > evidence.required
                || !(self.other_engine_died)(fingerprint))
    }

    /// True if no other request of this death has anything of its own in as many deaths, or if the
    /// deaths are so many that this cannot be chance.
    fn is_proven(&self, candidate: &Candidate<'_>) -> bool {
        let rival = self.rival_deaths(candidate);
        let kind = candidate.kind();
        let is_certain = candidate.deaths >= self.options.limits(kind).certain_deaths;
        candidate.deaths > rival || (is_certain && candidate.deaths == rival)
    }

    /// The most deaths that any fingerprint was in that the candidate's request does not have.
    fn rival_deaths(&self, candidate: &Candidate<'_>) -> u32 {
        let others = self.death.requests.iter().flat_map(RequestContent::iter);
        let rivals = others.filter(|one| !candidate.request.contains(one));
        rivals.map(|one| (self.evidence)(one).deaths).max().unwrap_or(0)
    }

    fn verdict(&self, candidate: &Candidate<'_>) -> Verdict {
        let Candidate { request, members, deaths } = candidate;
        if candidate.kind() == SubjectKind::Part {
            let members = members.clone();
            return Verdict {
                members: members.iter().copied().collect(),
                explains: members,
                deaths: *deaths,
            };
        }
        // Any part of the request may be the cause instead, for which it is too early.
        let evidence = |one: &&Fingerprint| (self.evidence)(one);
        let possible = request
            .iter()
            .filter(|one| evidence(one).is_confirmed && evidence(one).deaths >= *deaths);
        Verdict {
            members: vec![request.fingerprint],
            explains: possible.copied().collect(),
            deaths: *deaths,
        }
    }
}

impl Candidate<'_> {
    /// The whole request is the most specific of its fingerprints.
    fn kind(&self) -> SubjectKind {
        if self.members.contains(&self.request.fingerprint) {
            SubjectKind::of(&self.request.fingerprint)
        } else {
            SubjectKind::Part
        }
    }
}
