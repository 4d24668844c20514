use std::collections::HashMap;
use std::sync::Arc;

use crate::Route;

/// Finds the route of a request: of those for its host, the one with the longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    len: usize,
}

impl RouteTable {
    /// Adds a route; a later one replaces an earlier one of the same host and prefix.
    pub fn insert(&mut self, route: Route) {
        let prefixes = self.by_host.entry(route.host.clone()).or_default();
        if prefixes.insert(route.path_prefix.clone(), Arc::new(route)).is_none() {
            self.len += 1;
        }
    }

    /// The route for `host`, in lower case and without port, and the path of a request.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.by_host.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(index, _)| &path[..=index]).find_map(|prefix| prefixes.get(prefix))
    }

    /// How many routes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True without routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
