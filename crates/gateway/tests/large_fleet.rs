//! Tests a fleet too large for a full mesh: few daemons read the store and update the others.

mod support;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, run_test, wait_for};

/// More daemons than a full mesh has.
const DAEMONS: usize = 26;
/// Daemons that leave reading to others stop only when the read in progress has returned.
const STORE_WAIT_MS: u64 = 200;

async fn start_fleet(spawner: &Spawner, stage: &TestEnv) -> Vec<Gateway> {
    const DRAIN_GRACE_MS: u64 = 100;
    let options = GatewayOptions {
        drain_grace_ms: DRAIN_GRACE_MS,
        ..GatewayOptions::default().store_wait_ms(STORE_WAIT_MS)
    };
    let mut gateways = Vec::new();
    for number in 0..DAEMONS {
        let (data_centre, name) = (format!("z{}", number % 2), format!("d{number:02}"));
        let store = stage.store_addr;
        let started = stage.gateway_in(&data_centre, &name, store, options.clone(), &[]);
        gateways.push(started.await);
    }
    for gateway in &gateways {
        gateway.wait_ready(spawner).await;
    }
    gateways
}

/// Waits until most daemons leave reading the store to others.
async fn wait_for_few_readers(stage: &TestEnv) {
    const SPAN_MS: u64 = 600;
    // If all daemons read, they would make a multiple of this in the span.
    const FEW_READS: u64 = 2 * DAEMONS as u64;
    wait_for("few readers", async || {
        let before = stage.store.stats().reads;
        sleep_ms(SPAN_MS).await;
        stage.store.stats().reads - before < FEW_READS
    })
    .await;
}

/// Adds a route at `path` and waits until all `gateways` serve it.
async fn add_route(stage: &TestEnv, gateways: &[Gateway], version: u64, path: &str) {
    stage.publish_with_route(path, version);
    for gateway in gateways {
        wait_for("added route", async || {
            let answer = gateway.call(&stage.spawner, call("GET", path, "id")).await;
            answer.status == StatusCode::OK
        })
        .await;
    }
}

#[test]
fn changes_reach_all_daemons_when_readers_reload_or_stop() {
    run_test(async |spawner| {
        let stage = TestEnv::new(&spawner).await;
        stage.publish(1, |_| ());
        let _upstream = stage.upstream("u0", "plain").await;
        let mut gateways = start_fleet(&spawner, &stage).await;
        wait_for_few_readers(&stage).await;
        add_route(&stage, &gateways, 2, "/read/").await;

        // Readers find that unread records were deleted, and reload the whole topic.
        stage.set_faults(LogFaults { retention_records: 1, ..LogFaults::default() });
        add_route(&stage, &gateways, 3, "/deleted/").await;
        add_route(&stage, &gateways, 4, "/reloaded/").await;
        stage.set_faults(LogFaults::default());

        // Stops the first daemons of each data centre, which read the store; others take over.
        for reader in gateways.drain(..4) {
            reader.stop();
            reader.ended().await;
        }
        add_route(&stage, &gateways, 5, "/taken-over/").await;
    });
}
