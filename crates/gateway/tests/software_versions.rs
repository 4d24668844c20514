//! Tests that a stream stays with the software version of the upstream that began it.

mod support;

use std::collections::BTreeSet;

use comfreymast_fakes::platform_documents::event_versions;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, collect};
use hyper::StatusCode;
use support::{Gateway, TestEnv, event_ids, generation, run_test, take_up, wait_for};

const EVENTS: u64 = 20;
/// The last event that a caller has that takes its stream up.
const LAST_EVENT: u64 = 3;
const MAX_BYTES: usize = 1 << 20;
const MIN_STREAMS: usize = 8;
/// So many do not begin at one of two versions by chance.
const MAX_STREAMS: usize = 200;

/// A store, and engines with these versions.
struct Fleet {
    env: TestEnv,
    engines: Vec<PlatformUpstream>,
}

impl Fleet {
    async fn new(spawner: &Spawner, versions: &[&str]) -> Self {
        let env = TestEnv::new(spawner).await;
        env.publish(1, |_| ());
        let mut engines = Vec::new();
        for (number, version) in versions.iter().enumerate() {
            let engine =
                PlatformUpstream::start(spawner, &format!("e{number}")).await.expect("a port");
            engine.update_behaviour(|behaviour| {
                behaviour.version = (*version).to_owned();
                behaviour.event_ms = 10;
            });
            env.announce(&engine, "engines", "ready");
            engines.push(engine);
        }
        Self { env, engines }
    }

    async fn gateway(&self, name: &str) -> Gateway {
        let gateway = self.env.gateway(name).await;
        gateway.wait_ready(&self.env.spawner).await;
        gateway
    }

    /// A daemon that starts now and knows `first`.
    async fn gateway_after(&self, name: &str, first: &Gateway) -> Gateway {
        let options = GatewayOptions::default();
        let gateway = self.env.gateway_at(name, self.env.store_addr, options, &[first]).await;
        gateway.wait_ready(&self.env.spawner).await;
        gateway
    }
}

/// What arrived of a stream, whole or not.
async fn read(spawner: &Spawner, gateway: &Gateway, path: &str, id: &str) -> Vec<u8> {
    let (_connection, response) = gateway.open(spawner, generation(path, id)).await;
    assert_eq!(response.status(), StatusCode::OK);
    support::read_what_arrives(response).await
}

#[test]
fn a_stream_that_breaks_off_goes_on_at_an_engine_of_its_version() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, &["v1", "v1", "v2", "v2"]).await;
        // One of each version breaks streams off.
        for broken in [0, 2] {
            fleet.engines[broken].update_behaviour(|behaviour| behaviour.breaks_after = Some(7));
        }
        let gateway = fleet.gateway("d0").await;
        for number in 0..12 {
            let body = read(&spawner, &gateway, "/caption/x", &format!("id-{number}")).await;
            assert_eq!(event_versions(&body).len(), 1);
            assert_eq!(event_ids(&body), (1..=EVENTS).collect::<Vec<_>>());
        }
    });
}

#[test]
fn a_stream_ends_rather_than_go_on_at_another_version() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, &["v1", "v2"]).await;
        for engine in &fleet.engines {
            engine.update_behaviour(|behaviour| behaviour.breaks_after = Some(7));
        }
        let gateway = fleet.gateway("d0").await;
        let (_connection, response) =
            gateway.open(&spawner, generation("/caption/x", "id-1")).await;
        assert!(collect(response.into_body(), MAX_BYTES).await.is_err(), "it is cut");
        let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
        assert_eq!(runs, 1);
    });
}

#[test]
fn a_generation_moves_only_to_an_engine_of_its_version() {
    run_test(async |spawner| {
        for _ in 0..4 {
            let fleet = Fleet::new(&spawner, &["v1", "v2", "v2", "v1"]).await;
            let gateway = fleet.gateway("d0").await;
            let leaving = async {
                let runs = |engine: &&PlatformUpstream| !engine.running().is_empty();
                wait_for("run", async || fleet.engines.iter().any(|engine| runs(&engine))).await;
                let engine = fleet.engines.iter().find(runs).expect("a run");
                fleet.env.announce(engine, "engines", "draining");
            };
            let body = read(&spawner, &gateway, "/report/x", "id-1");
            let (body, ()) = futures_lite::future::zip(body, leaving).await;
            assert_eq!(event_versions(&body).len(), 1);
            assert_eq!(event_ids(&body), (1..=EVENTS).collect::<Vec<_>>());
            let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
            assert_eq!(runs, 2, "it moved");
        }
    });
}

