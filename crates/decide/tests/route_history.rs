//! Which services a route has had.

use std::collections::BTreeSet;

use comfreymast_base::Service;
use comfreymast_decide::route_history::{RouteHistory, RouteKey, RouteServices};

const KEEP_MS: u64 = 1_000;

fn key(prefix: &str) -> RouteKey {
    ("h.example".into(), prefix.into())
}

fn route(prefix: &str, services: &[&str]) -> RouteServices {
    RouteServices {
        key: key(prefix),
        services: services.iter().copied().map(Service::from).collect(),
    }
}

fn names(names: &[&str]) -> BTreeSet<Service> {
    names.iter().copied().map(Service::from).collect()
}

#[test]
fn a_service_counts_until_a_while_after_its_route_has_left_it() {
    let mut history = RouteHistory::default();
    history.apply([route("/a/", &["blue"])].into_iter(), KEEP_MS, 100);
    history.apply([route("/a/", &["green"])].into_iter(), KEEP_MS, 500);
    // It was the route's service until the change, however long it had been that.
    assert_eq!(history.services(&key("/a/"), 500), names(&["blue", "green"]));
    assert_eq!(history.services(&key("/a/"), 501), names(&["green"]));
    assert!(history.has_alternatives(&Service::from("blue"), 500));
    assert!(!history.has_alternatives(&Service::from("green"), 501));
    history.apply([route("/a/", &["green"])].into_iter(), KEEP_MS, 1_501);
    assert_eq!(history.services(&key("/a/"), 0), names(&["green"]));
}

#[test]
fn routes_are_told_apart_and_a_route_that_is_gone_is_forgotten() {
    let mut history = RouteHistory::default();
    let routes = [route("/a/", &["blue", "green"]), route("/b/", &["red"])];
    history.apply(routes.into_iter(), KEEP_MS, 0);
    assert_eq!(history.services(&key("/a/"), 0), names(&["blue", "green"]));
    assert!(!history.has_alternatives(&Service::from("red"), 0));
    history.apply(std::iter::empty(), KEEP_MS, 10);
    assert_eq!(history.services(&key("/b/"), 10), names(&["red"]));
    history.apply(std::iter::empty(), KEEP_MS, 1_011);
    assert_eq!(history.services(&key("/b/"), 0), names(&[]));
}
