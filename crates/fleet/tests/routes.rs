//! Route lookup by longest path prefix, and choice of targets by weight.

use comfreymast_fleet::{RetryPolicy, Route, RouteTable, Target};

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        path_prefix: path_prefix.into(),
        retry_policy: RetryPolicy::Once,
        is_stream: false,
        timeout_ms: 1,
        target_latency_ms: 1,
        max_pause_ms: 1,
        priority: 0,
        max_attempts: 1,
        is_public: false,
        allowed_regions: None,
        targets: vec![
            Target { service: "a".into(), weight: 90 },
            Target { service: "b".into(), weight: 10 },
            Target { service: "c".into(), weight: 0 },
        ],
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_found() {
    let mut table = RouteTable::default();
    table.insert(route("root", "/a/"));
    table.insert(route("deep", "/a/b/"));
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("h", "/a/x"), Some("root".to_owned()));
    assert_eq!(name("h", "/a/b/c"), Some("deep".to_owned()));
    assert_eq!(name("h", "/a/b"), Some("root".to_owned()));
    assert_eq!(name("h", "/ab/"), None);
    assert_eq!(name("other", "/a/x"), None);
}

#[test]
fn targets_get_requests_in_proportion_to_their_weight() {
    let route = route("split", "/");
    let mut counts = [0_u32; 3];
    for step in 0..1_000_u32 {
        let target = route.target(step * (u32::MAX / 1_000)).expect("a target");
        let index = ["a", "b", "c"].iter().position(|name| *name == target.as_str());
        counts[index.expect("a known target")] += 1;
    }
    assert!((880..=920).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[2], 0);
}
