//! Tests that daemons learn from their streams which engines are slow, tell each other, and send new
//! streams elsewhere.

mod support;

use async_net::UdpSocket;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{OwnedConnection, Spawner, collect, empty, request, sleep_ms};
use comfreymast_wire::news::{EngineUse, Heartbeat, News, news};
use hyper::StatusCode;
use prost::Message;
use support::{Gateway, TestEnv, generation, run_test, wait_for};

const EVENTS: u64 = 60;
/// What a usual engine takes for an event.
const EVENT_MS: u64 = 28;
const SLOW_EVENT_MS: u64 = 112;

/// Starts engines whose events take these times.
async fn engines(env: &TestEnv, event_ms: &[u64]) -> Vec<PlatformUpstream> {
    let mut engines = Vec::new();
    for (number, event_ms) in event_ms.iter().enumerate() {
        let engine = env.upstream(&format!("e{number}"), "engines").await;
        engine.update_behaviour(|behaviour| {
            behaviour.events = EVENTS;
            behaviour.event_ms = *event_ms;
        });
        engines.push(engine);
    }
    engines
}

/// Waits until `gateway` serves streams.
async fn wait_serving(spawner: &Spawner, engines: &[PlatformUpstream], gateway: &Gateway) {
    let events = engines[0].behaviour().events;
    engines.iter().for_each(|engine| engine.update_behaviour(|behaviour| behaviour.events = 1));
    wait_for("engines", async || {
        let answer = gateway.call(spawner, generation("/caption/x", "probe")).await;
        answer.status == StatusCode::OK
    })
    .await;
    engines
        .iter()
        .for_each(|engine| engine.update_behaviour(|behaviour| behaviour.events = events));
}

/// The number of upstreams that `gateway` judges slow.
async fn slow_upstreams(spawner: &Spawner, gateway: &Gateway) -> u64 {
    const OPEN_LIMIT_MS: u64 = 1_000;
    const MAX_METRICS_BYTES: usize = 256 * 1024;
    const NAME: &str = "comfreymast_gateway_slow_upstreams ";
    let addr = gateway.addresses.peers;
    let connection = OwnedConnection::open(spawner, addr, OPEN_LIMIT_MS).await;
    let mut connection = connection.expect("a connection");
    let answer = connection.send(request(addr, "GET", "/metrics", empty())).await;
    let body = collect(answer.expect("an answer").into_body(), MAX_METRICS_BYTES).await;
    let text = String::from_utf8(body.expect("a body").to_vec()).expect("text");
    let value = text.lines().find_map(|line| line.strip_prefix(NAME)).expect("the metric");
    value.parse().expect("a number")
}

/// The number of requests with ids that begin with `prefix` that an engine ran.
fn runs(engine: &PlatformUpstream, prefix: &str) -> usize {
    engine.runs().iter().filter(|run| run.id.starts_with(prefix)).count()
}

/// Guards against a slow engine that only the daemons notice that have streams there, and against
/// new streams that go there although others are free.
#[test]
fn a_slow_engine_is_noticed_told_to_a_peer_and_avoided_by_it() {
    const STREAMS: usize = 6;
    /// All of so many miss one of three engines in one of 100,000 runs.
    const MAX_STREAMS: usize = 30;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let engines = engines(&env, &[SLOW_EVENT_MS, EVENT_MS, EVENT_MS]).await;
        let options = || GatewayOptions::default().places_by_speed(true);
        let first = env.gateway_at("d0", env.store_addr, options(), &[]).await;
        let second = env.gateway_at("d1", env.store_addr, options(), &[&first]).await;
        wait_serving(&spawner, &engines, &first).await;
        wait_serving(&spawner, &engines, &second).await;
        let mut streams = Vec::new();
        // Placement draws between engines with equal load, so any six streams may all miss one of three.
        while streams.len() < STREAMS || runs(&engines[0], "early") == 0 {
            assert!(streams.len() < MAX_STREAMS, "no stream starts at the slow engine");
            let call = generation("/caption/x", &format!("early-{}", streams.len()));
            streams.push(first.open(&spawner, call).await);
        }
        wait_for("judgement", async || slow_upstreams(&spawner, &first).await == 1).await;
        wait_for("judgement of the peer", async || slow_upstreams(&spawner, &second).await == 1)
            .await;
        for number in 0..STREAMS {
            let call = generation("/caption/x", &format!("late-{number}"));
            streams.push(second.open(&spawner, call).await);
        }
        assert_eq!(runs(&engines[0], "late"), 0);
        assert_eq!(runs(&engines[1], "late") + runs(&engines[2], "late"), STREAMS);
    });
}

