use std::collections::BTreeMap;
use std::sync::Arc;

use comfreymast_base::Service;

use crate::{Keyring, RouteTable, ServiceSpec};

/// One version of the operators' configuration. It is replaced whole, never changed in place.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Which service answers which request.
    pub routes: RouteTable,
    /// What is known of each service.
    pub services: BTreeMap<Service, Arc<ServiceSpec>>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call.
    pub keyring: Keyring,
}

impl Configuration {
    /// What is known of the service `name`.
    #[must_use]
    pub fn service(&self, name: &Service) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest request head.
    pub max_head_bytes: usize,
    /// The longest request body.
    pub max_body_bytes: usize,
    /// How long a request head may take to arrive.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle.
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
