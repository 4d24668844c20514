const PRIORITIES: usize = 10;
/// Time constant of the decay of started tokens.
const DECAY_MS: f64 = 20_000.0;
/// The weight of the newest generation in the average.
const NEWEST_WEIGHT: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    tokens: f64,
    at_ms: u64,
}

impl DecayingCount {
    fn decayed_tokens(&self, now_ms: u64) -> f64 {
        self.tokens * (-(now_ms.saturating_sub(self.at_ms) as f64) / DECAY_MS).exp()
    }
}

/// Measures how fast waiting work is started and how fast tokens are generated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    started: [DecayingCount; PRIORITIES],
    /// `None` before any generation has ended.
    token_ms: Option<f64>,
}

impl Throughput {
    /// Records that work of this priority was started.
    pub(crate) fn record_start(&mut self, priority: u8, tokens: f64, now_ms: u64) {
        if let Some(count) = self.started.get_mut(usize::from(priority)) {
            *count = DecayingCount { tokens: count.decayed_tokens(now_ms) + tokens, at_ms: now_ms };
        }
    }

    /// The highest priority that was started recently.
    pub(crate) fn highest_priority(&self, now_ms: u64) -> u8 {
        const ACTIVE_TOKENS: f64 = 1.0;
        let active = |count: &DecayingCount| count.decayed_tokens(now_ms) >= ACTIVE_TOKENS;
        self.started.iter().rposition(active).and_then(|at| u8::try_from(at).ok()).unwrap_or(0)
    }

    /// Records the duration of a generation.
    pub(crate) fn record_finish(&mut self, tokens: u32, duration_ms: u64) {
        if tokens > 0 {
            let token_ms = duration_ms as f64 / f64::from(tokens);
            let average_ms = self.token_ms.get_or_insert(token_ms);
            *average_ms += NEWEST_WEIGHT * (token_ms - *average_ms);
        }
    }

    /// How long work of this priority waits behind `tokens` of others.
    pub(crate) fn wait_ms(&self, priority: u8, tokens: f64, now_ms: u64) -> u64 {
        let ahead = self.started.get(usize::from(priority)..).unwrap_or_default();
        let started_tokens: f64 = ahead.iter().map(|count| count.decayed_tokens(now_ms)).sum();
        if tokens <= 0.0 {
            return 0;
        }
        // The cast saturates.
        (tokens * DECAY_MS / started_tokens.max(1.0)) as u64
    }

    /// How long a generation of this many tokens runs; 0 while that is not known.
    pub(crate) fn run_ms(&self, tokens: f64) -> u64 {
        (tokens * self.token_ms.unwrap_or_default()) as u64
    }
}
