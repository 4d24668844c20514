//! Which engine takes a generation, from what all daemons say they run.
//!
//! Load pattern: a few long answers of unknown length beside many short ones, on engines of which
//! some leave every few seconds.

/// What is known of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineView {
    /// The tokens that its memory holds.
    pub memory_tokens: u64,
    /// Memory that generations hold or are expected to hold, over all daemons.
    pub reserved_tokens: u64,
    /// Prompts that it still has to read, over all daemons.
    pub prefill_tokens: u64,
    /// Generations on it, over all daemons.
    pub runs: u32,
    /// How many it runs at once.
    pub slots: u32,
    /// True when it is in the data centre of the asking daemon.
    pub is_near: bool,
    /// True when another engine is in its data centre, to which its generations can move quickly.
    pub has_neighbour: bool,
    /// How much longer it is slow after its start.
    pub cold_ms: u64,
    /// The share of recent requests that failed on it, 0 to 1.
    pub failure_rate: f64,
}

/// What placement weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The share of an engine's memory that may be reserved.
    pub memory_share: f64,
    /// What another data centre costs, as a share of an engine's memory.
    pub far_cost: f64,
    /// What a thousand tokens that it still has to read cost, as a share of an engine's memory.
    pub prefill_cost: f64,
    /// How much heavier memory weighs on an engine without another in its data centre, since what
    /// it holds takes longer to move away.
    pub lonely_weight: f64,
    /// What an engine on which everything fails costs, as a share of an engine's memory.
    pub failure_cost: f64,
    /// What a cold second costs, as a share of an engine's memory.
    pub cold_cost: f64,
}

impl PlacementOptions {
    /// Where news of other data centres comes late: their engines are for what finds no good place
    /// nearby, so that few daemons choose among the same engines at the same time.
    #[must_use]
    pub fn with_late_news() -> Self {
        Self { far_cost: 1.0, ..Self::default() }
    }
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            memory_share: 0.95,
            far_cost: 0.05,
            prefill_cost: 0.2,
            lonely_weight: 1.6,
            failure_cost: 2.0,
            cold_cost: 0.1,
        }
    }
}

/// The index of the engine for a generation that will hold `need_tokens`; `None` when none has
/// room. `noise` gives a small value for each index, so that daemons with equal views differ.
#[must_use]
pub fn choose_engine(
    engines: &[EngineView],
    need_tokens: u64,
    options: &PlacementOptions,
    noise: impl Fn(usize) -> f64,
) -> Option<usize> {
    let open =
        engines.iter().enumerate().filter(|(_, engine)| has_room(engine, need_tokens, options));
    let costs = open.map(|(index, engine)| (index, cost(engine, options) + noise(index)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}

/// True when the engine can hold `need_tokens` more. An empty engine takes any generation that its
/// memory holds at all.
#[must_use]
pub fn has_room(engine: &EngineView, need_tokens: u64, options: &PlacementOptions) -> bool {
    let limit_tokens = (engine.memory_tokens as f64 * options.memory_share) as u64;
    let fits = engine.reserved_tokens + need_tokens <= limit_tokens;
    let is_free = engine.runs == 0 && need_tokens <= engine.memory_tokens;
    engine.runs < engine.slots && (fits || is_free)
}

fn cost(engine: &EngineView, options: &PlacementOptions) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    const TOKENS_PER_UNIT: f64 = 1_000.0;
    let filled = engine.reserved_tokens as f64 / engine.memory_tokens.max(1) as f64;
    let weight = if engine.has_neighbour { 1.0 } else { options.lonely_weight };
    let far = if engine.is_near { 0.0 } else { options.far_cost };
    let cold = engine.cold_ms as f64 / MS_PER_S * options.cold_cost;
    let prefill = engine.prefill_tokens as f64 / TOKENS_PER_UNIT * options.prefill_cost;
    filled * weight + prefill + far + cold + engine.failure_rate * options.failure_cost
}
