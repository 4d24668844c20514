//! Tests a fleet too large for a full mesh: few daemons read the store and update the others.

mod support;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, run_test, wait_for};

/// More daemons than a full mesh has.
const DAEMONS: usize = 26;
/// Short, since a daemon that leaves reading to others first finishes its read in progress.
const STORE_WAIT_MS: u64 = 200;

async fn start_fleet(spawner: &Spawner, env: &TestEnv) -> Vec<Gateway> {
    const DRAIN_GRACE_MS: u64 = 100;
    let options = GatewayOptions {
        drain_grace_ms: DRAIN_GRACE_MS,
        ..GatewayOptions::default().store_wait_ms(STORE_WAIT_MS)
    };
    let mut gateways = Vec::new();
    for number in 0..DAEMONS {
        let (data_centre, name) = (format!("z{}", number % 2), format!("d{number:02}"));
        let store = env.store_addr;
        let started = env.gateway_in(&data_centre, &name, store, options.clone(), &[]);
        gateways.push(started.await);
    }
    for gateway in &gateways {
        gateway.wait_ready(spawner).await;
    }
    gateways
}

/// Waits until most daemons leave reading the store to others.
async fn wait_for_few_readers(env: &TestEnv) {
    const SPAN_MS: u64 = 600;
    // If all daemons read, they would make a multiple of this in the span.
    const FEW_READS: u64 = 2 * DAEMONS as u64;
    wait_for("few readers", async || {
        let before = env.store.stats().reads;
        sleep_ms(SPAN_MS).await;
        env.store.stats().reads - before < FEW_READS
    })
    .await;
}

/// Adds a route at `path` and waits until all `gateways` serve it.
async fn add_route(env: &TestEnv, gateways: &[Gateway], version: u64, path: &str) {
    env.publish_with_route(path, version);
    for gateway in gateways {
        wait_for("added route", async || {
            let answer = gateway.call(&env.spawner, call("GET", path, "id")).await;
            answer.status == StatusCode::OK
        })
        .await;
    }
}

#[test]
fn changes_reach_all_daemons_when_readers_reload_or_stop() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let mut gateways = start_fleet(&spawner, &env).await;
        wait_for_few_readers(&env).await;
        add_route(&env, &gateways, 2, "/read/").await;

        // Readers find that unread records were deleted, and reload the whole topic.
        env.set_faults(LogFaults { retention_records: 1, ..LogFaults::default() });
        add_route(&env, &gateways, 3, "/deleted/").await;
        add_route(&env, &gateways, 4, "/reloaded/").await;
        env.set_faults(LogFaults::default());

        // Stops the first daemons of each data centre, which read the store; others take over.
        for reader in gateways.drain(..4) {
            reader.stop();
            reader.ended().await;
        }
        add_route(&env, &gateways, 5, "/taken-over/").await;
    });
}

#[test]
fn what_is_written_after_a_return_of_the_store_reaches_daemons_that_do_not_read_it() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let gateways = start_fleet(&spawner, &env).await;
        wait_for_few_readers(&env).await;
        let copy = env.store.copy();
        add_route(&env, &gateways, 2, "/lost/").await;
        add_route(&env, &gateways, 3, "/lost/").await;
        for (version, path) in [(10, "/first/"), (20, "/second/")] {
            env.store.restore(&copy);
            add_route(&env, &gateways, version, path).await;
        }
    });
}

/// While the fleet starts, upstreams register one after the other.
#[test]
fn daemons_that_start_together_do_not_all_follow_the_store() {
    const CHANGE_INTERVAL_MS: u64 = 20;
    /// Until this long after the start of the first daemon. The last ones start a little later.
    const SPAN_MS: u64 = 900;
    // If all daemons followed the store, each would read every change.
    const FEW_READS: u64 = 2 * DAEMONS as u64;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let clock = comfreymast_base::Clock::system();
        let mut gateways: Vec<Gateway> = Vec::new();
        for number in 0..DAEMONS {
            let (data_centre, name) = (format!("z{}", number % 2), format!("d{number:02}"));
            let seeds: Vec<_> = gateways.first().into_iter().collect();
            let options = GatewayOptions::default();
            let store = env.store_addr;
            let started = env.gateway_in(&data_centre, &name, store, options, &seeds);
            gateways.push(started.await);
        }
        let mut number = 0;
        while clock.now_ms() < SPAN_MS {
            number += 1;
            let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
            env.announce_at(&format!("u{number}"), addr, "plain", "draining");
            sleep_ms(CHANGE_INTERVAL_MS).await;
        }
        let reads = env.store.stats().reads;
        assert!(reads <= FEW_READS, "{reads} reads of {number} changes");
        // Every daemon learns of changes all the same.
        add_route(&env, &gateways, 2, "/added/").await;
    });
}
