//! Guards against daemons that crash a cold upstream: together they must send it no more than it tolerates.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreymast_base::Clock;
use comfreymast_fakes::platform_documents::{UPSTREAMS_TOPIC, UpstreamEntry};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, generation, run_test};

const COLD_PER_S: f64 = 26.0;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
const SECOND_MS: u64 = 1_000;
/// How long after its start a fleet may know its size; until then it uses little of the rate, as is intended.
const SETTLED_MS: u64 = 2_500;
/// How long an entry may take to all daemons here.
const NEWS_MS: u64 = 400;

fn allowed() -> usize {
    (COLD_PER_S * TOLERANCE + SLACK) as usize
}

/// Writes an entry of the start of `upstream` with this remaining time.
fn announce_cold(env: &TestEnv, upstream: &PlatformUpstream, service: &str, cold_ms: u64) {
    static SEQUENCE: AtomicUsize = AtomicUsize::new(1_000);
    let entry = UpstreamEntry {
        addr: upstream.addr,
        service,
        data_centre: "z1",
        slots: 8,
        state: "ready",
        version: "v1",
        started_unix_ms: 5,
        sequence: SEQUENCE.fetch_add(1, Ordering::Relaxed) as u64,
    };
    let mut document = entry.document();
    document["coldRemainingMs"] = cold_ms.into();
    env.write(UPSTREAMS_TOPIC, &upstream.name, document.to_string().as_bytes());
}

/// Three daemons that know each other, and a limit on cold upstreams of all services if `has_limit`.
async fn start(spawner: &Spawner, has_limit: bool) -> (TestEnv, Vec<Gateway>) {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |configuration| {
        for service in configuration["services"].as_array_mut().expect("services") {
            if has_limit {
                service["coldPerS"] = COLD_PER_S.into();
                service["coldStartS"] = 1.0.into();
            }
        }
    });
    let mut gateways: Vec<Gateway> = Vec::new();
    for number in 0..3 {
        let seeds: Vec<&Gateway> = gateways.iter().collect();
        let options = GatewayOptions::default();
        let name = format!("d{number}");
        gateways.push(env.gateway_at(&name, env.store_addr, options, &seeds).await);
    }
    for gateway in &gateways {
        gateway.wait_ready(spawner).await;
    }
    sleep_ms(SETTLED_MS).await;
    (env, gateways)
}

#[derive(Debug, Default)]
struct Answers {
    served: AtomicUsize,
    refused: AtomicUsize,
    without_time: AtomicUsize,
    others: AtomicUsize,
}

