//! The services to which the routes of streams have sent requests in the last while.
//!
//! Load pattern: all routes of streams at each change of the configuration; one route when a stream is taken up
//! that nobody knows, and all of them for each batch of streams that may be written to the store.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use comfreymast_base::Service;

/// What tells a route from others in all configurations: its host and its path prefix.
pub type RouteKey = (Arc<str>, Arc<str>);

/// A route of streams in one configuration.
#[derive(Clone, Debug)]
pub struct RouteServices {
    /// The route.
    pub key: RouteKey,
    /// The services that requests may be sent to.
    pub services: Vec<Service>,
}

/// When each service was last one of a route's.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    by_route: HashMap<RouteKey, HashMap<Service, LastUse>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastUse {
    /// In the configuration in force.
    Now,
    /// Until a later one replaced it.
    EndedMs(u64),
}

impl LastUse {
    fn is_since(self, since_ms: u64) -> bool {
        match self {
            Self::Now => true,
            Self::EndedMs(ended_ms) => ended_ms >= since_ms,
        }
    }
}

impl RouteHistory {
    /// Replaces the routes in force by `routes`. What was in force last more than `keep_ms` ago is forgotten.
    pub fn apply(
        &mut self,
        routes: impl Iterator<Item = RouteServices>,
        keep_ms: u64,
        now_ms: u64,
    ) {
        let since_ms = now_ms.saturating_sub(keep_ms);
        self.by_route.retain(|_, uses| {
            uses.retain(|_, last_use| {
                if *last_use == LastUse::Now {
                    *last_use = LastUse::EndedMs(now_ms);
                }
                last_use.is_since(since_ms)
            });
            !uses.is_empty()
        });
        for RouteServices { key, services } in routes {
            let uses = self.by_route.entry(key).or_default();
            uses.extend(services.into_iter().map(|service| (service, LastUse::Now)));
        }
    }

    /// The services of a route since `since_ms`.
    #[must_use]
    pub fn services(&self, key: &RouteKey, since_ms: u64) -> BTreeSet<Service> {
        let uses = self.by_route.get(key).into_iter().flatten();
        let recent = uses.filter(|(_, last_use)| last_use.is_since(since_ms));
        recent.map(|(service, _)| service.clone()).collect()
    }

    /// True if a route of `service` has had another one too since `since_ms`.
    #[must_use]
    pub fn has_alternatives(&self, service: &Service, since_ms: u64) -> bool {
        self.by_route.values().any(|uses| {
            let is_recent = |(_, last_use): &(&Service, &LastUse)| last_use.is_since(since_ms);
            uses.contains_key(service) && uses.iter().filter(is_recent).count() > 1
        })
    }
}