/// Guards against engines that are judged by the number of their streams.
#[test]
fn engines_of_equal_speed_are_not_judged_slow() {
    const STREAMS: usize = 7;
    const SPAN_MS: u64 = 1_500;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let engines = engines(&env, &[SLOW_EVENT_MS, SLOW_EVENT_MS]).await;
        let options = GatewayOptions::default().places_by_speed(true);
        let gateway = env.gateway_at("d0", env.store_addr, options, &[]).await;
        wait_serving(&spawner, &engines, &gateway).await;
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let call = generation("/caption/x", &format!("id-{number}"));
            streams.push(gateway.open(&spawner, call).await);
        }
        sleep_ms(SPAN_MS).await;
        assert_eq!(slow_upstreams(&spawner, &gateway).await, 0);
        assert!(engines.iter().all(|engine| runs(engine, "id") > 0));
    });
}

/// Guards against a peer whose figures are out of range and stop a daemon, or shut out all engines.
#[test]
fn odd_figures_of_a_peer_do_no_harm() {
    const HEARTBEATS: u64 = 20;
    const INTERVAL_MS: u64 = 20;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let engines = engines(&env, &[EVENT_MS, EVENT_MS]).await;
        let options = GatewayOptions::default().places_by_speed(true);
        let gateway = env.gateway_at("d0", env.store_addr, options, &[]).await;
        wait_serving(&spawner, &engines, &gateway).await;
        engines.iter().for_each(|engine| engine.update_behaviour(|behaviour| behaviour.events = 2));
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let told = |upstream: &str, slowness_percent, speed_age_ms| EngineUse {
            upstream: upstream.to_owned(),
            slowness_percent,
            speed_age_ms,
            speed_weight_ms: u32::MAX,
            ..EngineUse::default()
        };
        for sequence in 1..=HEARTBEATS {
            let heartbeat = Heartbeat {
                daemon: "odd".to_owned(),
                data_centre: "z1".to_owned(),
                sequence,
                engines: vec![
                    told("e0", u32::MAX, 0),
                    told("e1", u32::MAX, u32::MAX),
                    told("e1", 1, 0),
                    told("e9", 400, 0),
                    told("", 0, u32::MAX),
                ],
                ..Heartbeat::default()
            };
            let bytes = News { body: Some(news::Body::Heartbeat(heartbeat)) }.encode_to_vec();
            socket.send_to(&bytes, gateway.addresses.peers).await.expect("sent");
            let call = generation("/caption/x", &format!("id-{sequence}"));
            assert_eq!(gateway.call(&spawner, call).await.status, StatusCode::OK);
            sleep_ms(INTERVAL_MS).await;
        }
        assert!(slow_upstreams(&spawner, &gateway).await <= 1);
        // All engines of a service are never shut out.
        env.write(comfreymast_fakes::platform_documents::UPSTREAMS_TOPIC, "e1", b"");
        wait_for("the engine that is left", async || {
            let call = generation("/caption/x", "last");
            gateway.call(&spawner, call).await.status == StatusCode::OK
                && runs(&engines[0], "last") > 0
        })
        .await;
    });
}
