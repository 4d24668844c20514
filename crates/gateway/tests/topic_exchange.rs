//! Tests what daemons of this and of earlier releases say to each other about whole topics, and that a damaged
//! topic changes nothing.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_net::UdpSocket;
use bytes::Bytes;
use comfreymast_base::Clock;
use comfreymast_fakes::platform_documents::{CONFIGURATION_KEY, OPERATORS_TOPIC};
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{
    Body, OwnedConnection, ServeLimits, Spawner, collect, empty, full, handler, request, serve,
    sleep_ms,
};
use comfreymast_proof::bind_peer_port;
use comfreymast_wire::news::{Heartbeat, News, TopicRecord, TopicSnapshot, news};
use flate2::Compression;
use flate2::write::ZlibEncoder;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use prost::Message;
use support::{Gateway, TestEnv, call, run_test, wait_for};

const OPERATORS_PATH: &str = "/peer/operators";
const HEARTBEAT_MS: u64 = 50;
const LIMIT_MS: u64 = 5_000;

/// A daemon that is ahead with a configuration, played by the test.
struct PeerStandIn {
    addr: SocketAddr,
    asked: Arc<AtomicUsize>,
    _running: async_channel::Sender<()>,
}

/// One answer of the stand-in to a request for a topic.
#[derive(Clone)]
struct TopicAnswer {
    coding: Option<&'static str>,
    body: Bytes,
}

impl PeerStandIn {
    /// Starts a stand-in whose topic has one record. Its answers are given in turn, the last one again and
    /// again.
    async fn start(spawner: &Spawner, name: &'static str, answers: Vec<TopicAnswer>) -> Self {
        Self::start_ahead(spawner, name, answers, 1).await
    }

    /// Starts a stand-in that says its topic has `ahead` records.
    async fn start_ahead(
        spawner: &Spawner,
        name: &'static str,
        answers: Vec<TopicAnswer>,
        ahead: u64,
    ) -> Self {
        let (listener, socket) = bind_peer_port().await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (running, stop) = async_channel::bounded(1);
        let asked = Arc::new(AtomicUsize::new(0));
        let counted = asked.clone();
        let answer = handler(move |request: hyper::Request<hyper::body::Incoming>| {
            let (answers, counted) = (answers.clone(), counted.clone());
            async move {
                if request.uri().path() != OPERATORS_PATH {
                    return Response::new(full(TopicSnapshot::default().encode_to_vec()));
                }
                let number = counted.fetch_add(1, Ordering::AcqRel);
                let TopicAnswer { coding, body } = answers[number.min(answers.len() - 1)].clone();
                let mut response = Response::new(full(body));
                if let Some(coding) = coding {
                    let coding = HeaderValue::from_static(coding);
                    response.headers_mut().insert(CONTENT_ENCODING, coding);
                }
                response
            }
        });
        let served = serve(spawner.clone(), listener, answer, ServeLimits::default(), stop);
        spawner.detach(served);
        spawner.detach(send_heartbeats(name, ahead, socket));
        Self { addr, asked, _running: running }
    }
}

/// Answers each daemon that sends heartbeats with heartbeats that are ahead.
async fn send_heartbeats(name: &'static str, ahead: u64, socket: UdpSocket) {
    let mut buffer = vec![0; 64 * 1024];
    let mut sequence = 0;
    let started_unix_ms = Clock::system().unix_ms();
    while let Ok((_, from)) = socket.recv_from(&mut buffer).await {
        sequence += 1;
        let heartbeat = Heartbeat {
            daemon: name.to_owned(),
            data_centre: "z1".to_owned(),
            started_unix_ms,
            sequence,
            operators_offset: ahead,
            store_answers: true,
            ..Heartbeat::default()
        };
        let message = News { body: Some(news::Body::Heartbeat(heartbeat)) }.encode_to_vec();
        let _ = socket.send_to(&message, from).await;
        sleep_ms(HEARTBEAT_MS).await;
    }
}

/// The topic with the configuration that the store of `env` has.
async fn snapshot(env: &TestEnv, spawner: &Spawner) -> TopicSnapshot {
    let mut client = comfreymast_platform::StoreClient::new(spawner.clone(), env.store_addr);
    let newest = client.newest(comfreymast_platform::Topic::Operators).await.expect("a topic");
    let record = newest.records.into_iter().find(|record| record.key == CONFIGURATION_KEY);
    let value = record.and_then(|record| record.value).expect("a configuration");
    let key = CONFIGURATION_KEY.to_owned();
    let records = vec![TopicRecord { key, offset: 0, value, era: 0 }];
    TopicSnapshot { next_offset: 1, records, ..TopicSnapshot::default() }
}

fn compressed(snapshot: &TopicSnapshot) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&snapshot.encode_to_vec()).expect("memory");
    encoder.finish().expect("memory").into()
}

/// A gateway that cannot reach the store and knows the stand-ins.
async fn gateway(env: &TestEnv, peers: &[&PeerStandIn]) -> Gateway {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let seeds = peers.iter().map(|peer| peer.addr).collect();
    env.gateway_with_seeds("z1", "d0", unreachable, GatewayOptions::default(), seeds).await
}

