use std::path::PathBuf;

/// How a soak is played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakOptions {
    /// Draws faults and calls.
    pub seed: u64,
    /// How long faults are played.
    pub duration_ms: u64,
    /// Daemons, each a process.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// Upstreams of the plain service.
    pub plain_upstreams: usize,
    /// Callers of each daemon.
    pub callers: usize,
    /// Also checks promises that hold within a time, which needs a machine that is not busy.
    pub checks_times: bool,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

impl SoakOptions {
    /// A small fleet for `seed`, whose files go to `folder`.
    #[must_use]
    pub fn new(seed: u64, folder: PathBuf) -> Self {
        Self {
            seed,
            duration_ms: 10_000,
            daemons: 4,
            engines: 4,
            plain_upstreams: 3,
            callers: 6,
            checks_times: false,
            folder,
        }
    }

    /// Plays faults for `duration_ms`.
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

    /// Also checks promises that hold within a time.
    #[must_use]
    pub fn checks_times(mut self, checks_times: bool) -> Self {
        self.checks_times = checks_times;
        self
    }
}
