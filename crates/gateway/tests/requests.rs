//! Tests that requests other than streams are served, refused and repeated correctly.

mod support;

use comfreymast_fakes::platform_documents::{OPERATORS_TOPIC, UPSTREAMS_TOPIC};
use comfreymast_net::{Spawner, full};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, run_test, wait_for};

async fn start_gateway(spawner: &Spawner) -> (TestEnv, Gateway) {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |_| ());
    let gateway = env.gateway("d0").await;
    gateway.wait_ready(spawner).await;
    (env, gateway)
}

/// Waits until a safe request is answered, so that the gateway knows the upstreams.
async fn wait_served(spawner: &Spawner, gateway: &Gateway) {
    wait_for("answer", async || {
        let answer = gateway.call(spawner, call("GET", "/safe/x", "probe")).await;
        answer.status == StatusCode::OK
    })
    .await;
}

#[test]
fn a_request_is_forwarded_with_the_headers_of_the_platform() {
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let upstream = env.upstream("u0", "plain").await;
        wait_served(&spawner, &gateway).await;
        let mut sent = call("POST", "/plain/a?b=c", "id-1");
        sent.headers_mut().insert("x-tenant", "forged".parse().expect("a value"));
        sent.headers_mut().insert("x-hold", "forged".parse().expect("a value"));
        let answer = gateway.call(&spawner, sent).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.headers["x-server-signature"], "signed-by-u0");
        assert_eq!(&answer.body[..], b"answer of u0");
        let runs = upstream.runs();
        let run = runs.iter().find(|run| run.id == "id-1").expect("a run");
        assert_eq!(run.headers["x-tenant"], "org");
        assert_eq!(run.headers["x-expect-instance"], "u0");
        assert_eq!(&run.body[..], b"body");
        assert!(!run.headers.contains_key("authorization"));
        assert!(!run.headers.contains_key("x-hold"));
        let deadline_ms: u64 = run.headers["x-deadline-ms"].to_str().unwrap().parse().unwrap();
        assert!(deadline_ms <= 10_000, "the route's timeout bounds it: {deadline_ms}");
    });
}

#[test]
fn requests_are_denied_only_once_a_configuration_is_known() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        let gateway = env.gateway("d0").await;
        let answer = gateway.call(&spawner, call("GET", "/nowhere/x", "id")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        env.publish(1, |_| ());
        gateway.wait_ready(&spawner).await;
        let answer = gateway.call(&spawner, call("GET", "/nowhere/x", "id")).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
        let mut unknown = call("GET", "/safe/x", "id");
        unknown.headers_mut().insert("authorization", "Bearer other".parse().expect("a value"));
        assert_eq!(gateway.call(&spawner, unknown).await.status, StatusCode::UNAUTHORIZED);
        let mut long = call("POST", "/plain/x", "id");
        *long.body_mut() = full(vec![b'x'; 5_000]);
        assert_eq!(gateway.call(&spawner, long).await.status, StatusCode::PAYLOAD_TOO_LARGE);
    });
}

#[test]
fn a_request_whose_answer_is_lost_runs_once_and_is_not_reported_as_refused() {
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let upstreams = [env.upstream("u0", "plain").await, env.upstream("u1", "plain").await];
        wait_served(&spawner, &gateway).await;
        for upstream in &upstreams {
            upstream.update_behaviour(|behaviour| behaviour.loses_answers = true);
        }
        let answer = gateway.call(&spawner, call("POST", "/plain/a", "id-1")).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        let runs = upstreams.iter().flat_map(|upstream| upstream.runs());
        assert_eq!(runs.filter(|run| run.id == "id-1").count(), 1);
    });
}

#[test]
fn an_idempotent_request_is_tried_at_another_upstream() {
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let good = env.upstream("u0", "plain").await;
        wait_served(&spawner, &gateway).await;
        let bad = env.upstream("u1", "plain").await;
        bad.update_behaviour(|behaviour| behaviour.status = StatusCode::INTERNAL_SERVER_ERROR);
        for number in 0..10 {
            let id = format!("id-{number}");
            let answer = gateway.call(&spawner, call("GET", "/safe/a", &id)).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert!(!good.runs().is_empty());
    });
}

#[test]
fn a_request_that_no_upstream_ran_is_refused_with_retry_after() {
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let upstream = env.upstream("u0", "plain").await;
        wait_served(&spawner, &gateway).await;
        upstream.update_behaviour(|behaviour| behaviour.refuses = true);
        let answer = gateway.call(&spawner, call("POST", "/plain/a", "id-1")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(upstream.runs().iter().all(|run| run.id != "id-1"));
    });
}

#[test]
fn unreachable_upstreams_neither_fail_requests_nor_use_the_retry_budget() {
    const GONE: u16 = 30;
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let upstream = env.upstream("u0", "plain").await;
        wait_served(&spawner, &gateway).await;
        for number in 0..GONE {
            let mut gone = upstream.clone();
            gone.name = format!("gone-{number}").into();
            // Nothing listens on these ports of a loopback address.
            gone.addr = std::net::SocketAddr::from(([127, 9, 9, 9], 1 + number));
            env.announce(&gone, "plain", "ready");
        }
        for number in 0..20 {
            let id = format!("id-{number}");
            let answer = gateway.call(&spawner, call("POST", "/plain/a", &id)).await;
            assert_eq!(answer.status, StatusCode::OK, "{id}");
        }
        assert_eq!(upstream.runs().iter().filter(|run| run.id.starts_with("id-")).count(), 20);
    });
}

#[test]
fn an_upstream_with_a_reused_address_runs_no_request_for_its_predecessor() {
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let reused = env.upstream("u0", "other").await;
        let mut stale = reused.clone();
        stale.name = "gone".into();
        env.announce(&stale, "plain", "ready");
        wait_for("refusal by the other upstream", async || {
            let answer = gateway.call(&spawner, call("POST", "/plain/a", "id-1")).await;
            answer.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        assert!(reused.runs().is_empty());
    });
}

#[test]
fn invalid_entries_are_skipped_and_the_others_apply() {
    run_test(async |spawner| {
        let (env, gateway) = start_gateway(&spawner).await;
        let _upstream = env.upstream("u0", "plain").await;
        for (key, value) in [
            ("bad-1", &b"\xff\xfe not json"[..]),
            ("bad-2", br#"{"service":"plain","address":7,"zone":"z1","slots":1,"state":"ready"}"#),
            ("bad-3", br#"{"service":"plain","address":"127.0.0.1:1","zone":"z1","slots":1,"state":"odd"}"#),
            ("bad-4", br#"{"service":"plain","address":"127.0.0.1:1","zone":"z1","slots":1,"state":"ready","born":"x"}"#),
        ] {
            env.write(UPSTREAMS_TOPIC, key, value);
        }
        env.write(OPERATORS_TOPIC, "config", b"{ not a configuration");
        wait_served(&spawner, &gateway).await;
        for number in 0..10 {
            let id = format!("id-{number}");
            let answer = gateway.call(&spawner, call("POST", "/plain/a", &id)).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
    });
}
