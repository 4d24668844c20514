use std::collections::{HashMap, VecDeque};

use comfreymast_base::{DaemonName, Model, Upstream};

use crate::admission::AdmissionOptions;
use crate::admission_profile::MemoryProfile;

/// An engine's entry in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineFacts {
    /// Its name.
    pub name: Upstream,
    /// The models it has loaded.
    pub models: Vec<Model>,
    /// True when it is in this daemon's data centre.
    pub is_near: bool,
    /// True when it is shutting down and gets no new work.
    pub leaving: bool,
}

/// An engine's report of its own load, which arrives with a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Memory in use.
    pub used_tokens: u64,
    /// Total memory.
    pub memory_tokens: u64,
    /// Generations that wait for memory on the engine.
    pub waiting: u32,
}

/// What a peer reported to run on an engine.
#[derive(Clone, Debug)]
pub(crate) struct PeerUse {
    pub(crate) reported_ms: u64,
    pub(crate) running: usize,
    pub(crate) profile: MemoryProfile,
}

/// One engine and its use as known to this daemon.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) facts: EngineFacts,
    pub(crate) report: Option<EngineReport>,
    pub(crate) own: MemoryProfile,
    pub(crate) own_running: usize,
    /// Generations of this daemon and its peers.
    pub(crate) running: usize,
    /// Its total expected use.
    pub(crate) used: MemoryProfile,
    /// Its use at the last peer update.
    used_at_update_tokens: f64,
    /// Tokens that this daemon started there since the last peer update, minus those that ended.
    claimed_tokens: f64,
    /// Random number from 0 to 1, drawn at each peer update. It decides which daemons use room
    /// that is too small for all of them.
    random_fraction: f64,
    /// The last report of each peer.
    pub(crate) peers: HashMap<DaemonName, PeerUse>,
    /// Recent sums of the tokens that daemons account for, with their times.
    accounted: VecDeque<(u64, f64)>,
}

impl Default for Engine {
    fn default() -> Self {
        let facts = EngineFacts {
            name: Upstream::from(""),
            models: Vec::new(),
            is_near: false,
            leaving: true,
        };
        Self {
            facts,
            report: None,
            own: MemoryProfile::default(),
            own_running: 0,
            running: 0,
            used: MemoryProfile::default(),
            used_at_update_tokens: 0.0,
            claimed_tokens: 0.0,
            random_fraction: 0.0,
            peers: HashMap::new(),
            accounted: VecDeque::new(),
        }
    }
}

impl Engine {
    pub(crate) fn with_facts(self, facts: EngineFacts) -> Self {
        Self { facts, ..self }
    }

    pub(crate) fn accepts(&self, model: &Model) -> bool {
        !self.facts.leaving && self.facts.models.contains(model)
    }

    /// The share of memory that would be used at the peak, or `None` when that exceeds the bound.
    pub(crate) fn share_with(
        &self,
        added: &MemoryProfile,
        bound_share: f64,
        competitors: usize,
        options: &AdmissionOptions,
    ) -> Option<f64> {
        let Some(report) = self.report else {
            // Its memory size is unknown until it reports, so it gets only a few generations.
            let has_room = self.own_running < options.unreported_running;
            return has_room.then_some(self.own_running as f64 / options.unreported_running as f64);
        };
        let empty = self.used.mean_tokens[0] < 1.0;
        let peak_tokens = self.used.peak_with(added, options.deviations);
        let share = peak_tokens / report.memory_tokens.max(1) as f64;
        // Above `now_share` the engine itself would queue the generation.
        let now_share =
            (self.used.mean_tokens[0] + added.mean_tokens[0]) / report.memory_tokens.max(1) as f64;
        let now_bound_share = bound_share.min(options.now_share);
        let room_tokens =
            now_bound_share * report.memory_tokens as f64 - self.used_at_update_tokens;
        let fits = share <= bound_share
            && now_share <= now_bound_share
            && self.fits_own_share(added.mean_tokens[0], room_tokens, competitors);
        // An empty engine takes even work that may exceed it, since no engine has more room.
        (empty || fits).then_some(share)
    }

    /// Whether work fits into this daemon's share of the room that it and its peers compete for.
    ///
    /// When the share is smaller than the work, the work fits with a probability of share / work.
    fn fits_own_share(&self, added_tokens: f64, room_tokens: f64, competitors: usize) -> bool {
        let own_share_tokens = room_tokens / (competitors + 1) as f64;
        competitors == 0
            || self.claimed_tokens + self.random_fraction * added_tokens <= own_share_tokens
    }

    /// Resets the room to share after a peer update.
    pub(crate) fn reset_shared_room(&mut self, random_fraction: f64) {
        self.used_at_update_tokens = self.used.mean_tokens[0];
        self.claimed_tokens = 0.0;
        self.random_fraction = random_fraction;
    }

    /// Adds a generation that this daemon starts.
    pub(crate) fn start(&mut self, added: &MemoryProfile) {
        self.claimed_tokens += added.mean_tokens[0];
        self.own.add(added);
        self.used.add(added);
        self.own_running += 1;
        self.running += 1;
    }

    /// Removes a generation that this daemon started.
    pub(crate) fn end(&mut self, ended: &MemoryProfile) {
        self.claimed_tokens -= ended.mean_tokens[0];
        self.own.subtract(ended);
        self.used.subtract(ended);
        self.own_running = self.own_running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// Sums up what this daemon and its peers run and what the engine's report shows beyond that.
    pub(crate) fn refresh(&mut self, options: &AdmissionOptions, now_ms: u64) {
        self.used = self.own.clone();
        self.running = self.own_running;
        self.peers.retain(|_, peer| now_ms.saturating_sub(peer.reported_ms) <= options.peer_use_ms);
        for peer in self.peers.values() {
            self.used.add(&peer.profile);
            self.running += peer.running;
        }
        self.accounted.push_back((now_ms, self.used.mean_tokens[0]));
        let is_expired =
            |entry: &(u64, f64)| now_ms.saturating_sub(entry.0) > options.report_lag_ms;
        while self.accounted.front().is_some_and(is_expired) {
            self.accounted.pop_front();
        }
        if let Some(report) = self.report {
            self.used.add(&self.unaccounted(report));
        }
    }

    /// What the report shows beyond the highest use that daemons accounted for within the
    /// report's possible delay.
    fn unaccounted(&self, report: EngineReport) -> MemoryProfile {
        let accounted = self.accounted.iter().map(|(_, tokens)| *tokens).fold(0.0, f64::max);
        MemoryProfile::constant((report.used_tokens as f64 - accounted).max(0.0))
    }
}