/// Begins streams at a daemon and leaves them: eight or more, until there are some of `versions` versions.
/// Placement draws between equal engines. Returns the attempts with the versions that began them.
async fn begin_streams(
    spawner: &Spawner,
    gateway: &Gateway,
    versions: usize,
) -> Vec<(String, String)> {
    let mut begun: Vec<(String, String)> = Vec::new();
    let count = |begun: &[(String, String)]| {
        begun.iter().map(|(_, version)| version).collect::<BTreeSet<_>>().len()
    };
    while begun.len() < MIN_STREAMS || count(&begun) < versions {
        assert!(begun.len() < MAX_STREAMS, "streams of {versions} versions");
        let id = format!("begun-{}", begun.len());
        let body = read(spawner, gateway, "/caption/x", &id).await;
        begun.push((id, event_versions(&body).into_iter().next().expect("an event")));
    }
    begun
}

#[test]
fn a_stream_is_taken_up_at_its_version_by_daemons_that_did_not_begin_it() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, &["v1", "v2", "v1", "v2"]).await;
        let first = fleet.gateway("d0").await;
        let begun = begin_streams(&spawner, &first, 2).await;
        // It starts after the streams, so it has to ask.
        let second = fleet.gateway_after("d1", &first).await;
        for (attempt, version) in &begun {
            let id = format!("taken-{attempt}");
            wait_for("a taken up stream", async || {
                let (_connection, response) =
                    second.open(&spawner, take_up(&id, Some(attempt), LAST_EVENT)).await;
                let is_ok = response.status() == StatusCode::OK;
                let body = support::read_what_arrives(response).await;
                if is_ok {
                    assert_eq!(event_versions(&body), BTreeSet::from([version.clone()]));
                    assert_eq!(event_ids(&body), (LAST_EVENT + 1..=EVENTS).collect::<Vec<_>>());
                }
                is_ok
            })
            .await;
        }
    });
}

#[test]
fn a_stream_whose_version_is_unknown_is_refused_and_runs_nowhere() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, &["v1", "v2"]).await;
        let gateway = fleet.gateway("d0").await;
        let answer = gateway.call(&spawner, take_up("id-1", Some("unknown"), LAST_EVENT)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(!answer.headers.contains_key("retry-after"), "coming back changes nothing");
        let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
        assert_eq!(runs, 0);
    });
}

#[test]
fn a_stream_of_a_version_that_is_gone_is_refused_at_once() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, &["v1", "v2"]).await;
        let gateway = fleet.gateway("d0").await;
        let begun = begin_streams(&spawner, &gateway, 1).await;
        let (attempt, version) = &begun[0];
        let gone = fleet.engines.iter().find(|engine| engine.behaviour().version == *version);
        fleet.env.announce(gone.expect("an engine"), "engines", "draining");
        wait_for("refusal", async || {
            let answer = gateway.call(&spawner, take_up("id-1", Some(attempt), LAST_EVENT)).await;
            answer.status == StatusCode::SERVICE_UNAVAILABLE
                && !answer.headers.contains_key("retry-after")
        })
        .await;
    });
}

#[test]
fn a_stream_of_an_unknown_attempt_goes_on_if_its_service_had_only_one_version_all_the_while() {
    const TIMEOUT_MS: u64 = 500;
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, &["v1", "v1"]).await;
        // A daemon that recorded no versions has run here: a message with its name.
        fleet.env.write("keyed.daemons", "old", b"\x0a\x03old");
        fleet.env.publish(2, |configuration| {
            for route in configuration["routes"].as_array_mut().expect("routes") {
                route["timeoutMs"] = TIMEOUT_MS.into();
            }
        });
        let gateway = fleet.gateway("d0").await;
        // A daemon that has just started does not know which versions there were.
        let answer = gateway.call(&spawner, take_up("id-0", Some("unknown"), LAST_EVENT)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        wait_for("a taken up stream", async || {
            let answer = gateway.call(&spawner, take_up("id-1", Some("unknown"), LAST_EVENT)).await;
            answer.status == StatusCode::OK
        })
        .await;
    });
}
