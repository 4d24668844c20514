//! Tests that configurations and upstreams reach every daemon despite faults of the store.

mod support;

use std::net::SocketAddr;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_documents::UPSTREAMS_TOPIC;
use comfreymast_gateway::GatewayOptions;
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, run_test, wait_for};

/// Longer than the test runs, so that a forgotten read never returns in time.
const LONG_WAIT_MS: u64 = 600_000;

async fn wait_for_added_route(env: &TestEnv, gateway: &Gateway) {
    wait_for("added route", async || {
        let answer = gateway.call(&env.spawner, call("GET", "/added/x", "id")).await;
        answer.status == StatusCode::OK
    })
    .await;
}

#[test]
fn a_store_that_forgets_its_waiting_readers_delays_no_configuration() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let options = GatewayOptions::default().store_wait_ms(LONG_WAIT_MS);
        let gateway = env.gateway_at("d0", env.store_addr, options, &[]).await;
        gateway.wait_ready(&spawner).await;
        env.set_faults(LogFaults { forget_readers: true, ..LogFaults::default() });
        env.publish_with_route("/added/", 2);
        wait_for_added_route(&env, &gateway).await;
    });
}

#[test]
fn a_daemon_that_cannot_reach_the_store_follows_its_peers() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let first = env.gateway("d0").await;
        first.wait_ready(&spawner).await;
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let options = GatewayOptions::default();
        let second = env.gateway_at("d1", unreachable, options, &[&first]).await;
        second.wait_ready(&spawner).await;
        env.publish_with_route("/added/", 2);
        wait_for_added_route(&env, &second).await;
    });
}

#[test]
fn deleted_records_are_replaced_by_the_newest_of_each_key() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        env.set_faults(LogFaults { down: true, ..LogFaults::default() });
        let _upstream = env.upstream("u0", "plain").await;
        env.publish_with_route("/added/", 2);
        env.publish(3, |_| ());
        env.publish_with_route("/added/", 4);
        env.set_faults(LogFaults { retention_records: 1, ..LogFaults::default() });
        wait_for_added_route(&env, &gateway).await;
    });
}

#[test]
fn an_older_configuration_is_never_applied() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        let _upstream = env.upstream("u0", "plain").await;
        env.publish_with_route("/added/", 9);
        let gateway = env.gateway("d0").await;
        wait_for_added_route(&env, &gateway).await;
        env.publish(3, |_| ());
        let upstream = env.upstream("u1", "late").await;
        assert!(upstream.runs().is_empty());
        for number in 0..20 {
            let id = format!("id-{number}");
            let answer = gateway.call(&spawner, call("GET", "/added/x", &id)).await;
            assert_eq!(answer.status, StatusCode::OK);
            comfreymast_net::sleep_ms(10).await;
        }
    });
}

#[test]
fn an_upstream_whose_entry_expired_in_a_store_outage_stays_in_use() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let upstream = env.upstream("u0", "plain").await;
        let gateway = env.gateway("d0").await;
        wait_for("answer", async || {
            let answer = gateway.call(&spawner, call("GET", "/safe/x", "probe")).await;
            answer.status == StatusCode::OK
        })
        .await;
        env.set_faults(LogFaults { down: true, ..LogFaults::default() });
        // Longer than `store_silence_ms`, so that the daemon has detected the outage.
        comfreymast_net::sleep_ms(2_500).await;
        env.write(UPSTREAMS_TOPIC, "u0", b"");
        env.set_faults(LogFaults::default());
        for number in 0..40 {
            let id = format!("id-{number}");
            let answer = gateway.call(&spawner, call("POST", "/plain/x", &id)).await;
            assert_eq!(answer.status, StatusCode::OK, "request {number}");
            if number == 20 {
                env.announce(&upstream, "plain", "ready");
            }
            comfreymast_net::sleep_ms(50).await;
        }
    });
}

#[test]
fn a_leaving_upstream_gets_no_new_requests() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let leaving = env.upstream("u0", "plain").await;
        let gateway = env.gateway("d0").await;
        wait_for("answer", async || {
            let answer = gateway.call(&spawner, call("GET", "/safe/x", "probe")).await;
            answer.status == StatusCode::OK
        })
        .await;
        env.announce(&leaving, "plain", "draining");
        wait_for("refusal", async || {
            let answer = gateway.call(&spawner, call("POST", "/plain/x", "id")).await;
            answer.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let before = leaving.runs().len();
        let answer = gateway.call(&spawner, call("POST", "/plain/x", "id-last")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(leaving.runs().len(), before);
    });
}
