//! Finds requests that crash the engines that run them, among those that merely shared an engine.
//!
//! A death is an engine that stopped unexpectedly. Three criteria identify the culprit:
//!
//! * It is running at every death that it causes, so no request that shared a death with it has
//!   been in more deaths.
//! * It makes no progress from one death to the next, while other requests do after being resumed.
//! * It is the only cause: if other engines die at the same time without running it, one more death
//!   is required.
//!
//! The main types:
//!
//! * [`SuspicionTable`] — recent deaths; [`SuspicionTable::find_culprits`] evaluates them.
//! * [`QuarantineStatus`] — whether a new request may run.

use std::collections::{BTreeMap, VecDeque};

use comfreymast_base::Upstream;

/// SHA-256 over the model and the prompt.
pub type Fingerprint = [u8; 32];

/// When a request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Number of deaths after which a request is quarantined.
    pub deaths: u32,
    /// How long a death is remembered.
    pub window_ms: u64,
    /// How long the reports of one death may take to arrive from all daemons.
    pub settle_ms: u64,
    /// A report that saw the engine alive more than this after its last death is of a new death.
    pub same_death_ms: u64,
    /// Progress since its last death that clears a request of its earlier deaths.
    pub progress_tokens: u32,
    /// If another engine dies within this time without the request, one more death is required.
    pub mass_failure_ms: u64,
    /// Maximum number of deaths that are remembered.
    pub max_deaths: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            deaths: 2,
            window_ms: 600_000,
            settle_ms: 300,
            same_death_ms: 2_000,
            progress_tokens: 16,
            mass_failure_ms: 5_000,
            max_deaths: 1_024,
        }
    }
}

/// A report of a request that was running on an engine when the engine died.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeathReport {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The engine that died.
    pub upstream: Upstream,
    /// Number of tokens of the answer that had been generated.
    pub progress_tokens: u32,
    /// When the reporting daemon last received something from the engine, on this table's clock.
    pub last_alive_ms: u64,
}

/// Whether a request may run, given the deaths so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request is not suspected.
    Clear,
    /// The request was in a death; it should not share an engine with another suspect.
    Suspect,
    /// The request was in enough deaths to be quarantined, but reports may still arrive.
    Pending,
    /// The request crashes engines.
    Quarantined,
}

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

    /// Records a report. A duplicate report of the same death and request is not counted.
    pub fn record(&mut self, report: &DeathReport, now_ms: u64) {
        self.expire(now_ms);
        let index = self.death_index(report, now_ms);
        if self.deaths[index].death_counts.contains_key(&report.fingerprint) {
            return;
        }
        let progress_tokens = self.options.progress_tokens;
        let suspect = self.suspects.entry(report.fingerprint).or_insert(Suspect {
            deaths: 0,
            progress_tokens: report.progress_tokens,
            last_report_ms: now_ms,
            quarantined: false,
        });
        if report.progress_tokens >= suspect.progress_tokens.saturating_add(progress_tokens) {
            suspect.deaths = 0;
        }
        suspect.deaths += 1;
        suspect.progress_tokens = report.progress_tokens;
        suspect.last_report_ms = now_ms;
        let deaths = suspect.deaths;
        self.deaths[index].death_counts.insert(report.fingerprint, deaths);
    }

    /// Evaluates settled deaths; returns the requests to quarantine now, with their death counts.
    pub fn find_culprits(&mut self, now_ms: u64) -> Vec<(Fingerprint, u32)> {
        let settled_ms = now_ms.saturating_sub(self.options.settle_ms);
        let mut culprits = Vec::new();
        for index in 0..self.deaths.len() {
            let death = &self.deaths[index];
            if death.evaluated || death.last_report_ms > settled_ms {
                continue;
            }
            let culprit = self.culprit(death);
            self.deaths[index].evaluated = true;
            if let Some((fingerprint, deaths)) = culprit
                && let Some(suspect) = self.suspects.get_mut(&fingerprint)
                && !suspect.quarantined
            {
                suspect.quarantined = true;
                culprits.push((fingerprint, deaths));
            }
        }
        culprits
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
        if is_settling && suspect.deaths >= self.options.deaths {
            return QuarantineStatus::Pending;
        }
        QuarantineStatus::Suspect
    }

    /// Forgets the deaths of a request, after an operator has lifted its quarantine.
    pub fn forget(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
        for death in &mut self.deaths {
            death.death_counts.remove(fingerprint);
        }
    }

    /// The request that was in more deaths than all others of this death, if in enough of them.
    fn culprit(&self, death: &Death) -> Option<(Fingerprint, u32)> {
        let highest = death.death_counts.values().copied().max()?;
        let mut with_highest = death.death_counts.iter().filter(|(_, deaths)| **deaths == highest);
        let (fingerprint, deaths) = with_highest.next()?;
        let is_unique = with_highest.next().is_none();
        let required = self.options.deaths + u32::from(self.other_engine_died(death, fingerprint));
        (is_unique && highest >= required).then_some((*fingerprint, *deaths))
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
            self.deaths[index].last_report_ms = now_ms;
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
