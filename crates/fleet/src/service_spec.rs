use comfreymast_base::Service;

/// What is known of all upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Service,
    /// The connections that one upstream accepts from all callers.
    pub max_connections: u32,
    /// Set when the upstreams are model engines.
    pub engine: Option<EngineSpec>,
}

/// What is known of all engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// How many requests one engine runs at once.
    pub slots: u32,
    /// The tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// The memory of one token.
    pub token_bytes: u64,
    /// The bandwidth of an engine's link.
    pub link_mbps: f64,
    /// True when engines copy running generations to each other.
    pub can_move: bool,
    /// How many tokens one event of a stream holds.
    pub tokens_per_event: u32,
}

impl EngineSpec {
    /// How long copying `tokens` takes on an idle link inside one data centre.
    #[must_use]
    pub fn copy_ms(&self, tokens: u64) -> u64 {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MS_OF_ONE_MBPS: f64 = 1_000.0;
        let bits = (tokens * self.token_bytes) as f64 * BITS_PER_BYTE;
        (bits / (self.link_mbps.max(1.0) * BITS_PER_MS_OF_ONE_MBPS)).ceil() as u64
    }
}
