use std::sync::Arc;

use comfreymast_base::Service;

/// What may be done with a request whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It is idempotent: it may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// It is a stream that may continue elsewhere after the last event that was delivered.
    Resumable,
}

/// One service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host that callers name, in lower case.
    pub host: Arc<str>,
    /// The paths it covers; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// True when the answer is a series of events.
    pub is_stream: bool,
    /// The longest time a request is kept waiting for its whole answer.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, is wanted.
    pub target_latency_ms: u64,
    /// The longest pause between two events of a stream that is still on time.
    pub max_pause_ms: u64,
    /// Its rank, 0 first.
    pub priority: u8,
    /// How many upstreams one request may be sent to.
    pub max_attempts: u32,
    /// True when callers need no key.
    pub is_public: bool,
    /// Where requests go; never empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// The service for a request. `random` is drawn evenly from all values.
    ///
    /// Targets without weight get requests only when all are without.
    #[must_use]
    pub fn target(&self, random: u32) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = u64::from(random) * total / (u64::from(u32::MAX) + 1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        self.targets.first().map(|target| &target.service)
    }
}
