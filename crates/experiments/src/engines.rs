use std::collections::VecDeque;

use comfreymast_base::Upstream;
use comfreymast_fakes::engine::batch::{Batch, EngineOptions, Step};
use comfreymast_wire::engine::Load;

/// One engine in virtual time.
#[derive(Debug)]
pub(crate) struct SimEngine {
    pub(crate) name: Upstream,
    pub(crate) batch: Batch,
    /// The step in progress.
    pub(crate) step: Option<Step>,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    /// Incremented by each failure, so that the end of a step from before it is ignored.
    pub(crate) incarnation: u32,
    load_history: VecDeque<(u64, Load)>,
}

impl SimEngine {
    pub(crate) fn new(index: usize, options: &EngineOptions) -> Self {
        Self {
            name: Upstream::from(format!("e{index}")),
            batch: Batch::new(options.clone()),
            step: None,
            alive: true,
            leaving: false,
            incarnation: 0,
            load_history: VecDeque::new(),
        }
    }

    /// Stops the engine and drops its batch.
    pub(crate) fn fail(&mut self, options: &EngineOptions) {
        self.batch = Batch::new(options.clone());
        self.step = None;
        self.alive = false;
        self.incarnation += 1;
    }

    /// Records the current load.
    pub(crate) fn record_load(&mut self, now_ms: u64) {
        const HISTORY_MS: u64 = 10_000;
        self.load_history.push_back((now_ms, self.batch.load()));
        while self.load_history.front().is_some_and(|(at_ms, _)| now_ms - at_ms > HISTORY_MS) {
            self.load_history.pop_front();
        }
    }

    /// The load as it was `lag_ms` ago.
    pub(crate) fn lagged_load(&self, now_ms: u64, lag_ms: u64) -> Load {
        let lagged = self.load_history.iter().rev().find(|(at_ms, _)| at_ms + lag_ms <= now_ms);
        lagged.map(|(_, load)| load.clone()).unwrap_or_default()
    }
}
