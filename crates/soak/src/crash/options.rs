use crate::{Kind, SoakOptions};

/// The configuration of a run with requests that crash their upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// Size of the fleet, its callers, the seed and the duration.
    pub fleet: SoakOptions,
    /// The kind of each request that crashes its upstreams.
    pub culprits: Vec<Kind>,
    /// How often each of them is sent, each time through another daemon.
    pub interval_ms: u64,
    /// How long a crashed upstream is down.
    pub restart_ms: u64,
    /// How much later than its connections the port of a crashed upstream closes.
    pub port_delay_ms: u64,
    /// A crashed upstream accepts connections until its port closes, and closes each at once.
    pub closes_accepted: bool,
    /// Crashed upstreams come back as new ones, with another name, at the same address.
    pub renames_upstreams: bool,
    /// How long the culprits crash nothing at first.
    pub harmless_ms: u64,
    /// Time between two faults that have nothing to do with the culprits: upstreams and daemons
    /// that are killed, in turn. `None` for no faults.
    pub kill_interval_ms: Option<u64>,
    /// Kills all upstreams at once instead.
    pub kills_all_upstreams: bool,
    /// Kills all daemons at once instead.
    pub kills_all_daemons: bool,
    /// Plain upstreams answer each request with a failure of their own.
    pub plain_fails: bool,
    /// How long plain requests run that crash nothing.
    pub answer_ms: u64,
    /// The store refuses all calls once the daemons serve.
    pub is_store_down: bool,
    /// The kind of each request that is sent again and again like culprits but crashes nothing.
    pub harmless: Vec<Kind>,
}

impl CrashOptions {
    /// A run of `fleet` with one culprit of each of these kinds and no other faults.
    #[must_use]
    pub fn new(fleet: SoakOptions, culprits: Vec<Kind>) -> Self {
        Self {
            fleet,
            culprits,
            interval_ms: 700,
            restart_ms: 1_500,
            port_delay_ms: 0,
            closes_accepted: false,
            renames_upstreams: false,
            harmless_ms: 0,
            kill_interval_ms: None,
            kills_all_upstreams: false,
            kills_all_daemons: false,
            plain_fails: false,
            answer_ms: 0,
            is_store_down: false,
            harmless: Vec::new(),
        }
    }

    /// A small service that ends as a whole, again and again: its few upstreams come back together,
    /// as new ones, under a culprit that comes often.
    #[must_use]
    pub fn whole_service(mut fleet: SoakOptions, culprits: Vec<Kind>) -> Self {
        fleet.engines = 1;
        fleet.plain_upstreams = 4;
        Self {
            interval_ms: 100,
            restart_ms: 3_400,
            renames_upstreams: true,
            ..Self::new(fleet, culprits)
        }
    }

    /// Kills an upstream or a daemon every `kill_interval_ms`.
    #[must_use]
    pub fn kill_interval_ms(mut self, kill_interval_ms: Option<u64>) -> Self {
        self.kill_interval_ms = kill_interval_ms;
        self
    }
}
