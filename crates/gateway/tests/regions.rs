//! Tests that requests of routes and organisations with allowed regions reach no upstream elsewhere, which would
//! take data out of its region.

mod support;

use std::net::SocketAddr;

use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use futures_lite::future::zip;
use hyper::StatusCode;
use serde_json::{Value, json};
use support::{Gateway, TestEnv, call, event_ids, generation, run_test, wait_for};

const ROUNDS: usize = 20;
const CONCURRENT: usize = 60;
const ANSWER_MS: u64 = 50;
const CALL_LIMIT_MS: u64 = 10_000;
const MAX_BODY_BYTES: usize = 1_024;
const REGIONS: [(&str, &str); 3] = [("z1", "eu"), ("z2", "us"), ("z3", "eu")];

async fn environment(spawner: &Spawner) -> TestEnv {
    let mut env = TestEnv::new(spawner).await;
    env.regions = REGIONS.to_vec();
    env
}

async fn upstreams(env: &TestEnv, service: &str) -> Vec<PlatformUpstream> {
    let mut upstreams = Vec::new();
    for (zone, _) in REGIONS {
        upstreams.push(env.upstream_in(zone, &format!("{service}-{zone}"), service).await);
    }
    // Of a data centre that no settings name.
    upstreams.push(env.upstream_in("z9", &format!("{service}-z9"), service).await);
    upstreams
}

fn limit_routes(configuration: &mut Value, regions: &[&str]) {
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["allowedRegions"] = json!(regions);
    }
}

fn limit_organisation(configuration: &mut Value, regions: &[&str]) {
    configuration["tenants"][0]["allowedRegions"] = json!(regions);
}

async fn wait_status(gateway: &Gateway, spawner: &Spawner, expected: StatusCode) {
    wait_for("status", async || {
        gateway.call(spawner, call("GET", "/safe/x", "first")).await.status == expected
    })
    .await;
}

/// Which upstreams run requests of a plain route.
async fn used(spawner: &Spawner, limit: impl FnOnce(&mut Value)) -> Vec<bool> {
    let env = environment(spawner).await;
    let upstreams = upstreams(&env, "plain").await;
    env.publish(1, limit);
    let gateway = env.gateway("d0").await;
    gateway.wait_ready(spawner).await;
    wait_status(&gateway, spawner, StatusCode::OK).await;
    for upstream in &upstreams {
        upstream.update_behaviour(|behaviour| behaviour.answer_ms = ANSWER_MS);
    }
    // Together, since single ones may all go to the upstream that was fastest before.
    let answers: Vec<_> = (0..CONCURRENT)
        .map(|number| {
            let (inner, addr) = (spawner.clone(), gateway.addresses.callers);
            let request = call("POST", "/plain/x", &format!("id-{number}"));
            spawner.spawn(async move {
                comfreymast_net::call(&inner, addr, request, CALL_LIMIT_MS, MAX_BODY_BYTES).await
            })
        })
        .collect();
    for answer in answers {
        assert_eq!(answer.await.expect("an answer").status(), StatusCode::OK);
    }
    upstreams.iter().map(|upstream| !upstream.runs().is_empty()).collect()
}

#[test]
fn without_a_limit_all_regions_are_used() {
    run_test(async |spawner| assert_eq!(used(&spawner, |_| ()).await, [true; 4]));
}

#[test]
fn a_route_is_served_in_its_regions_only() {
    run_test(async |spawner| {
        let used = used(&spawner, |document| limit_routes(document, &["eu"])).await;
        assert_eq!(used, [true, false, true, false]);
    });
}

#[test]
fn an_organisation_is_served_in_its_regions_only() {
    run_test(async |spawner| {
        let used = used(&spawner, |document| limit_organisation(document, &["us"])).await;
        assert_eq!(used, [false, true, false, false]);
    });
}

