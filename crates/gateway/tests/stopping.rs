//! Tests that stopping a daemon or reloading its settings interrupts no requests.

mod support;

use comfreymast_net::{empty, request};
use hyper::StatusCode;
use support::{TestEnv, call, event_ids, generation, run_test, wait_for};

#[test]
fn a_draining_daemon_finishes_its_stream_and_refuses_long_ones() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let engine = env.upstream("e0", "engines").await;
        engine.update_behaviour(|behaviour| behaviour.events = 200);
        let gateway = env.gateway("d0").await;
        wait_for("engine", async || {
            let answer = gateway.call(&spawner, generation("/caption/x", "probe")).await;
            answer.status == StatusCode::OK
        })
        .await;
        let stopping = async {
            wait_for("run", async || engine.runs().iter().any(|run| run.id == "id-1")).await;
            gateway.stop();
            wait_for("not-ready answer", async || {
                let ready = request(gateway.addresses.ready, "GET", "/-/ready", empty());
                let mut connection = comfreymast_net::OwnedConnection::open(
                    &spawner,
                    gateway.addresses.ready,
                    1_000,
                )
                .await
                .expect("a connection");
                let answer = connection.send(ready).await.expect("an answer");
                answer.status() == StatusCode::SERVICE_UNAVAILABLE
            })
            .await;
            let mut long = generation("/report/x", "id-2");
            long.headers_mut().insert("x-token-counts", "100,90000".parse().expect("a value"));
            let refused = gateway.call(&spawner, long).await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(refused.headers["connection"], "close");
        };
        let answer = gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, ()) = futures_lite::future::zip(answer, stopping).await;
        assert_eq!(event_ids(&answer.body), (1..=200).collect::<Vec<_>>());
        gateway.ended().await;
    });
}

#[test]
fn invalid_settings_are_ignored_on_reload() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        std::fs::write(&gateway.settings_path, "{ not settings").expect("a file");
        gateway.reload.send(()).await.expect("a gateway that runs");
        wait_for("answer", async || {
            let answer = gateway.call(&spawner, call("GET", "/safe/x", "id")).await;
            answer.status == StatusCode::OK
        })
        .await;
    });
}
