use std::collections::{BTreeMap, VecDeque};

use comfreymast_base::Upstream;

use super::death::Death;
use super::suspect::{Evidence, Suspect, find_death};
use super::verdict::{Case, Verdict};
use super::{
    DeathReport, Fingerprint, QuarantineOptions, QuarantineStatus, RequestContent, SubjectKind,
    SuccessEffect, quarantine_key,
};

/// Requests or parts that are refused; of several parts, requests that have them all.
#[derive(Clone, Debug)]
struct Quarantined {
    members: Vec<Fingerprint>,
    last_report_ms: u64,
}

/// The deaths within [`QuarantineOptions::window_ms`], as reported by all daemons.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    options: QuarantineOptions,
    deaths: VecDeque<Death>,
    next_number: u64,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// What is quarantined, by [`quarantine_key`].
    quarantined: BTreeMap<Fingerprint, Quarantined>,
}

impl SuspicionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Returns true if no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty()
    }

    /// Records a report and returns how many deaths its request was in. A duplicate report of the
    /// same death and request is not counted; `None` then.
    pub fn record(&mut self, report: &DeathReport, now_ms: u64) -> Option<u32> {
        self.expire(now_ms);
        let index = self.death_index(report, now_ms);
        if !self.deaths[index].add(report, now_ms) {
            return None;
        }
        let number = self.deaths[index].number;
        for fingerprint in report.content.iter() {
            self.make_room(fingerprint);
            let suspect = self
                .suspects
                .entry(*fingerprint)
                .or_insert_with(|| Suspect::new(report.progress_tokens));
            let has_progressed = report.progress_tokens
                >= suspect.progress_tokens.saturating_add(self.options.progress_tokens);
            if has_progressed && SubjectKind::of(fingerprint) == SubjectKind::Request {
                suspect.deaths.clear();
            }
            suspect.progress_tokens = report.progress_tokens;
            suspect.last_report_ms = now_ms;
            if suspect.deaths.last() != Some(&number) && !suspect.deaths.contains(&number) {
                suspect.deaths.push(number);
            }
        }
        self.shrink();
        Some(self.death_count(&report.content.fingerprint))
    }

    /// Evaluates settled deaths; returns the keys of what to quarantine now, with the numbers of
    /// deaths. [`Self::members`] tells what a key stands for.
    pub fn find_culprits(&mut self, now_ms: u64) -> Vec<(Fingerprint, u32)> {
        let settled_ms = now_ms.saturating_sub(self.options.settle_ms);
        let mut found = Vec::new();
        for index in 0..self.deaths.len() {
            if self.deaths[index].is_evaluated || self.deaths[index].last_report_ms > settled_ms {
                continue;
            }
            self.deaths[index].is_evaluated = true;
            self.explain_by_known(index);
            for verdict in self.judge(index) {
                let key = quarantine_key(&verdict.members);
                if self.quarantined.contains_key(&key) {
                    continue;
                }
                found.push((key, verdict.deaths));
                self.apply(key, verdict);
            }
        }
        found
    }

    /// What a quarantined key stands for: a request, a part, or parts that must all be there. Empty
    /// if it is not quarantined.
    #[must_use]
    pub fn members(&self, key: &Fingerprint) -> &[Fingerprint] {
        self.quarantined.get(key).map_or(&[], |quarantined| &quarantined.members)
    }

    /// The status at `now_ms` of a request, or of a part.
    #[must_use]
    pub fn status(&self, fingerprint: &Fingerprint, now_ms: u64) -> QuarantineStatus {
        if self.quarantined.contains_key(fingerprint) {
            return QuarantineStatus::Quarantined;
        }
        let Some(suspect) = self.suspects.get(fingerprint) else { return QuarantineStatus::Clear };
        let age_ms = now_ms.saturating_sub(suspect.last_report_ms);
        if age_ms > self.options.window_ms {
            return QuarantineStatus::Clear;
        }
        let evidence = self.evidence(fingerprint);
        let may_be_culprit = evidence.deaths >= evidence.required && evidence.is_confirmed;
        if age_ms < self.options.settle_ms && may_be_culprit {
            return QuarantineStatus::Pending;
        }
        QuarantineStatus::Suspect
    }

    /// The status at `now_ms` of a request with all its parts. A part that is about to be judged has
    /// no effect yet, as sound requests may have it.
    #[must_use]
    pub fn status_of(&self, content: &RequestContent, now_ms: u64) -> QuarantineStatus {
        if self.quarantined.values().any(|one| content.contains_all(&one.members)) {
            return QuarantineStatus::Quarantined;
        }
        self.status(&content.fingerprint, now_ms)
    }

    /// The engines that died while they ran a request or a part, oldest first.
    #[must_use]
    pub fn deaths_of(&self, fingerprint: &Fingerprint) -> Vec<Upstream> {
        let Some(suspect) = self.suspects.get(fingerprint) else { return Vec::new() };
        let deaths = suspect.counted(fingerprint, &self.deaths);
        deaths.map(|death| death.upstream.clone()).collect()
    }

    /// How many deaths count against a request or part.
    #[must_use]
    pub fn death_count(&self, fingerprint: &Fingerprint) -> u32 {
        self.evidence(fingerprint).deaths
    }

    /// True if the deaths of a request or part count, since no success speaks against them.
    #[must_use]
    pub fn is_confirmed(&self, fingerprint: &Fingerprint) -> bool {
        self.evidence(fingerprint).is_confirmed
    }

    /// Records that a request ran to its end at `succeeded_ms`, or that an engine began to answer a
    /// request with this part then, and lived on. Has no effect on a quarantine.
    pub fn record_success(
        &mut self,
        fingerprint: &Fingerprint,
        succeeded_ms: u64,
    ) -> SuccessEffect {
        if self.quarantined.contains_key(fingerprint) {
            return SuccessEffect::None;
        }
        let before = self.death_count(fingerprint);
        let news_ms = self.options.start_news_ms;
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return SuccessEffect::None };
        let deaths = &self.deaths;
        suspect.deaths.retain(|number| {
            find_death(deaths, *number).is_some_and(|death| death.first_report_ms > succeeded_ms)
        });
        if suspect.deaths.is_empty() {
            self.suspects.remove(fingerprint);
            return SuccessEffect::Cleared(before);
        }
        let known_ms = suspect.succeeded_ms;
        suspect.succeeded_ms = known_ms.max(Some(succeeded_ms));
        let deaths = self.death_count(fingerprint);
        // The same success may be told of again, at a slightly different time.
        let is_known = known_ms.is_some_and(|known_ms| succeeded_ms < known_ms + news_ms);
        if is_known && deaths == before {
            return SuccessEffect::None;
        }
        SuccessEffect::Deferred(deaths)
    }

    /// Forgets the deaths of a request or of parts, after an operator has lifted their quarantine.
    pub fn forget(&mut self, key: &Fingerprint) {
        let lifted = self.quarantined.remove(key);
        let members = lifted.map_or_else(|| vec![*key], |lifted| lifted.members);
        for member in &members {
            self.suspects.remove(member);
        }
    }

    fn evidence(&self, fingerprint: &Fingerprint) -> Evidence {
        let suspect = self.suspects.get(fingerprint);
        suspect.map_or(Evidence::default(), |suspect| {
            suspect.evidence(fingerprint, &self.deaths, &self.options)
        })
    }

    fn judge(&self, index: usize) -> Vec<Verdict> {
        let death = &self.deaths[index];
        let case = Case {
            death,
            options: &self.options,
            evidence: |fingerprint: &Fingerprint| self.evidence(fingerprint),
            other_engine_died: |fingerprint: &Fingerprint| {
                self.other_engine_died(death, fingerprint)
            },
        };
        case.judge()
    }

    /// Explains a death by what is quarantined already, if that was running.
    fn explain_by_known(&mut self, index: usize) {
        let death = &mut self.deaths[index];
        for known in self.quarantined.values() {
            if death.involves(&known.members) {
                death.explain(&known.members.iter().copied().collect());
            }
        }
    }

    /// Quarantines what a verdict names. Its deaths count for nothing else any more.
    fn apply(&mut self, key: Fingerprint, verdict: Verdict) {
        let Verdict { members, explains, .. } = verdict;
        for death in self.deaths.iter_mut().filter(|death| death.involves(&members)) {
            death.explain(&explains);
        }
        let reports = members.iter().filter_map(|member| self.suspects.get(member));
        let last_report_ms = reports.map(|suspect| suspect.last_report_ms).max().unwrap_or(0);
        self.quarantined.insert(key, Quarantined { members, last_report_ms });
    }

    /// Returns true if another engine died at about the same time without this request or part.
    fn other_engine_died(&self, death: &Death, fingerprint: &Fingerprint) -> bool {
        self.deaths.iter().any(|other| {
            let is_close = other.first_report_ms.abs_diff(death.first_report_ms)
                <= self.options.mass_failure_ms;
            is_close && !other.involves(&[*fingerprint])
        })
    }

    /// The index of the reported death, which is added if it is new.
    ///
    /// A daemon that was paused reports late, but it cannot have seen the engine alive after the
    /// engine's death.
    fn death_index(&mut self, report: &DeathReport, now_ms: u64) -> usize {
        let same_death_ms = self.options.same_death_ms;
        let is_same = |death: &Death| {
            let alive_ms = report.last_alive_ms.saturating_sub(death.first_report_ms);
            death.upstream == report.upstream && alive_ms <= same_death_ms
        };
        if let Some(index) = self.deaths.iter().rposition(is_same) {
            return index;
        }
        self.deaths.push_back(Death::new(self.next_number, &report.upstream, now_ms));
        self.next_number += 1;
        self.deaths.len() - 1
    }

    /// Drops the suspect with the fewest deaths, and of these the oldest, if a new one does not fit.
    fn make_room(&mut self, fingerprint: &Fingerprint) {
        if self.suspects.len() < self.options.max_suspects
            || self.suspects.contains_key(fingerprint)
        {
            return;
        }
        let weakest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.deaths.len(), suspect.last_report_ms))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(weakest) = weakest {
            self.suspects.remove(&weakest);
        }
    }

    /// Drops the oldest deaths while all of them name too many requests and parts.
    fn shrink(&mut self) {
        let mut total: usize = self.deaths.iter().map(Death::subject_count).sum();
        while total > self.options.max_subjects && self.deaths.len() > 1 {
            total -= self.deaths.pop_front().map_or(0, |dropped| dropped.subject_count());
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.options.window_ms);
        let max_deaths = self.options.max_deaths;
        while self.deaths.len() >= max_deaths
            || self.deaths.front().is_some_and(|death| death.last_report_ms < oldest_ms)
        {
            self.deaths.pop_front();
        }
        // Quarantines are recorded in the log, so they outlast the entries of this table.
        self.suspects.retain(|_, suspect| suspect.last_report_ms >= oldest_ms);
        self.quarantined.retain(|_, quarantined| quarantined.last_report_ms >= oldest_ms);
    }
}