/// Sends a request each `interval_ms` to one gateway after another, whatever became of the earlier ones.
async fn send_steadily(
    spawner: &Spawner,
    gateways: &[Gateway],
    interval_ms: u64,
    duration_ms: u64,
) -> Arc<Answers> {
    let answers = Arc::new(Answers::default());
    for number in 0..(duration_ms / interval_ms) as usize {
        let gateway = &gateways[number % gateways.len()];
        let answer = gateway.call(spawner, call("GET", "/safe/a", &format!("id{number}"))).await;
        let counter = match answer.status {
            StatusCode::OK => &answers.served,
            StatusCode::SERVICE_UNAVAILABLE => &answers.refused,
            _ => &answers.others,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        if is_refused && !answer.headers.contains_key("retry-after") {
            answers.without_time.fetch_add(1, Ordering::Relaxed);
        }
        sleep_ms(interval_ms).await;
    }
    answers
}

fn most_in_a_second(upstream: &PlatformUpstream, from_unix_ms: u64, to_unix_ms: u64) -> usize {
    let mut arrivals = upstream.arrivals_unix_ms();
    arrivals.retain(|at_ms| (from_unix_ms..to_unix_ms).contains(at_ms));
    let in_second = |from: &u64| {
        arrivals.iter().filter(|at_ms| (*from..from + SECOND_MS).contains(at_ms)).count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_tolerates_and_some_use_of_it_is_made() {
    const COLD_MS: u64 = 5_000;
    run_test(async |spawner| {
        let (env, gateways) = start(&spawner, true).await;
        let upstream = PlatformUpstream::start(&spawner, "u0").await.expect("a port");
        let started_unix_ms = Clock::system().unix_ms();
        announce_cold(&env, &upstream, "plain", COLD_MS);
        sleep_ms(NEWS_MS).await;
        let answers = send_steadily(&spawner, &gateways, 4, 3_500).await;
        let most = most_in_a_second(&upstream, started_unix_ms, started_unix_ms + COLD_MS);
        assert!((1..=allowed()).contains(&most), "{most} in a second, {answers:?}");
        assert!(answers.refused.load(Ordering::Relaxed) > 0, "{answers:?}");
        assert_eq!(answers.without_time.load(Ordering::Relaxed), 0, "{answers:?}");
        assert_eq!(answers.others.load(Ordering::Relaxed), 0, "{answers:?}");
    });
}

/// A warm upstream of the service takes what the cold one may not get.
#[test]
fn nothing_is_refused_while_another_upstream_is_warm() {
    const COLD_MS: u64 = 4_000;
    run_test(async |spawner| {
        let (env, gateways) = start(&spawner, true).await;
        let _warm = env.upstream("u0", "plain").await;
        let cold = PlatformUpstream::start(&spawner, "u1").await.expect("a port");
        let started_unix_ms = Clock::system().unix_ms();
        announce_cold(&env, &cold, "plain", COLD_MS);
        sleep_ms(NEWS_MS).await;
        let answers = send_steadily(&spawner, &gateways, 4, 2_500).await;
        let most = most_in_a_second(&cold, started_unix_ms, started_unix_ms + COLD_MS);
        assert!(most <= allowed(), "{most} in a second");
        assert_eq!(answers.refused.load(Ordering::Relaxed), 0, "{answers:?}");
        assert_eq!(answers.others.load(Ordering::Relaxed), 0, "{answers:?}");
    });
}

/// An entry of a known start that names a longer time was ignored.
#[test]
fn an_upstream_that_becomes_cold_again_is_spared_from_then_on() {
    const COLD_MS: u64 = 4_000;
    run_test(async |spawner| {
        let (env, gateways) = start(&spawner, true).await;
        let upstream = env.upstream("u0", "plain").await;
        sleep_ms(NEWS_MS).await;
        let warm = send_steadily(&spawner, &gateways, 4, 1_000).await;
        assert_eq!(warm.refused.load(Ordering::Relaxed), 0, "{warm:?}");
        let cold_unix_ms = Clock::system().unix_ms();
        announce_cold(&env, &upstream, "plain", COLD_MS);
        send_steadily(&spawner, &gateways, 4, 3_000).await;
        let end_unix_ms = cold_unix_ms + COLD_MS;
        let most = most_in_a_second(&upstream, cold_unix_ms + NEWS_MS, end_unix_ms);
        assert!(most <= allowed(), "{most} in a second");
    });
}

/// One daemon hears from the upstream itself that it is cold; the others must learn it.
#[test]
fn what_one_daemon_hears_of_a_cold_upstream_reaches_all() {
    const COLD_MS: u64 = 4_000;
    run_test(async |spawner| {
        let (env, gateways) = start(&spawner, true).await;
        let upstream = env.upstream("u0", "plain").await;
        sleep_ms(NEWS_MS).await;
        upstream.update_behaviour(|behaviour| behaviour.cold_ms = Some(COLD_MS.to_string()));
        let cold_unix_ms = Clock::system().unix_ms();
        gateways[0].call(&spawner, call("GET", "/safe/a", "first")).await;
        upstream.update_behaviour(|behaviour| behaviour.cold_ms = None);
        sleep_ms(NEWS_MS).await;
        let answers = send_steadily(&spawner, &gateways[1..], 4, 2_500).await;
        let end_unix_ms = cold_unix_ms + COLD_MS;
        let most = most_in_a_second(&upstream, cold_unix_ms + NEWS_MS, end_unix_ms);
        assert!(most <= allowed(), "{most} in a second, {answers:?}");
    });
}

#[test]
fn a_service_without_a_limit_is_served_as_before() {
    run_test(async |spawner| {
        let (env, gateways) = start(&spawner, false).await;
        let upstream = PlatformUpstream::start(&spawner, "u0").await.expect("a port");
        announce_cold(&env, &upstream, "plain", 3_000);
        sleep_ms(NEWS_MS).await;
        let answers = send_steadily(&spawner, &gateways, 4, 1_000).await;
        assert_eq!(answers.served.load(Ordering::Relaxed), 250, "{answers:?}");
    });
}

/// Streams wait for a turn as they wait for room.
#[test]
fn streams_to_a_cold_engine_keep_to_what_it_tolerates() {
    const COLD_MS: u64 = 4_000;
    run_test(async |spawner| {
        let (env, gateways) = start(&spawner, true).await;
        let engine = PlatformUpstream::start(&spawner, "e0").await.expect("a port");
        let started_unix_ms = Clock::system().unix_ms();
        announce_cold(&env, &engine, "engines", COLD_MS);
        sleep_ms(NEWS_MS).await;
        let mut tasks = Vec::new();
        for number in 0..120 {
            let addr = gateways[number % gateways.len()].addresses.callers;
            let stream = generation("/caption/a", &format!("id{number}"));
            let runner = spawner.clone();
            tasks.push(spawner.spawn(async move {
                let opened = comfreymast_net::OwnedConnection::open(&runner, addr, SECOND_MS).await;
                let mut connection = opened.expect("a connection");
                let answer = connection.send(stream).await.expect("an answer");
                let status = answer.status();
                let _ = comfreymast_net::collect(answer.into_body(), 1 << 20).await;
                status
            }));
        }
        let mut served = 0;
        for task in tasks {
            served += usize::from(task.await == StatusCode::OK);
        }
        let most = most_in_a_second(&engine, started_unix_ms, started_unix_ms + COLD_MS);
        assert!(most <= allowed(), "{most} in a second");
        assert!(served > 0, "no stream was served");
    });
}
