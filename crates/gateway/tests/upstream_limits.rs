//! Tests that upstreams which name a limit get no more requests than it allows, from all daemons.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_net::{OwnedConnection, Spawner, sleep_ms};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, generation, run_test};

/// The platform's rule: from this long after a limit was first named, in any span of this length, one
/// and a half times what the limit allows and some more.
const CONTACT_MS: u64 = 3_000;
const SPAN_MS: u64 = 4_000;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
const MS_PER_S: f64 = 1_000.0;

async fn start(
    spawner: &Spawner,
    daemons: usize,
) -> (TestEnv, Vec<Gateway>, [PlatformUpstream; 2]) {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |_| ());
    let upstreams = [env.upstream("u0", "plain").await, env.upstream("u1", "plain").await];
    let mut gateways = Vec::new();
    for number in 0..daemons {
        gateways.push(env.gateway(&format!("d{number}")).await);
    }
    for gateway in &gateways {
        gateway.wait_ready(spawner).await;
    }
    (env, gateways, upstreams)
}

/// The answers to requests that were sent one after another.
#[derive(Debug, Default)]
struct Answers {
    served: AtomicUsize,
    refused: AtomicUsize,
    /// Refusals that do not say when to come back.
    without_time: AtomicUsize,
    others: AtomicUsize,
}

/// Sends a request every `interval_ms` through one gateway after another.
async fn send_steadily(
    spawner: &Spawner,
    gateways: &[Gateway],
    interval_ms: u64,
    duration_ms: u64,
) -> Arc<Answers> {
    let answers = Arc::new(Answers::default());
    let rounds = duration_ms / interval_ms;
    for number in 0..rounds as usize {
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

/// The most arrivals in a span, from `CONTACT_MS` after the limit was named at `named_unix_ms`.
fn most_arrivals(upstream: &PlatformUpstream, named_unix_ms: u64) -> usize {
    let mut arrivals = upstream.arrivals_unix_ms();
    arrivals.retain(|at_ms| *at_ms >= named_unix_ms + CONTACT_MS);
    let in_span = |from_ms: &u64| {
        arrivals.iter().filter(|at_ms| (*from_ms..from_ms + SPAN_MS).contains(at_ms)).count()
    };
    arrivals.iter().map(in_span).max().unwrap_or(0)
}

fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * SPAN_MS as f64 / MS_PER_S * TOLERANCE + SLACK) as usize
}

fn name_limit(upstream: &PlatformUpstream, limit: &str) -> u64 {
    upstream.update_behaviour(|behaviour| behaviour.named_limit = Some(limit.to_owned()));
    comfreymast_base::Clock::system().unix_ms()
}

#[test]
fn an_upstream_that_names_a_limit_gets_no_more_from_all_daemons_together() {
    run_test(async |spawner| {
        let (_env, gateways, upstreams) = start(&spawner, 3).await;
        let named_unix_ms = name_limit(&upstreams[0], "1.5");
        let answers = send_steadily(&spawner, &gateways, 15, 9_000).await;
        let most = most_arrivals(&upstreams[0], named_unix_ms);
        assert!(most <= allowed(1.5), "{most} arrivals in {SPAN_MS} ms");
        // The other upstream takes the rest.
        assert_eq!(answers.refused.load(Ordering::Relaxed), 0, "{answers:?}");
        assert_eq!(answers.others.load(Ordering::Relaxed), 0, "{answers:?}");
    });
}

/// All upstreams name limits: what they take is used, and the rest is refused at once with a time to come back.
#[test]
fn a_service_whose_upstreams_all_name_limits_uses_them_and_refuses_the_rest() {
    const LIMIT_PER_S: f64 = 3.0;
    const DURATION_MS: u64 = 10_000;
    run_test(async |spawner| {
        let (_env, gateways, upstreams) = start(&spawner, 3).await;
        let named_unix_ms = name_limit(&upstreams[0], "3.0");
        name_limit(&upstreams[1], "3.0");
        let answers = send_steadily(&spawner, &gateways, 15, DURATION_MS).await;
        let mut arrived = 0;
        for upstream in &upstreams {
            let most = most_arrivals(upstream, named_unix_ms);
            assert!(most <= allowed(LIMIT_PER_S), "{most} arrivals in {SPAN_MS} ms");
            arrived += upstream.arrivals_unix_ms().len();
        }
        let named = 2.0 * LIMIT_PER_S * DURATION_MS as f64 / MS_PER_S;
        assert!(arrived as f64 >= named / 2.0, "{arrived} of {named} arrived");
        assert!(answers.refused.load(Ordering::Relaxed) > 0, "{answers:?}");
        assert_eq!(answers.without_time.load(Ordering::Relaxed), 0, "{answers:?}");
        assert_eq!(answers.others.load(Ordering::Relaxed), 0, "{answers:?}");
    });
}

/// Engines that all name limits get streams, continuations and moves within them.
#[test]
fn streams_keep_to_the_limits_of_their_engines() {
    const LIMIT_PER_S: f64 = 2.0;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let engines = [env.upstream("e0", "engines").await, env.upstream("e1", "engines").await];
        let gateways = [env.gateway("d0").await, env.gateway("d1").await];
        for gateway in &gateways {
            gateway.wait_ready(&spawner).await;
        }
        let named_unix_ms = name_limit(&engines[0], "2");
        name_limit(&engines[1], "2");
        for number in 0..250 {
            let gateway = &gateways[number % gateways.len()];
            let (addr, id) = (gateway.addresses.callers, format!("id{number}"));
            let stream = generation("/caption/a", &id);
            let opened = OwnedConnection::open(&spawner, addr, SPAN_MS).await;
            let mut connection = opened.expect("a connection");
            spawner.detach(async move {
                // Some are refused after a wait for an engine; only arrivals at engines matter here.
                let _ = connection.send(stream).await;
            });
            sleep_ms(40).await;
        }
        for engine in &engines {
            let most = most_arrivals(engine, named_unix_ms);
            assert!(most <= allowed(LIMIT_PER_S), "{most} arrivals in {SPAN_MS} ms");
        }
    });
}

#[test]
fn a_limit_ends_when_answers_name_none_and_an_invalid_one_changes_nothing() {
    run_test(async |spawner| {
        let (_env, gateways, upstreams) = start(&spawner, 2).await;
        for upstream in &upstreams {
            name_limit(upstream, "2");
        }
        send_steadily(&spawner, &gateways, 20, 1_500).await;
        for upstream in &upstreams {
            name_limit(upstream, "as many as you like");
        }
        let invalid = send_steadily(&spawner, &gateways, 20, 2_000).await;
        assert!(invalid.refused.load(Ordering::Relaxed) > 0, "{invalid:?}");
        for upstream in &upstreams {
            upstream.update_behaviour(|behaviour| behaviour.named_limit = None);
        }
        // Time enough for one answer of each, and for a heartbeat about it.
        send_steadily(&spawner, &gateways, 20, 2_000).await;
        let free = send_steadily(&spawner, &gateways, 20, 1_000).await;
        assert_eq!(free.refused.load(Ordering::Relaxed), 0, "{free:?}");
    });
}
