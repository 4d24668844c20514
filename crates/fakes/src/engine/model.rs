//! The pure batch of an engine. It knows no clock and no I/O: each [`Batch::step`] says how long
//! it takes.

use std::cmp::Reverse;

use comfreymast_base::GenerationId;
use comfreymast_wire::engine::Load;

use super::prefix_cache::PrefixCache;

/// What an engine can do.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Memory for prompts and outputs.
    pub memory_tokens: u64,
    /// The most generations in one batch.
    pub max_batch: usize,
    /// A step of an empty batch.
    pub step_us: u64,
    /// What each generation of the batch adds to a step.
    pub step_per_generation_us: u64,
    /// What each prompt token adds to the step that reads it.
    pub prefill_per_token_us: u64,
    /// The most prompt tokens that one step reads.
    pub prefill_chunk_tokens: u32,
    /// Memory for prompt prefixes, beside that for running generations.
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

/// The beginning of a prompt that other prompts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Its hash.
    pub hash: u64,
    /// Its length.
    pub tokens: u32,
}

/// One generation on the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Which one.
    pub generation: GenerationId,
    /// From 0, the first to wait, to 9.
    pub priority: u8,
    /// The prompt's length.
    pub prompt_tokens: u32,
    /// The part of the prompt that others may share.
    pub prefix: Option<Prefix>,
    /// Tokens that exist, those of earlier attempts included.
    pub done_tokens: u32,
    /// Tokens there will be in the end.
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
    /// Tokens that must be read before the next one is made.
    unread_tokens: u32,
}

/// What one step did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// How long it took.
    pub duration_us: u64,
    /// One new token each, with its index.
    pub produced: Vec<(GenerationId, u32)>,
    /// Generations that are done now.
    pub finished: Vec<GenerationId>,
    /// Generations pushed out of memory, to be read again later.
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

    /// Forgets a generation.
    pub fn cancel(&mut self, generation: GenerationId) {
        self.running.retain(|running| running.job.generation != generation);
        self.waiting.retain(|job| job.generation != generation);
    }

    /// True when there is nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// What the engine says of itself.
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

    /// Admits what fits, makes one token for each running generation whose prompt is read, and
    /// pushes the least important out when memory is full.
    pub fn step(&mut self) -> Step {
        let mut step = Step { duration_us: self.options.step_us, ..Step::default() };
        self.admit();
        self.make_room(&mut step);
        step.duration_us += self.read_prompts() * self.options.prefill_per_token_us;
        step.duration_us += self.running.len() as u64 * self.options.step_per_generation_us;
        for Running { job, unread_tokens } in &mut self.running {
            if *unread_tokens > 0 {
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

    /// Moves waiting generations into the batch while there is memory for them.
    fn admit(&mut self) {
        // A stable sort keeps arrival order within one priority.
        self.waiting.sort_by_key(|job| Reverse(job.priority));
        while let Some(next) = self.waiting.first() {
            let needed_tokens = next.memory_tokens() + 1 + self.running.len() as u64;
            let fits = self.memory_used_tokens() + needed_tokens <= self.options.memory_tokens;
            if self.running.len() >= self.options.max_batch || !(fits || self.running.is_empty()) {
                break;
            }
            let job = self.waiting.remove(0);
            let cached_tokens = job.prefix.map_or(0, |prefix| self.prefixes.read(prefix));
            let all_tokens = u32::try_from(job.memory_tokens()).unwrap_or(u32::MAX);
            self.running
                .push(Running { unread_tokens: all_tokens.saturating_sub(cached_tokens), job });
        }
    }

    /// Reads one chunk of prompts, oldest first; returns how many tokens were read.
    fn read_prompts(&mut self) -> u64 {
        let mut left_tokens = self.options.prefill_chunk_tokens;
        for running in &mut self.running {
            let read_tokens = running.unread_tokens.min(left_tokens);
            running.unread_tokens -= read_tokens;
            left_tokens -= read_tokens;
        }
        u64::from(self.options.prefill_chunk_tokens - left_tokens)
    }

    fn make_room(&mut self, step: &mut Step) {
        let full = |batch: &Self| {
            batch.memory_used_tokens() + batch.running.len() as u64 > batch.options.memory_tokens
        };
        while self.running.len() > 1 && full(self) {
            let newest_first = self.running.iter().enumerate().rev();
            let least = newest_first.min_by_key(|(_, running)| running.job.priority);
            let Some((victim, _)) = least else { break };
            let Running { job, .. } = self.running.remove(victim);
            self.preemptions += 1;
            step.preempted.push(job.generation);
            self.waiting.insert(0, job);
        }
    }
}
