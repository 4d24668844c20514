use std::collections::{BTreeMap, VecDeque};

use comfreymast_base::Upstream;

use super::{DeathReport, Fingerprint, QuarantineOptions, QuarantineStatus, SuccessEffect};

#[derive(Clone, Debug)]
struct Death {
    upstream: Upstream,
    first_report_ms: u64,
    last_report_ms: u64,
    /// For each request that was running, its number of deaths including this one.
    death_counts: BTreeMap<Fingerprint, u32>,
    evaluated: bool,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    deaths: u32,
    progress_tokens: u32,
    last_report_ms: u64,
    quarantined: bool,
    /// Since when the engine was known that started last of those that died under it.
    newest_start_ms: u64,
    /// When it last ran to its end, as far as known.
    succeeded_ms: Option<u64>,
}

/// The deaths within [`QuarantineOptions::window_ms`], as reported by all daemons.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    options: QuarantineOptions,
    deaths: VecDeque<Death>,
    suspects: BTreeMap<Fingerprint, Suspect>,
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
        self.suspects.is_empty()
    }

    /// Records a report and returns how many deaths its request was in. A duplicate report of the
    /// same death and request is not counted; `None` then.
    pub fn record(&mut self, report: &DeathReport, now_ms: u64) -> Option<u32> {
        self.expire(now_ms);
        let index = self.death_index(report, now_ms);
        if self.deaths[index].death_counts.contains_key(&report.fingerprint) {
            return None;
        }
        // Only new reports postpone the evaluation, as the same one may arrive many times.
        self.deaths[index].last_report_ms = now_ms;
        self.make_room(&report.fingerprint);
        let progress_tokens = self.options.progress_tokens;
        let suspect = self.suspects.entry(report.fingerprint).or_insert(Suspect {
            deaths: 0,
            progress_tokens: report.progress_tokens,
            last_report_ms: now_ms,
            quarantined: false,
            newest_start_ms: 0,
            succeeded_ms: None,
        });
        if report.progress_tokens >= suspect.progress_tokens.saturating_add(progress_tokens) {
            suspect.deaths = 0;
            suspect.newest_start_ms = 0;
        }
        suspect.deaths += 1;
        suspect.progress_tokens = report.progress_tokens;
        suspect.last_report_ms = now_ms;
        let known_since_ms = report.known_since_ms.unwrap_or(u64::MAX);
        suspect.newest_start_ms = suspect.newest_start_ms.max(known_since_ms);
        let deaths = suspect.deaths;
        self.deaths[index].death_counts.insert(report.fingerprint, deaths);
        Some(deaths)
    }

    /// Evaluates settled deaths; returns the requests to quarantine now, with their death counts.
    pub fn find_culprits(&mut self, now_ms: u64) -> Vec<(Fingerprint, u32)> {
        let settled_ms = now_ms.saturating_sub(self.options.settle_ms);
        let mut found = Vec::new();
        for index in 0..self.deaths.len() {
            let death = &self.deaths[index];
            if death.evaluated || death.last_report_ms > settled_ms {
                continue;
            }
            let culprits = self.culprits(death);
            self.deaths[index].evaluated = true;
            for (fingerprint, deaths) in culprits {
                if let Some(suspect) = self.suspects.get_mut(&fingerprint)
                    && !suspect.quarantined
                    && is_confirmed(suspect, &self.options)
                {
                    suspect.quarantined = true;
                    found.push((fingerprint, deaths));
                }
            }
        }
        found
    }

    /// The status of a request at `now_ms`.
    #[must_use]
    pub fn status(&self, fingerprint: &Fingerprint, now_ms: u64) -> QuarantineStatus {
        let Some(suspect) = self.suspects.get(fingerprint) else { return QuarantineStatus::Clear };
        if suspect.quarantined {
            return QuarantineStatus::Quarantined;
        }
        if now_ms.saturating_sub(suspect.last_report_ms) > self.options.window_ms {
            return QuarantineStatus::Clear;
        }
        let is_settling = now_ms.saturating_sub(suspect.last_report_ms) < self.options.settle_ms;
        let may_be_culprit =
            suspect.deaths >= self.options.deaths && is_confirmed(suspect, &self.options);
        if is_settling && may_be_culprit {
            return QuarantineStatus::Pending;
        }
        QuarantineStatus::Suspect
    }

    /// The engines that died while they ran a request, oldest first.
    #[must_use]
    pub fn deaths_of(&self, fingerprint: &Fingerprint) -> Vec<Upstream> {
        let count = self.suspects.get(fingerprint).map_or(0, |suspect| suspect.deaths as usize);
        let deaths = self.deaths.iter().rev();
        let own = deaths.filter(|death| death.death_counts.contains_key(fingerprint));
        let mut upstreams: Vec<_> = own.take(count).map(|death| death.upstream.clone()).collect();
        upstreams.reverse();
        upstreams
    }

    /// True if the deaths of a request count, since no success speaks against them.
    #[must_use]
    pub fn is_confirmed(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(|suspect| is_confirmed(suspect, &self.options))
    }

    /// Records that a request ran to its end at `succeeded_ms`. Has no effect on a quarantine.
    pub fn record_success(
        &mut self,
        fingerprint: &Fingerprint,
        succeeded_ms: u64,
    ) -> SuccessEffect {
        let news_ms = self.options.start_news_ms;
        let suspect = self.suspects.get_mut(fingerprint).filter(|suspect| !suspect.quarantined);
        let Some(suspect) = suspect else { return SuccessEffect::None };
        let deaths = suspect.deaths;
        if succeeded_ms >= suspect.last_report_ms {
            self.forget(fingerprint);
            return SuccessEffect::Cleared(deaths);
        }
        // The same success may be told of again, at a slightly different time.
        if suspect.succeeded_ms.is_some_and(|known_ms| succeeded_ms < known_ms + news_ms) {
            return SuccessEffect::None;
        }
        suspect.succeeded_ms = Some(succeeded_ms);
        SuccessEffect::Deferred(deaths)
    }

    /// Forgets the deaths of a request, after an operator has lifted its quarantine.
    pub fn forget(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
        for death in &mut self.deaths {
            death.death_counts.remove(fingerprint);
        }
    }

    /// The requests that a death proves to be culprits, with their numbers of deaths: the one that
    /// was in more deaths than all others of this death, if in enough of them, and each that was in
    /// so many that it cannot be chance.
    fn culprits(&self, death: &Death) -> Vec<(Fingerprint, u32)> {
        let highest = death.death_counts.values().copied().max().unwrap_or(0);
        let is_unique =
            death.death_counts.values().filter(|deaths| **deaths == highest).count() == 1;
        let is_culprit = |fingerprint: &Fingerprint, deaths: u32| {
            let required =
                self.options.deaths + u32::from(self.other_engine_died(death, fingerprint));
            deaths >= self.options.certain_deaths
                || (is_unique && deaths == highest && deaths >= required)
        };
        let counts = death.death_counts.iter().map(|(fingerprint, deaths)| (*fingerprint, *deaths));
        counts.filter(|(fingerprint, deaths)| is_culprit(fingerprint, *deaths)).collect()
    }

    /// Returns true if another engine died at about the same time without running the request.
    fn other_engine_died(&self, death: &Death, fingerprint: &Fingerprint) -> bool {
        self.deaths.iter().any(|other| {
            let is_close = other.first_report_ms.abs_diff(death.first_report_ms)
                <= self.options.mass_failure_ms;
            is_close && !other.death_counts.contains_key(fingerprint)
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
        self.deaths.push_back(Death {
            upstream: report.upstream.clone(),
            first_report_ms: now_ms,
            last_report_ms: now_ms,
            death_counts: BTreeMap::new(),
            evaluated: false,
        });
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
            .min_by_key(|(_, suspect)| (suspect.deaths, suspect.last_report_ms))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(weakest) = weakest {
            self.suspects.remove(&weakest);
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
    }
}

/// True unless the request has run to its end a short time ago, while all engines were running that
/// died under it.
fn is_confirmed(suspect: &Suspect, options: &QuarantineOptions) -> bool {
    suspect.succeeded_ms.is_none_or(|succeeded_ms| {
        let is_old = suspect.last_report_ms > succeeded_ms.saturating_add(options.success_ttl_ms);
        is_old || suspect.newest_start_ms > succeeded_ms.saturating_add(options.start_news_ms)
    })
}
