//! Tests of streams that wait for an engine with room.

mod support;

use comfreymast_base::Clock;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::sleep_ms;
use hyper::StatusCode;
use support::{TestEnv, generation, generation_of, run_test, wait_for};

/// A stream that takes almost all memory of an engine of the tests.
const BIG: (u64, u64) = (8_800, 100);

// Guards against waiting streams that are not woken when room becomes free, and start in the order of arrival.
#[test]
fn a_waiting_stream_starts_when_another_ends_and_the_urgent_one_goes_first() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |configuration| configuration["tenants"][0]["priority"] = ().into());
        let engine = env.upstream("e1", "engines").await;
        engine.update_behaviour(|behaviour| behaviour.event_ms = 30);
        let gateway = env.gateway("g1").await;
        gateway.wait_ready(&spawner).await;
        let (_first, response) = gateway.open(&spawner, generation_of("/report/x", "a", BIG)).await;
        assert_eq!(response.status(), StatusCode::OK);
        let (ends, ended) = async_channel::unbounded();
        for (path, id) in [("/report/x", "later"), ("/caption/x", "urgent")] {
            let call = generation_of(path, id, BIG);
            let addr = gateway.addresses.callers;
            let (inner, ends) = (spawner.clone(), ends.clone());
            spawner.detach(async move {
                let answer = comfreymast_net::call(&inner, addr, call, 20_000, 1 << 20).await;
                let _ = ends.send((id, answer.map(|answer| answer.status()).ok())).await;
            });
            sleep_ms(100).await;
        }
        let body = support::read_what_arrives(response).await;
        assert_eq!(support::event_ids(&body).len(), 20);
        for _ in 0..2 {
            let (id, status) = ended.recv().await.expect("an end");
            assert_eq!(status, Some(StatusCode::OK), "{id}");
        }
        let order: Vec<_> = engine.runs().iter().map(|run| run.id.clone()).collect();
        assert_eq!(order, ["a", "urgent", "later"]);
    });
}

// Guards against a short stream that waits behind a long one for which there is no room.
#[test]
fn a_short_stream_passes_one_that_does_not_fit() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| {});
        let engine = env.upstream("e1", "engines").await;
        engine.update_behaviour(|behaviour| behaviour.event_ms = 50);
        let gateway = env.gateway("g1").await;
        gateway.wait_ready(&spawner).await;
        let (_first, _running) = gateway.open(&spawner, generation_of("/report/x", "a", BIG)).await;
        let (addr, inner) = (gateway.addresses.callers, spawner.clone());
        spawner.detach(async move {
            let call = generation_of("/report/x", "b", BIG);
            let _ = comfreymast_net::call(&inner, addr, call, 20_000, 1 << 20).await;
        });
        sleep_ms(100).await;
        let started_ms = Clock::system();
        let answer = gateway.open(&spawner, generation("/report/x", "c")).await;
        assert_eq!(answer.1.status(), StatusCode::OK);
        assert!(started_ms.now_ms() < 800, "before the first stream has ended");
        assert!(engine.runs().iter().all(|run| run.id != "b"));
    });
}

// Guards against engines that treat long and short streams of a priority alike.
#[test]
fn engines_are_told_a_priority_that_follows_that_of_the_call_and_its_work() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |configuration| configuration["tenants"][0]["priority"] = ().into());
        let engine = env.upstream("e1", "engines").await;
        let gateway = env.gateway("g1").await;
        gateway.wait_ready(&spawner).await;
        let sizes = [("/caption/x", (10, 10)), ("/caption/x", (10, 900)), ("/report/x", (10, 10))];
        for (number, (path, tokens)) in sizes.into_iter().enumerate() {
            let call = generation_of(path, &format!("c{number}"), tokens);
            assert_eq!(gateway.call(&spawner, call).await.status, StatusCode::OK);
        }
        let told: Vec<u8> = engine
            .runs()
            .iter()
            .map(|run| run.headers["x-request-priority"].to_str().expect("text"))
            .map(|text| text.parse().expect("a number"))
            .collect();
        assert!(told[0] < told[1] && told[1] < told[2], "{told:?}");
    });
}

// Guards against a daemon that takes room while a more urgent stream waits at another.
#[test]
fn an_urgent_stream_at_another_daemon_goes_first() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |configuration| configuration["tenants"][0]["priority"] = ().into());
        let engine = env.upstream("e1", "engines").await;
        engine.update_behaviour(|behaviour| behaviour.event_ms = 40);
        let first = env.gateway("g1").await;
        let options = GatewayOptions::default();
        let second = env.gateway_at("g2", env.store_addr, options, &[&first]).await;
        first.wait_ready(&spawner).await;
        second.wait_ready(&spawner).await;
        let (_running, response) = first.open(&spawner, generation_of("/report/x", "a", BIG)).await;
        sleep_ms(400).await;
        for (gateway, path, id) in
            [(&second, "/caption/x", "urgent"), (&first, "/report/x", "later")]
        {
            let (addr, inner) = (gateway.addresses.callers, spawner.clone());
            let call = generation_of(path, id, BIG);
            spawner.detach(async move {
                let _ = comfreymast_net::call(&inner, addr, call, 20_000, 1 << 20).await;
            });
        }
        support::read_what_arrives(response).await;
        wait_for("a second run", async || engine.runs().len() >= 2).await;
        assert_eq!(engine.runs()[1].id, "urgent");
    });
}