/// Waits until the gateway has a configuration: before, it answers 503, then 404 to an unknown route.
async fn wait_in_force(spawner: &Spawner, gateway: &Gateway) {
    wait_for("configuration", async || {
        let answer = gateway.call(spawner, call("GET", "/unknown/x", "id")).await;
        answer.status == StatusCode::NOT_FOUND
    })
    .await;
}

#[test]
fn a_topic_of_an_earlier_release_is_understood() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let body = snapshot(&env, &spawner).await.encode_to_vec().into();
        let answer = TopicAnswer { coding: None, body };
        let peer = PeerStandIn::start(&spawner, "d9", vec![answer]).await;
        let gateway = gateway(&env, &[&peer]).await;
        wait_in_force(&spawner, &gateway).await;
    });
}

#[test]
fn a_damaged_topic_changes_nothing_and_another_one_is_fetched() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let good = compressed(&snapshot(&env, &spawner).await);
        let mut flipped = good.to_vec();
        let middle = flipped.len() / 2;
        flipped[middle] ^= 0x10;
        let cut = good.slice(..good.len() - 5);
        let bomb: Bytes = {
            let mut encoder = ZlibEncoder::new(Vec::new(), Compression::best());
            encoder.write_all(&vec![0; 64 * 1024 * 1024]).expect("memory");
            encoder.finish().expect("memory").into()
        };
        let damaged = [flipped.into(), cut, bomb, Bytes::from_static(b"no topic")];
        let answers = damaged.into_iter().chain([good]);
        let answers: Vec<_> =
            answers.map(|body| TopicAnswer { coding: Some("deflate"), body }).collect();
        let peer = PeerStandIn::start(&spawner, "d9", answers.clone()).await;
        let gateway = gateway(&env, &[&peer]).await;
        wait_in_force(&spawner, &gateway).await;
        assert_eq!(peer.asked.load(Ordering::Acquire), answers.len());
    });
}

/// Asks a gateway for the operators' topic.
async fn ask(
    spawner: &Spawner,
    gateway: &Gateway,
    target: &str,
    coding: Option<&'static str>,
) -> (StatusCode, HeaderMap, Bytes) {
    let addr = gateway.addresses.peers;
    let mut connection = OwnedConnection::open(spawner, addr, LIMIT_MS).await.expect("open");
    let mut request: hyper::Request<Body> = request(addr, "GET", target, empty());
    if let Some(coding) = coding {
        request.headers_mut().insert(ACCEPT_ENCODING, HeaderValue::from_static(coding));
    }
    let (head, body) = connection.send(request).await.expect("an answer").into_parts();
    (head.status, head.headers, collect(body, 1024 * 1024).await.expect("a body"))
}

#[test]
fn a_daemon_of_an_earlier_release_gets_a_topic_as_before() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let gateway = env.gateway("d0").await;
        wait_in_force(&spawner, &gateway).await;
        let expected = snapshot(&env, &spawner).await;
        let (status, headers, body) = ask(&spawner, &gateway, OPERATORS_PATH, None).await;
        assert_eq!(status, StatusCode::OK);
        assert!(!headers.contains_key(CONTENT_ENCODING));
        assert_eq!(TopicSnapshot::decode(body).expect("a topic"), expected);
    });
}

#[test]
fn a_topic_is_sent_only_to_those_that_are_behind() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let gateway = env.gateway("d0").await;
        wait_in_force(&spawner, &gateway).await;
        let ask = async |after: u64| {
            let target = format!("{OPERATORS_PATH}?era=0&after={after}");
            ask(&spawner, &gateway, &target, Some("deflate")).await
        };
        let (status, headers, body) = ask(0).await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(headers[CONTENT_ENCODING], "deflate");
        assert_eq!(body, compressed(&snapshot(&env, &spawner).await));
        for after in [1, 2] {
            assert_eq!(ask(after).await.0, StatusCode::NO_CONTENT);
        }
        // The same position after the topic has grown.
        env.write(OPERATORS_TOPIC, "other", b"x");
        wait_for("a later position", async || ask(1).await.0 == StatusCode::OK).await;
    });
}

/// As the sender of a summary of another data centre, which tells how far others are.
#[test]
fn a_peer_that_is_not_as_far_as_was_said_is_not_asked_again_and_again() {
    const FAR: u64 = 9;
    const SPAN_MS: u64 = 2_000;
    /// With the pauses between, which grow to 320 ms.
    const FEW: usize = 30;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let snapshot = snapshot(&env, &spawner).await;
        let plain = TopicAnswer { coding: None, body: snapshot.encode_to_vec().into() };
        let deflated = TopicAnswer { coding: Some("deflate"), body: compressed(&snapshot) };
        for answer in [plain, deflated] {
            let peer = PeerStandIn::start_ahead(&spawner, "d9", vec![answer], FAR).await;
            let gateway = gateway(&env, &[&peer]).await;
            wait_in_force(&spawner, &gateway).await;
            sleep_ms(SPAN_MS).await;
            let asked = peer.asked.load(Ordering::Acquire);
            assert!(asked <= FEW, "{asked}");
        }
    });
}
