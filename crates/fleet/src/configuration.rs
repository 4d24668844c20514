use std::collections::BTreeMap;
use std::sync::Arc;

use comfreymast_base::Service;

use crate::{Keyring, RouteTable, ServiceSpec};

/// One version of the operators' configuration. It is replaced as a whole and never modified in
/// place.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// Maps requests to services.
    pub routes: RouteTable,
    /// The specification of each service.
    pub services: BTreeMap<Service, Arc<ServiceSpec>>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// The API keys of the organisations.
    pub keyring: Keyring,
}

impl Configuration {
    /// The specification of the service `name`.
    #[must_use]
    pub fn service(&self, name: &Service) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }
}

/// Limits on the size of a caller's request and on the time it takes to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}
