//! A fleet too large for a full mesh: few daemons read the store, the others hear from them.

mod support;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, run_test, wait_for};

/// More than a full mesh has.
const DAEMONS: usize = 26;
/// Daemons that leave reading to others stop once their last question is answered.
const STORE_WAIT_MS: u64 = 200;

async fn fleet(spawner: &Spawner, stage: &TestEnv) -> Vec<Gateway> {
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

/// Waits until most daemons have left reading to others.
async fn wait_few_read(stage: &TestEnv) {
    const SPAN_MS: u64 = 600;
    // All daemons together would read a multiple of this in that span.
    const FEW_READS: u64 = 2 * DAEMONS as u64;
    wait_for("few readers", async || {
        let before = stage.store.stats().reads;
        sleep_ms(SPAN_MS).await;
        stage.store.stats().reads - before < FEW_READS
    })
    .await;
}

/// Adds a route at `path` and waits until `gateways` serve it.
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
fn changes_reach_all_daemons_whoever_reads_the_store() {
    run_test(async |spawner| {
        let stage = TestEnv::new(&spawner).await;
        stage.publish(1, |_| ());
        let _upstream = stage.upstream("u0", "plain").await;
        let mut gateways = fleet(&spawner, &stage).await;
        wait_few_read(&stage).await;
        add_route(&stage, &gateways, 2, "/read/").await;

        // Readers find that what they have not read is gone, and read all anew.
        stage.set_faults(LogFaults { retention_records: 1, ..LogFaults::default() });
        add_route(&stage, &gateways, 3, "/deleted/").await;
        add_route(&stage, &gateways, 4, "/reloaded/").await;
        stage.set_faults(LogFaults::default());

        // The first of each data centre read the store; others take over from them.
        for reader in gateways.drain(..4) {
            reader.stop();
            reader.ended().await;
        }
        add_route(&stage, &gateways, 5, "/taken-over/").await;
    });
}
