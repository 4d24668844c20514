/// Time limits of a gateway. Where each comes from stands in docs/design/platform.md.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayOptions {
    /// How long opening a connection to an upstream may take.
    pub open_limit_ms: u64,
    /// How long a connection to an upstream may be idle before it is closed.
    pub idle_connection_ms: u64,
    /// How long the store is asked to wait for a change.
    pub store_wait_ms: u64,
    /// The same for the few daemons that make sure that no change is missed: a store that has
    /// lost track of a waiting reader is noticed after this time.
    pub reader_wait_ms: u64,
    /// How many daemons do that.
    pub readers: usize,
    /// How many do that in each data centre of a large fleet, where the others do not ask at all.
    pub readers_of_large: usize,
    /// How long no daemon may hear of the store before engines are asked themselves.
    pub store_silence_ms: u64,
    /// Time between heartbeats to other daemons.
    pub heartbeat_interval_ms: u64,
    /// How old a peer's news may be before it counts as gone.
    pub peer_silence_ms: u64,
    /// How long an entry that vanished with the store's outage counts as alive after its return.
    pub lapse_grace_ms: u64,
    /// Time between looks at the settings file.
    pub settings_interval_ms: u64,
    /// Where metrics are served beside the peers' port, which differs from one fleet to another.
    pub metrics_port: Option<u16>,
    /// How long the daemon takes new connections after it was told to stop.
    pub drain_grace_ms: u64,
}

impl Default for GatewayOptions {
    fn default() -> Self {
        Self {
            open_limit_ms: 300,
            idle_connection_ms: 3_000,
            store_wait_ms: 10_000,
            reader_wait_ms: 800,
            store_silence_ms: 1_400,
            readers: 2,
            readers_of_large: 1,
            heartbeat_interval_ms: 150,
            peer_silence_ms: 1_500,
            lapse_grace_ms: 2_300,
            settings_interval_ms: 1_000,
            metrics_port: None,
            drain_grace_ms: 3_000,
        }
    }
}

impl GatewayOptions {
    /// Asks the store to wait `store_wait_ms` for a change.
    #[must_use]
    pub fn store_wait_ms(mut self, store_wait_ms: u64) -> Self {
        self.store_wait_ms = store_wait_ms;
        self
    }

    /// Serves metrics at `metrics_port` too.
    #[must_use]
    pub fn metrics_port(mut self, metrics_port: Option<u16>) -> Self {
        self.metrics_port = metrics_port;
        self
    }

    /// Sends heartbeats every `heartbeat_interval_ms`.
    #[must_use]
    pub fn heartbeat_interval_ms(mut self, heartbeat_interval_ms: u64) -> Self {
        self.heartbeat_interval_ms = heartbeat_interval_ms;
        self
    }
}
