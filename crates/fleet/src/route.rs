use std::sync::Arc;

use comfreymast_base::{Region, Service};

/// Whether a request may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream that another upstream may resume after the last delivered event.
    Resumable,
}

/// One service that a route forwards requests to.
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
    /// The host in the request, in lower case.
    pub host: Arc<str>,
    /// The prefix of the paths it covers; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Which requests may be retried.
    pub retry_policy: RetryPolicy,
    /// True when the answer is an event stream.
    pub is_stream: bool,
    /// Maximum time until the answer is complete.
    pub timeout_ms: u64,
    /// Target time until the answer, or the first event of a stream.
    pub target_latency_ms: u64,
    /// Maximum pause between two events of a stream that counts as on time.
    pub max_pause_ms: u64,
    /// Its priority, where 0 is served first.
    pub priority: u8,
    /// Maximum number of sends of one request, without those that certainly did not run it.
    pub max_attempts: u32,
    /// True when callers need no key.
    pub is_public: bool,
    /// The regions whose upstreams may get its requests; `None` for all.
    pub allowed_regions: Option<Vec<Region>>,
    /// The services that requests are forwarded to; never empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// The services that new requests may be sent to.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        let has_weights = self.targets.iter().any(|target| target.weight > 0);
        let used = self.targets.iter().filter(move |target| !has_weights || target.weight > 0);
        // Without weights, all requests go to the first one.
        let count = if has_weights { self.targets.len() } else { 1 };
        used.take(count).map(|target| &target.service)
    }

    /// Chooses the service for a request by weight. `random` is uniform over all values.
    ///
    /// Targets with a weight of zero get no requests, but the first one gets all when all weights are zero.
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
