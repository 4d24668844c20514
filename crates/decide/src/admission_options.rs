use crate::fairness::FairnessOptions;
use crate::lengths::LengthOptions;
use crate::prefix::PrefixOptions;

/// Memory bounds of engines, and the order of service.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// The share of an engine's memory that the expected peak may use.
    pub memory_share: f64,
    /// The share of an engine's memory that may be in use when a generation starts.
    pub now_share: f64,
    /// Like `memory_share`, for work that ran before: its reader waits in the middle of an answer.
    pub continued_share: f64,
    /// Standard deviations that are added to the mean use.
    pub deviations: f64,
    /// Maximum share of an engine's memory that is reserved for work of the highest active
    /// priority while such work is kept waiting.
    pub priority_reserve: f64,
    /// Work that is expected to generate fewer tokens leaves proportionally less of the reserve
    /// free, since its memory is released soon.
    pub reserve_tokens: f64,
    /// The reserve grows when work of the highest active priority waits longer than this.
    pub long_wait_ms: u64,
    /// The share of that work that may wait longer.
    pub long_wait_share: f64,
    /// The share of memory left to others by an organisation that received twice its fair share.
    pub share_reserve: f64,
    /// Bonus for a cached prefix, as a share of an engine's memory.
    pub prefix_bonus: f64,
    /// Cost of each running generation, which lengthens every step, as a share of an engine's
    /// memory.
    pub running_cost: f64,
    /// Bonus for an engine in this daemon's data centre, as a share of its memory.
    pub near_bonus: f64,
    /// How many more waiting requests are tried after one found no room.
    pub lookahead: usize,
    /// Maximum wait for an engine.
    pub max_wait_ms: u64,
    /// Number of engines with room that are compared for one request.
    pub choices: usize,
    /// Maximum generations of this daemon on an engine that has not reported yet.
    pub unreported_running: usize,
    /// Age at which a peer's reported use is ignored.
    pub peer_use_ms: u64,
    /// Maximum delay of an engine's report.
    pub report_lag_ms: u64,
    /// How long expected memory profiles are cached.
    pub profile_ms: u64,
    /// Whether organisations with less recent service go first.
    pub fair: bool,
    /// How answer lengths are estimated.
    pub lengths: LengthOptions,
    /// How the service given to an organisation is counted.
    pub fairness: FairnessOptions,
    /// How long cache hints are used.
    pub prefix: PrefixOptions,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            memory_share: 1.0,
            now_share: 0.98,
            continued_share: 1.3,
            deviations: 0.6,
            priority_reserve: 0.5,
            reserve_tokens: 500.0,
            long_wait_ms: 500,
            long_wait_share: 0.05,
            share_reserve: 0.1,
            prefix_bonus: 0.05,
            running_cost: 0.01,
            near_bonus: 0.01,
            lookahead: 8,
            max_wait_ms: 60_000,
            choices: 2,
            unreported_running: 4,
            peer_use_ms: 2_000,
            report_lag_ms: 4_000,
            profile_ms: 100,
            fair: true,
            lengths: LengthOptions::default(),
            fairness: FairnessOptions::default(),
            prefix: PrefixOptions::default(),
        }
    }
}
