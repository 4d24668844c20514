use std::collections::HashMap;
use std::sync::Arc;

use crate::Route;

/// Finds the route of a request: the one for its host with the longest matching path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    len: usize,
}

impl RouteTable {
    /// Adds a route, replacing any earlier route with the same host and path prefix.
    pub fn insert(&mut self, route: Route) {
        let prefixes = self.by_host.entry(route.host.clone()).or_default();
        if prefixes.insert(route.path_prefix.clone(), Arc::new(route)).is_none() {
            self.len += 1;
        }
    }

    /// The route for a request's path and `host`, which is in lower case and without a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.by_host.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(index, _)| &path[..=index]).find_map(|prefix| prefixes.get(prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flat_map(HashMap::values)
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
