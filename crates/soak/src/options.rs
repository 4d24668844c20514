use std::path::PathBuf;

/// The configuration of a soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakOptions {
    /// Seeds the random faults and calls.
    pub seed: u64,
    /// How long faults are injected.
    pub duration_ms: u64,
    /// Number of daemons, each a process.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of upstreams of the plain service.
    pub plain_upstreams: usize,
    /// Number of callers per daemon.
    pub callers: usize,
    /// Number of software versions that upstreams have at the start.
    pub versions: usize,
    /// Also checks guarantees with a time limit, which needs a machine that is not busy.
    pub checks_times: bool,
    /// The folder for settings and logs.
    pub folder: PathBuf,
}

impl SoakOptions {
    /// A soak of a small fleet with `seed`, which writes its files to `folder`.
    #[must_use]
    pub fn new(seed: u64, folder: PathBuf) -> Self {
        Self {
            seed,
            duration_ms: 10_000,
            daemons: 4,
            engines: 4,
            plain_upstreams: 3,
            callers: 6,
            versions: 1,
            checks_times: false,
            folder,
        }
    }

    /// Injects faults for `duration_ms`.
    #[must_use]
    pub fn duration_ms(mut self, duration_ms: u64) -> Self {
        self.duration_ms = duration_ms;
        self
    }

    /// Starts this many daemons.
    #[must_use]
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Starts this many engines, and three quarters as many plain upstreams.
    #[must_use]
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self.plain_upstreams = (engines * 3 / 4).max(1);
        self
    }

    /// Also checks guarantees with a time limit.
    #[must_use]
    pub fn checks_times(mut self, checks_times: bool) -> Self {
        self.checks_times = checks_times;
        self
    }
}
