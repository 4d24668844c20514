/// The times of an engine of usual speed.
///
/// An engine runs its generations in one batch: a step yields one token for each. It reads prompts
/// in chunks between the steps, which delays the tokens of all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualEngine {
    /// Time of a step of an empty batch.
    pub step_ms: f64,
    /// Additional time of a step for each generation in the batch.
    pub run_ms: f64,
    /// Prompt tokens that are read in a millisecond.
    pub read_tokens_per_ms: f64,
}

impl Default for UsualEngine {
    fn default() -> Self {
        Self { step_ms: 7.0, run_ms: 0.12, read_tokens_per_ms: 14.0 }
    }
}

impl UsualEngine {
    /// The time between two events of `tokens` each, while `runs` generations run and
    /// `prompt_tokens` are still to be read. Prompts count up to the time of the steps themselves,
    /// as they are read in chunks and reports of them may be outdated.
    #[must_use]
    pub fn event_ms(&self, tokens: u32, runs: u32, prompt_tokens: u64) -> f64 {
        let steps_ms = f64::from(tokens.max(1)) * self.token_ms(runs);
        steps_ms + self.read_ms(prompt_tokens).min(steps_ms)
    }

    /// The time until the first event of `tokens`, if `prompt_tokens` are to be read before it, its
    /// own included.
    #[must_use]
    pub fn first_event_ms(&self, tokens: u32, runs: u32, prompt_tokens: u64) -> f64 {
        self.read_ms(prompt_tokens) + f64::from(tokens.max(1)) * self.token_ms(runs)
    }

    fn token_ms(&self, runs: u32) -> f64 {
        self.step_ms + self.run_ms * f64::from(runs.max(1))
    }

    fn read_ms(&self, prompt_tokens: u64) -> f64 {
        prompt_tokens as f64 / self.read_tokens_per_ms
    }
}