#[test]
fn both_limits_apply_and_without_a_common_region_requests_are_rejected() {
    run_test(async |spawner| {
        let used = used(&spawner, |document| {
            limit_routes(document, &["eu", "us"]);
            limit_organisation(document, &["us", "asia"]);
        })
        .await;
        assert_eq!(used, [false, true, false, false]);
        let env = environment(&spawner).await;
        let upstreams = upstreams(&env, "plain").await;
        env.publish(1, |document| {
            limit_routes(document, &["eu"]);
            limit_organisation(document, &["us"]);
        });
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        sleep_ms(300).await;
        let answer = gateway.call(&spawner, call("POST", "/plain/x", "id")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(upstreams.iter().all(|upstream| upstream.runs().is_empty()));
    });
}

#[test]
fn streams_start_and_move_in_their_regions_only() {
    run_test(async |spawner| {
        const EVENTS: u64 = 60;
        let env = environment(&spawner).await;
        let engines = upstreams(&env, "engines").await;
        for engine in &engines {
            engine.update_behaviour(|behaviour| behaviour.events = EVENTS);
        }
        env.publish(1, |document| limit_routes(document, &["eu"]));
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        wait_for("engines", async || {
            let answer = gateway.call(&spawner, generation("/caption/x", "first")).await;
            answer.status == StatusCode::OK
        })
        .await;
        let answer = gateway.call(&spawner, generation("/report/x", "id-1"));
        let evacuated = async {
            let running = |zone: &usize| engines[*zone].running().contains(&"id-1".to_owned());
            wait_for("run", async || [0, 2].iter().any(running)).await;
            let zone = [0, 2].into_iter().find(running).expect("an engine");
            env.evacuate(REGIONS[zone].0);
        };
        let (answer, ()) = zip(answer, evacuated).await;
        assert_eq!(event_ids(&answer.body), (1..=EVENTS).collect::<Vec<_>>());
        for engine in [&engines[0], &engines[2]] {
            assert!(engine.runs().iter().any(|run| run.id == "id-1"), "it moved");
        }
        for engine in [&engines[1], &engines[3]] {
            assert!(engine.runs().is_empty(), "{}", engine.name);
        }
    });
}

/// Writes upstreams in the first data centre, as one daemon reaches them, and a limit to its region.
fn write_site(env: &TestEnv, addrs: &[SocketAddr]) {
    for (number, addr) in addrs.iter().enumerate() {
        env.announce_in("z1", (&format!("u{number}"), *addr), "plain");
    }
    env.publish(1, |document| limit_routes(document, &["eu"]));
}

#[test]
fn a_call_is_forwarded_to_no_daemon_of_another_region() {
    run_test(async |spawner| {
        let mut reached = Vec::new();
        for number in 0..2 {
            let name = format!("u{number}");
            reached.push(PlatformUpstream::start(&spawner, &name).await.expect("a port"));
        }
        let addrs: Vec<_> = reached.iter().map(|upstream| upstream.addr).collect();
        let closed: Vec<_> =
            [1, 2].iter().map(|port| SocketAddr::from(([127, 0, 0, 1], *port))).collect();
        let options = GatewayOptions::default;
        let (cut, abroad, near) =
            (environment(&spawner).await, environment(&spawner).await, environment(&spawner).await);
        write_site(&cut, &closed);
        write_site(&abroad, &addrs);
        write_site(&near, &addrs);
        let first = cut.gateway_in("z1", "d0", cut.store_addr, options(), &[]).await;
        let second = abroad.gateway_in("z2", "d1", abroad.store_addr, options(), &[&first]).await;
        first.wait_ready(&spawner).await;
        second.wait_ready(&spawner).await;
        wait_status(&second, &spawner, StatusCode::OK).await;
        let served = reached.iter().map(|upstream| upstream.runs().len()).sum::<usize>();
        sleep_ms(600).await;
        for round in 0..ROUNDS {
            let request = call("POST", "/safe/x", &format!("id-{round}"));
            let answer = first.call(&spawner, request).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        let now_served = reached.iter().map(|upstream| upstream.runs().len()).sum::<usize>();
        assert_eq!(now_served, served, "forwarded to another region");
        let third = near.gateway_in("z3", "d2", near.store_addr, options(), &[&first]).await;
        third.wait_ready(&spawner).await;
        wait_status(&first, &spawner, StatusCode::OK).await;
    });
}
