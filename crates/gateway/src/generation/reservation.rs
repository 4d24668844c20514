use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreymast_decide::evacuation::RunView;
use comfreymast_platform::PromptShape;

use crate::upstream_state::UpstreamState;

/// The length assumed at first for an answer, as a multiple of the caller's estimate.
const ESTIMATE_MARGIN: f64 = 1.15;
/// The further growth assumed for an answer that exceeds its estimate, as a share of its length.
const OVERRUN_SHARE: f64 = 0.25;

/// Memory that a generation holds or is expected to hold on an engine, reported to all daemons
/// until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    upstream: Arc<UpstreamState>,
    key: u32,
    tokens: AtomicU64,
    since_ms: u64,
}

impl Reservation {
    /// Reserves `tokens` on `upstream` for the generation `key`, at `now_ms`.
    pub(crate) fn new(upstream: &Arc<UpstreamState>, key: u32, tokens: u64, now_ms: u64) -> Self {
        upstream.reserved_tokens.fetch_add(tokens, Ordering::AcqRel);
        let upstream = upstream.clone();
        Self { upstream, key, tokens: AtomicU64::new(tokens), since_ms: now_ms }
    }

    /// Changes the reservation to `expected_tokens`.
    pub(crate) fn resize(&self, expected_tokens: u64) {
        let before = self.tokens.swap(expected_tokens, Ordering::AcqRel);
        self.upstream.reserved_tokens.fetch_add(expected_tokens, Ordering::AcqRel);
        self.upstream.reserved_tokens.fetch_sub(before, Ordering::AcqRel);
        if expected_tokens < before {
            self.upstream.room.notify();
        }
    }

    /// The memory that is reserved.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Acquire)
    }

    /// How long it has been reserved.
    pub(crate) fn held_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms)
    }

    /// Lists the generation among those that move when the engine leaves, or updates its entry.
    pub(crate) fn list_generation(&self, run: RunView) {
        let mut generations = self.upstream.own_generations();
        match generations.iter_mut().find(|known| known.key == self.key) {
            Some(known) => *known = run,
            None => generations.push(run),
        }
    }

    /// Removes the generation from that list.
    pub(crate) fn unlist_generation(&self) {
        self.upstream.own_generations().retain(|known| known.key != self.key);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let tokens = self.tokens.load(Ordering::Acquire);
        self.upstream.reserved_tokens.fetch_sub(tokens, Ordering::AcqRel);
        self.unlist_generation();
        self.upstream.room.notify();
    }
}

/// Counts a prompt among those that an engine still has to process, until this is dropped.
#[derive(Debug)]
pub(crate) struct Prefill {
    upstream: Arc<UpstreamState>,
    tokens: u64,
}

impl Prefill {
    /// Counts a prompt of `tokens` at `upstream`.
    pub(crate) fn new(upstream: &Arc<UpstreamState>, tokens: u64) -> Self {
        upstream.prefill_tokens.fetch_add(tokens, Ordering::AcqRel);
        Self { upstream: upstream.clone(), tokens }
    }
}

impl Drop for Prefill {
    fn drop(&mut self) {
        self.upstream.prefill_tokens.fetch_sub(self.tokens, Ordering::AcqRel);
        self.upstream.room.notify();
    }
}

/// Identifies the generation of the request `id` among those of one engine.
pub(crate) fn generation_key(id: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u32
}

/// The memory that a generation is expected to hold at its end, estimated after
/// `generated_tokens`.
pub(crate) fn expected_tokens(shape: &PromptShape, generated_tokens: u64) -> u64 {
    let estimate = shape.expected_output_tokens.unwrap_or(shape.max_output_tokens);
    let estimate = (estimate as f64 * ESTIMATE_MARGIN) as u64;
    let overrun = generated_tokens + (generated_tokens as f64 * OVERRUN_SHARE) as u64;
    let output = if generated_tokens >= estimate { overrun } else { estimate };
    shape.prompt_tokens + output.min(shape.max_output_tokens).max(generated_tokens)
}
