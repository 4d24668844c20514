/// Time limits of a gateway. docs/design/platform.md gives the reason for each default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayOptions {
    /// How long opening a connection to an upstream may take.
    pub open_limit_ms: u64,
    /// How long a connection to an upstream may be idle before it is closed.
    pub idle_connection_ms: u64,
    /// How long a read from the store may wait for a change.
    pub store_wait_ms: u64,
    /// The same for the few daemons that make sure that no change is missed. If the store loses
    /// track of a waiting reader, the reader asks again after this time.
    pub reader_wait_ms: u64,
    /// How many daemons read from the store with `reader_wait_ms`.
    pub store_readers: usize,
    /// The same for each data centre of a large fleet, where the other daemons do not read from
    /// the store at all.
    pub store_readers_per_data_centre: usize,
    /// How long the store may be silent towards all daemons before engines are polled directly.
    pub store_silence_ms: u64,
    /// Time between heartbeats to other daemons.
    pub heartbeat_interval_ms: u64,
    /// How old the latest heartbeat of a peer may be before the peer counts as gone.
    pub peer_silence_ms: u64,
    /// How long after an outage of the store an entry that expired meanwhile still counts as alive.
    pub expired_entry_grace_ms: u64,
    /// Time between checks of the settings file.
    pub settings_interval_ms: u64,
    /// A fixed port for metrics, in addition to the peers' port, which differs between fleets.
    pub metrics_port: Option<u16>,
    /// How long the daemon accepts new connections after it was told to stop.
    pub drain_grace_ms: u64,
    /// True if running generations are moved out of data centres that are evacuated.
    pub moves_evacuated: bool,
    /// True if placement counts the estimated speeds of engines. Off, as engines of equal speed are placed worse
    /// with it; see docs/design/uneven-upstreams.md.
    pub places_by_speed: bool,
}

impl Default for GatewayOptions {
    fn default() -> Self {
        Self {
            open_limit_ms: 300,
            idle_connection_ms: 3_000,
            store_wait_ms: 10_000,
            reader_wait_ms: 800,
            store_silence_ms: 1_400,
            store_readers: 2,
            store_readers_per_data_centre: 1,
            heartbeat_interval_ms: 150,
            peer_silence_ms: 1_500,
            expired_entry_grace_ms: 2_300,
            settings_interval_ms: 1_000,
            metrics_port: None,
            drain_grace_ms: 3_000,
            moves_evacuated: true,
            places_by_speed: false,
        }
    }
}

impl GatewayOptions {
    /// Lets a read from the store wait `store_wait_ms` for a change.
    #[must_use]
    pub fn store_wait_ms(mut self, store_wait_ms: u64) -> Self {
        self.store_wait_ms = store_wait_ms;
        self
    }

    /// Serves metrics on `metrics_port` too.
    #[must_use]
    pub fn metrics_port(mut self, metrics_port: Option<u16>) -> Self {
        self.metrics_port = metrics_port;
        self
    }

    /// Moves running generations out of data centres that are evacuated, or leaves them there.
    #[must_use]
    pub fn moves_evacuated(mut self, moves_evacuated: bool) -> Self {
        self.moves_evacuated = moves_evacuated;
        self
    }

    /// Counts the estimated speeds of engines in placement, or places as if they were equal.
    #[must_use]
    pub fn places_by_speed(mut self, places_by_speed: bool) -> Self {
        self.places_by_speed = places_by_speed;
        self
    }

    /// Sends heartbeats every `heartbeat_interval_ms`.
    #[must_use]
    pub fn heartbeat_interval_ms(mut self, heartbeat_interval_ms: u64) -> Self {
        self.heartbeat_interval_ms = heartbeat_interval_ms;
        self
    }
}
