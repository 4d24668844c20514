//! Tests that a stream stays with the software version of the upstream that began it.

mod support;

use comfreymast_fakes::platform_documents::event_versions;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_net::{Spawner, collect};
use hyper::StatusCode;
use support::{Gateway, TestEnv, event_ids, generation, run_test, wait_for};

const EVENTS: u64 = 20;
const MAX_BYTES: usize = 1 << 20;

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
