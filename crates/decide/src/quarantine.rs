//! Which request kills the engines that run it, and which ones merely shared them.
//!
//! Three facts tell them apart. The culprit is among the requests of every death it causes, so of
//! those that shared a death none has been in more. It makes no progress from one death to the
//! next, where an innocent one that was resumed does. And it dies alone of a cause: while other
//! engines die without it, one more death is asked for.
//!
//! * [`SuspicionTable`] — the deaths of the last minutes; [`SuspicionTable::judge`] names culprits.
//! * [`Standing`] — what that means for a request that comes now.

use std::collections::{BTreeMap, VecDeque};

use comfreymast_base::Upstream;

/// SHA-256 of model and prompt.
pub type Fingerprint = [u8; 32];

/// When a request is blamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Deaths after which a request is quarantined.
    pub deaths: u32,
    /// How long a death is remembered.
    pub window_ms: u64,
    /// How long the reports of one death may take to come from all daemons.
    pub settle_ms: u64,
    /// An engine that was alive this much later than at its last death has died again.
    pub same_death_ms: u64,
    /// A request that got this much further than at its last death is cleared of it.
    pub progress_tokens: u32,
    /// Deaths of other engines this close make one more death needed.
    pub mass_failure_ms: u64,
    /// Deaths that are remembered at most.
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

/// One request that ran on an engine when it died.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The engine.
    pub upstream: Upstream,
    /// How many tokens of the answer there were.
    pub progress_tokens: u32,
    /// When the engine last said something to whoever reports, in the time of this table.
    pub last_alive_ms: u64,
}

/// What the deaths so far mean for a request that comes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// It shared deaths; it should not share an engine with another suspect.
    Suspect,
    /// It was in enough deaths, and their reports are still coming in.
    Unsettled,
    /// It kills engines.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Death {
    upstream: Upstream,
    first_ms: u64,
    last_ms: u64,
    /// Deaths of each request that ran, this one included.
    counts: BTreeMap<Fingerprint, u32>,
    judged: bool,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    deaths: u32,
    progress_tokens: u32,
    last_ms: u64,
    quarantined: bool,
}

/// The deaths of the last minutes, as all daemons reported them.
#[derive(Clone, Debug, Default)]
pub struct SuspicionTable {
    options: QuarantineOptions,
    deaths: VecDeque<Death>,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl SuspicionTable {
    /// An empty table.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// True when nobody is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Takes in one report. A second one on the same death and request changes nothing.
    pub fn report(&mut self, report: &Report, now_ms: u64) {
        self.expire(now_ms);
        let death = self.death(report, now_ms);
        if self.deaths[death].counts.contains_key(&report.fingerprint) {
            return;
        }
        let progress_tokens = self.options.progress_tokens;
        let suspect = self.suspects.entry(report.fingerprint).or_insert(Suspect {
            deaths: 0,
            progress_tokens: report.progress_tokens,
            last_ms: now_ms,
            quarantined: false,
        });
        if report.progress_tokens >= suspect.progress_tokens.saturating_add(progress_tokens) {
            suspect.deaths = 0;
        }
        suspect.deaths += 1;
        suspect.progress_tokens = report.progress_tokens;
        suspect.last_ms = now_ms;
        let deaths = suspect.deaths;
        self.deaths[death].counts.insert(report.fingerprint, deaths);
    }

    /// Names the requests that are to be quarantined now, with their deaths.
    pub fn judge(&mut self, now_ms: u64) -> Vec<(Fingerprint, u32)> {
        let settled_ms = now_ms.saturating_sub(self.options.settle_ms);
        let mut culprits = Vec::new();
        for index in 0..self.deaths.len() {
            let death = &self.deaths[index];
            if death.judged || death.last_ms > settled_ms {
                continue;
            }
            let culprit = self.culprit(death);
            self.deaths[index].judged = true;
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

    /// What is held against a request.
    #[must_use]
    pub fn standing(&self, fingerprint: &Fingerprint, now_ms: u64) -> Standing {
        let Some(suspect) = self.suspects.get(fingerprint) else { return Standing::Clear };
        if suspect.quarantined {
            return Standing::Quarantined;
        }
        if now_ms.saturating_sub(suspect.last_ms) > self.options.window_ms {
            return Standing::Clear;
        }
        let settles = now_ms.saturating_sub(suspect.last_ms) < self.options.settle_ms;
        if settles && suspect.deaths >= self.options.deaths {
            return Standing::Unsettled;
        }
        Standing::Suspect
    }

    /// Forgets what is held against a request, after an operator has lifted its quarantine.
    pub fn forget(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
        for death in &mut self.deaths {
            death.counts.remove(fingerprint);
        }
    }

    /// The request of a death that was in more deaths than all others, if there are enough.
    fn culprit(&self, death: &Death) -> Option<(Fingerprint, u32)> {
        let most = death.counts.values().copied().max()?;
        let mut with_most = death.counts.iter().filter(|(_, deaths)| **deaths == most);
        let (fingerprint, deaths) = with_most.next()?;
        let is_alone = with_most.next().is_none();
        let needed = self.options.deaths + u32::from(self.others_die(death, fingerprint));
        (is_alone && most >= needed).then_some((*fingerprint, *deaths))
    }

    /// True when another engine died at the same time without running the request.
    fn others_die(&self, death: &Death, fingerprint: &Fingerprint) -> bool {
        self.deaths.iter().any(|other| {
            let is_close = other.first_ms.abs_diff(death.first_ms) <= self.options.mass_failure_ms;
            is_close && !other.counts.contains_key(fingerprint)
        })
    }

    /// The death that is reported. A daemon that was frozen reports late, but cannot have seen the
    /// engine alive after its death.
    fn death(&mut self, report: &Report, now_ms: u64) -> usize {
        let same_death_ms = self.options.same_death_ms;
        let is_same = |death: &Death| {
            let alive_ms = report.last_alive_ms.saturating_sub(death.first_ms);
            death.upstream == report.upstream && alive_ms <= same_death_ms
        };
        if let Some(index) = self.deaths.iter().rposition(is_same) {
            self.deaths[index].last_ms = now_ms;
            return index;
        }
        self.deaths.push_back(Death {
            upstream: report.upstream.clone(),
            first_ms: now_ms,
            last_ms: now_ms,
            counts: BTreeMap::new(),
            judged: false,
        });
        self.deaths.len() - 1
    }

    fn expire(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.options.window_ms);
        let max_deaths = self.options.max_deaths;
        while self.deaths.len() >= max_deaths
            || self.deaths.front().is_some_and(|death| death.last_ms < oldest_ms)
        {
            self.deaths.pop_front();
        }
        // Whoever is quarantined stays so by the log.
        self.suspects.retain(|_, suspect| suspect.last_ms >= oldest_ms);
    }
}
