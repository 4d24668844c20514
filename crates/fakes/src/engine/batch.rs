//! The batch scheduler of an engine. It has no clock and does no I/O: each [`Batch::step`] returns
//! how long it takes.

use std::cmp::Reverse;

use comfreymast_base::GenerationId;
use comfreymast_wire::engine::Load;

use super::prefix_cache::PrefixCache;

/// The capacity and speed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Memory for the prompts and outputs of running generations.
    pub memory_tokens: u64,
    /// Maximum number of generations in the batch.
    pub max_batch: usize,
    /// Base duration of a step.
    pub step_us: u64,
    /// Time that each generation in the batch adds to a step.
    pub step_per_generation_us: u64,
    /// Time that each prefilled token adds to its step.
    pub prefill_per_token_us: u64,
    /// Maximum number of tokens that one step prefills.
    pub prefill_chunk_tokens: u32,
    /// Memory of the prefix cache, separate from `memory_tokens`.
    pub prefix_cache_tokens: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            memory_tokens: 60_000,
            max_batch: 64,
            step_us: 8_000,
            step_per_generation_us: 200,
            prefill_per_token_us: 20,
            prefill_chunk_tokens: 128,
            prefix_cache_tokens: 20_000,
        }
    }
}

/// The beginning of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash of its text.
    pub hash: u64,
    /// Its length.
    pub tokens: u32,
}

/// One generation on the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Which one.
    pub generation: GenerationId,
    /// From 0 (lowest) to 9 (highest).
    pub priority: u8,
    /// The prompt's length.
    pub prompt_tokens: u32,
    /// The part of the prompt that may be cached.
    pub prefix: Option<Prefix>,
    /// Tokens generated so far, those of earlier attempts included.
    pub done_tokens: u32,
    /// Tokens of the whole output.
    pub total_tokens: u32,
}

impl Job {
    fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.done_tokens)
    }
}

/// A generation in the batch.
#[derive(Clone, Debug)]
struct Running {
    job: Job,
    /// Tokens to prefill before the next one is generated.
    prefill_tokens: u32,
}

/// The result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Its duration.
    pub duration_us: u64,
    /// Generations with a new token, and that token's index.
    pub produced: Vec<(GenerationId, u32)>,
    /// Generations that produced their last token.
    pub finished: Vec<GenerationId>,
    /// Generations evicted from memory, to be prefilled again later.
    pub preempted: Vec<GenerationId>,
}

/// The batch of an engine.
#[derive(Clone, Debug)]
pub struct Batch {
    options: EngineOptions,
    running: Vec<Running>,
    waiting: Vec<Job>,
    prefixes: PrefixCache,
    preemptions: u64,
    started: u64,
}

impl Batch {
    /// An empty batch.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        let prefixes = PrefixCache::new(options.prefix_cache_tokens);
        Self {
            options,
            running: Vec::new(),
            waiting: Vec::new(),
            prefixes,
            preemptions: 0,
            started: 0,
        }
    }

    /// Queues a generation.
    pub fn submit(&mut self, job: Job) {
        self.started += 1;
        self.waiting.push(job);
    }

    /// Removes a generation, running or waiting.
    pub fn cancel(&mut self, generation: GenerationId) {
        self.running.retain(|running| running.job.generation != generation);
        self.waiting.retain(|job| job.generation != generation);
    }

    /// True when no generation is running or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// The load report of the engine.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            memory_used_tokens: self.memory_used_tokens(),
            memory_tokens: self.options.memory_tokens,
            preemptions: self.preemptions,
            started: self.started,
        }
    }

    /// The hashes of the prefixes in the cache.
    #[must_use]
    pub fn cached_prefixes(&self) -> Vec<u64> {
        self.prefixes.hashes()
    }

    /// Admits what fits, preempts the lowest priorities while memory is full, and generates one
    /// token for each running generation whose prefill is complete.
    pub fn step(&mut self) -> Step {
        let mut step = Step { duration_us: self.options.step_us, ..Step::default() };
        self.admit();
        self.preempt(&mut step);
        step.duration_us += self.prefill() * self.options.prefill_per_token_us;
        step.duration_us += self.running.len() as u64 * self.options.step_per_generation_us;
        for Running { job, prefill_tokens } in &mut self.running {
            if *prefill_tokens > 0 {
                continue;
            }
            step.produced.push((job.generation, job.done_tokens));
            job.done_tokens += 1;
            if job.done_tokens >= job.total_tokens {
                step.finished.push(job.generation);
            }
        }
        self.running.retain(|running| running.job.done_tokens < running.job.total_tokens);
        step
    }

    fn memory_used_tokens(&self) -> u64 {
        self.running.iter().map(|running| running.job.memory_tokens()).sum()
    }

    /// Moves waiting generations into the batch while there is memory for them. An empty batch
    /// takes any generation, so that an oversized one still runs.
    fn admit(&mut self) {
        // The sort is stable, which keeps the arrival order within one priority.
        self.waiting.sort_by_key(|job| Reverse(job.priority));
        while let Some(next) = self.waiting.first() {
            let needed_tokens = next.memory_tokens() + 1 + self.running.len() as u64;
            let fits = self.memory_used_tokens() + needed_tokens <= self.options.memory_tokens;
            if self.running.len() >= self.options.max_batch || !(fits || self.running.is_empty()) {
                break;
            }
            let job = self.waiting.remove(0);
            let cached_tokens = job.prefix.map_or(0, |prefix| self.prefixes.lookup(prefix));
            let all_tokens = u32::try_from(job.memory_tokens()).unwrap_or(u32::MAX);
            self.running
                .push(Running { prefill_tokens: all_tokens.saturating_sub(cached_tokens), job });
        }
    }

    /// Prefills one chunk, oldest generation first, and returns its number of tokens.
    fn prefill(&mut self) -> u64 {
        let mut budget_tokens = self.options.prefill_chunk_tokens;
        for running in &mut self.running {
            let chunk_tokens = running.prefill_tokens.min(budget_tokens);
            running.prefill_tokens -= chunk_tokens;
            budget_tokens -= chunk_tokens;
        }
        u64::from(self.options.prefill_chunk_tokens - budget_tokens)
    }

    /// Moves generations back to the queue while memory is full: lowest priority first, newest
    /// first within one priority. The last generation always stays.
    fn preempt(&mut self, step: &mut Step) {
        let is_full = |batch: &Self| {
            batch.memory_used_tokens() + batch.running.len() as u64 > batch.options.memory_tokens
        };
        while self.running.len() > 1 && is_full(self) {
            let newest_first = self.running.iter().enumerate().rev();
            let lowest = newest_first.min_by_key(|(_, running)| running.job.priority);
            let Some((victim, _)) = lowest else { break };
            let Running { job, .. } = self.running.remove(victim);
            self.preemptions += 1;
            step.preempted.push(job.generation);
            self.waiting.insert(0, job);
        }
    }
}
