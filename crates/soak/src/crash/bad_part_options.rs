use crate::{CrashOptions, Kind, SoakOptions};

/// The configuration of a run with parts of prompts that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadPartOptions {
    /// The fleet, and how upstreams end and come back. Its culprits are not used.
    pub crashes: CrashOptions,
    /// The kind of all requests with parts.
    pub kind: Kind,
    /// How many parts crash upstreams; zero for none.
    pub bad_parts: usize,
    /// How many events an upstream writes of an answer on such a part before it ends.
    pub crash_after_events: u64,
    /// How many callers send sound requests with the same first part.
    pub sound_callers: usize,
    /// How long no request with a bad part comes at first.
    pub calm_ms: u64,
}

impl BadPartOptions {
    /// One bad part, in requests of which no two are alike, beside sound requests.
    #[must_use]
    pub fn new(fleet: SoakOptions) -> Self {
        let mut crashes = CrashOptions::new(fleet, Vec::new());
        crashes.interval_ms = 250;
        crashes.restart_ms = 3_000;
        Self {
            crashes,
            kind: Kind::Caption,
            bad_parts: 1,
            crash_after_events: 2,
            sound_callers: 14,
            calm_ms: 4_000,
        }
    }
}
