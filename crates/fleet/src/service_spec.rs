use comfreymast_base::Service;

/// Properties common to all upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Service,
    /// Maximum connections that one upstream accepts, from all callers together.
    pub max_connections: u32,
    /// Where an upstream answers health checks.
    pub health_path: String,
    /// Set when the upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// The requests a second that an upstream tolerates from all daemons together while it is cold; `None` if
    /// there is no limit.
    pub cold_per_s: Option<f64>,
    /// How long an upstream is cold that starts.
    pub cold_start_ms: u64,
}

/// Properties common to all engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum requests that one engine runs concurrently.
    pub slots: u32,
    /// The capacity of an engine's memory, in tokens.
    pub memory_tokens: u64,
    /// The memory used by one token.
    pub token_bytes: u64,
    /// The bandwidth of an engine's link.
    pub link_mbps: f64,
    /// True when engines can copy running generations to each other.
    pub can_move: bool,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
}

impl EngineSpec {
    /// The time to copy `tokens` over an idle link inside one data centre.
    #[must_use]
    pub fn copy_ms(&self, tokens: u64) -> u64 {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MS_OF_ONE_MBPS: f64 = 1_000.0;
        let bits = (tokens * self.token_bytes) as f64 * BITS_PER_BYTE;
        (bits / (self.link_mbps.max(1.0) * BITS_PER_MS_OF_ONE_MBPS)).ceil() as u64
    }
}
