const PRIORITIES: usize = 10;
/// Over how long the pace is taken.
const MEMORY_MS: f64 = 20_000.0;
/// The weight of the newest generation in the average.
const NEWEST_SHARE: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    tokens: f64,
    at_ms: u64,
}

impl Rate {
    fn faded_tokens(&self, now_ms: u64) -> f64 {
        self.tokens * (-(now_ms.saturating_sub(self.at_ms) as f64) / MEMORY_MS).exp()
    }
}

/// How fast waiting work is started, and how fast tokens are made.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    started: [Rate; PRIORITIES],
    /// `None` before any generation has ended.
    token_ms: Option<f64>,
}

impl Pace {
    /// Work of this priority was started.
    pub(crate) fn started(&mut self, priority: u8, tokens: f64, now_ms: u64) {
        if let Some(rate) = self.started.get_mut(usize::from(priority)) {
            *rate = Rate { tokens: rate.faded_tokens(now_ms) + tokens, at_ms: now_ms };
        }
    }

    /// The highest priority that was started lately.
    pub(crate) fn highest_priority(&self, now_ms: u64) -> u8 {
        const ACTIVE_TOKENS: f64 = 1.0;
        let active = |rate: &Rate| rate.faded_tokens(now_ms) >= ACTIVE_TOKENS;
        self.started.iter().rposition(active).and_then(|at| u8::try_from(at).ok()).unwrap_or(0)
    }

    /// A generation made its tokens in this time.
    pub(crate) fn finished(&mut self, tokens: u32, duration_ms: u64) {
        if tokens > 0 {
            let token_ms = duration_ms as f64 / f64::from(tokens);
            let average_ms = self.token_ms.get_or_insert(token_ms);
            *average_ms += NEWEST_SHARE * (token_ms - *average_ms);
        }
    }

    /// How long work of this priority waits behind `tokens` of others.
    pub(crate) fn wait_ms(&self, priority: u8, tokens: f64, now_ms: u64) -> u64 {
        let ahead = self.started.get(usize::from(priority)..).unwrap_or_default();
        let started_tokens: f64 = ahead.iter().map(|rate| rate.faded_tokens(now_ms)).sum();
        if tokens <= 0.0 {
            return 0;
        }
        // A float that is too large becomes the largest integer.
        (tokens * MEMORY_MS / started_tokens.max(1.0)) as u64
    }

    /// How long a generation of this many tokens runs; 0 while that is not known.
    pub(crate) fn run_ms(&self, tokens: f64) -> u64 {
        (tokens * self.token_ms.unwrap_or_default()) as u64
    }
}
