use std::collections::VecDeque;

use comfreymast_base::Upstream;
use comfreymast_fakes::engine::batch::{Batch, EngineOptions, Step};
use comfreymast_wire::engine::Load;

/// One engine in virtual time.
#[derive(Debug)]
pub(crate) struct SimEngine {
    pub(crate) name: Upstream,
    pub(crate) batch: Batch,
    /// The step that runs now.
    pub(crate) step: Option<Step>,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    /// Rises with each loss, so that a step of an earlier life is ignored.
    pub(crate) life: u32,
    loads: VecDeque<(u64, Load)>,
}

impl SimEngine {
    pub(crate) fn new(index: usize, options: &EngineOptions) -> Self {
        Self {
            name: Upstream::from(format!("e{index}")),
            batch: Batch::new(options.clone()),
            step: None,
            alive: true,
            leaving: false,
            life: 0,
            loads: VecDeque::new(),
        }
    }

    /// Loses the batch.
    pub(crate) fn lose(&mut self, options: &EngineOptions) {
        self.batch = Batch::new(options.clone());
        self.step = None;
        self.alive = false;
        self.life += 1;
    }

    /// Remembers the load of this moment.
    pub(crate) fn note_load(&mut self, now_ms: u64) {
        const KEPT_MS: u64 = 10_000;
        self.loads.push_back((now_ms, self.batch.load()));
        while self.loads.front().is_some_and(|(at_ms, _)| now_ms - at_ms > KEPT_MS) {
            self.loads.pop_front();
        }
    }

    /// The load as it was `lag_ms` ago.
    pub(crate) fn lagged_load(&self, now_ms: u64, lag_ms: u64) -> Load {
        let lagged = self.loads.iter().rev().find(|(at_ms, _)| at_ms + lag_ms <= now_ms);
        lagged.map(|(_, load)| load.clone()).unwrap_or_default()
    }
}
