//! Chooses the engine for a generation, given what all daemons report to run.
//!
//! Load pattern: a few long answers of unknown length beside many short ones, on engines of which
//! some leave every few seconds and some become slow.

use crate::speed::{USUAL_SLOWNESS, valid_slowness};

/// The state of one engine as known to this daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// The capacity of its memory.
    pub memory_tokens: u64,
    /// Memory that generations use or are expected to use, over all daemons.
    pub reserved_tokens: u64,
    /// Prompt tokens that it still has to process, over all daemons.
    pub prefill_tokens: u64,
    /// Number of generations on it, over all daemons.
    pub runs: u32,
    /// Maximum generations that it runs concurrently.
    pub slots: u32,
    /// True when it is in this daemon's data centre.
    pub is_near: bool,
    /// True when its data centre has another engine, to which its generations can move quickly.
    pub has_neighbour: bool,
    /// Remaining time of its warm-up, during which it is slow.
    pub cold_ms: u64,
    /// The share of recent requests that failed on it, 0 to 1.
    pub failure_rate: f64,
    /// Its estimated speed relative to the median of its service: 1 is usual, 0.25 takes four times
    /// as long.
    pub speed: f64,
}

impl Default for EngineView {
    fn default() -> Self {
        Self {
            memory_tokens: 0,
            reserved_tokens: 0,
            prefill_tokens: 0,
            runs: 0,
            slots: 0,
            is_near: false,
            has_neighbour: false,
            cold_ms: 0,
            failure_rate: 0.0,
            speed: 1.0,
        }
    }
}

/// Weights of the cost function of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The share of an engine's memory that may be reserved.
    pub memory_share: f64,
    /// Cost of an engine in another data centre, as a share of an engine's memory.
    pub far_cost: f64,
    /// Cost of a thousand prompt tokens that are still to be processed, as a share of an engine's
    /// memory.
    pub prefill_cost: f64,
    /// Factor on the memory use of an engine that is alone in its data centre, since its
    /// generations take longer to move away.
    pub isolated_weight: f64,
    /// Cost of an engine on which every request fails, as a share of an engine's memory.
    pub failure_cost: f64,
    /// Cost of each remaining second of warm-up, as a share of an engine's memory.
    pub cold_cost: f64,
    /// Cost of each multiple of the usual time that an engine takes beyond it, for a generation of
    /// `typical_share`, as a share of an engine's memory.
    pub slow_cost: f64,
    /// The share of an engine's memory that a typical generation needs. A longer one costs more on a
    /// slow engine, so that long ones go to fast engines.
    pub typical_share: f64,
}

impl PlacementOptions {
    /// Options for fleets where updates from other data centres arrive late. Their engines are used
    /// only when no local engine is suitable, so that few daemons choose among the same engines at
    /// the same time.
    #[must_use]
    pub fn with_delayed_updates() -> Self {
        Self { far_cost: 1.0, ..Self::default() }
    }
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            memory_share: 0.95,
            far_cost: 0.05,
            prefill_cost: 0.2,
            isolated_weight: 1.6,
            failure_cost: 2.0,
            cold_cost: 0.1,
            slow_cost: 0.4,
            typical_share: 0.05,
        }
    }
}

/// The index of the engine for a generation that needs `need_tokens`; `None` when none has room.
///
/// `noise` returns a small value per index, so that daemons with equal views choose differently.
#[must_use]
pub fn choose_engine(
    engines: &[EngineView],
    need_tokens: u64,
    options: &PlacementOptions,
    noise: impl Fn(usize) -> f64,
) -> Option<usize> {
    let eligible =
        engines.iter().enumerate().filter(|(_, engine)| has_room(engine, need_tokens, options));
    let costs =
        eligible.map(|(index, engine)| (index, cost(engine, need_tokens, options) + noise(index)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}

/// True when the engine has room for `need_tokens` more. An empty engine takes any generation that
/// fits into its memory at all.
#[must_use]
pub fn has_room(engine: &EngineView, need_tokens: u64, options: &PlacementOptions) -> bool {
    let limit_tokens = (engine.memory_tokens as f64 * options.memory_share) as u64;
    let fits = engine.reserved_tokens + need_tokens <= limit_tokens;
    let is_free = engine.runs == 0 && need_tokens <= engine.memory_tokens;
    engine.runs < engine.slots && (fits || is_free)
}

/// The expected completion of a generation: what it waits for at the engine and the time of its own
/// tokens, both in proportion to the time that the engine takes, besides the risks of the engine. At
/// the usual speed only the former and the risks count.
fn cost(engine: &EngineView, need_tokens: u64, options: &PlacementOptions) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    const TOKENS_PER_UNIT: f64 = 1_000.0;
    let filled = engine.reserved_tokens as f64 / engine.memory_tokens.max(1) as f64;
    let weight = if engine.has_neighbour { 1.0 } else { options.isolated_weight };
    let far = if engine.is_near { 0.0 } else { options.far_cost };
    let cold = engine.cold_ms as f64 / MS_PER_S * options.cold_cost;
    let prefill = engine.prefill_tokens as f64 / TOKENS_PER_UNIT * options.prefill_cost;
    let slowness = slowness(engine);
    let own = (slowness - 1.0) * options.slow_cost * size_factor(engine, need_tokens, options);
    filled * weight * slowness
        + prefill * slowness
        + far
        + cold
        + engine.failure_rate * options.failure_cost
        + own
}

/// The time that the engine takes as a multiple of the usual; 1 if its speed is no usable number.
fn slowness(engine: &EngineView) -> f64 {
    valid_slowness(1.0 / engine.speed).unwrap_or(USUAL_SLOWNESS)
}

/// How much a generation of `need_tokens` suffers from a slow engine, relative to a typical one.
fn size_factor(engine: &EngineView, need_tokens: u64, options: &PlacementOptions) -> f64 {
    const MIN_FACTOR: f64 = 0.6;
    const MAX_FACTOR: f64 = 2.0;
    let share = need_tokens as f64 / engine.memory_tokens.max(1) as f64;
    (share / options.typical_share).clamp(MIN_FACTOR, MAX_FACTOR)
}
