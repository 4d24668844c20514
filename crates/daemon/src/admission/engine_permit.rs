use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use comfreymast_decide::admission::{End, Ticket};

use crate::daemon::Daemon;
use crate::directory::UpstreamState;

/// The right to run one generation on one engine. Dropping it frees the engine's memory that is
/// accounted to the generation.
pub(crate) struct EnginePermit {
    daemon: Arc<Daemon>,
    ticket: Ticket,
    engine: Arc<UpstreamState>,
    done_tokens: Arc<AtomicU32>,
    end: End,
}

impl EnginePermit {
    pub(super) fn new(
        daemon: &Arc<Daemon>,
        ticket: Ticket,
        engine: Arc<UpstreamState>,
        done_tokens: Arc<AtomicU32>,
    ) -> Self {
        Self { daemon: daemon.clone(), ticket, engine, done_tokens, end: End::Aborted }
    }

    /// The engine to run the generation on.
    pub(crate) fn engine(&self) -> &Arc<UpstreamState> {
        &self.engine
    }

    /// Records the number of tokens that the answer has so far.
    pub(crate) fn progress(&self, done_tokens: u32) {
        self.done_tokens.store(done_tokens, Ordering::Release);
    }

    /// Records that the answer is complete. Its length is learned when the permit is dropped.
    pub(crate) fn finish(&mut self, tokens: u32) {
        self.end = End::Completed { tokens };
    }
}

impl Drop for EnginePermit {
    fn drop(&mut self) {
        self.daemon.engine_queue.finish(self.ticket, self.end, self.daemon.clock.now_ms());
    }
}

impl fmt::Debug for EnginePermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EnginePermit")
            .field("ticket", &self.ticket)
            .field("engine", &self.engine.name)
            .finish_non_exhaustive()
    }
}
