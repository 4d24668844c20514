//! Tests that a stream on a route of several services is taken up at the service that began it, or not at all.

mod support;

use std::collections::BTreeMap;

use async_net::UdpSocket;
use comfreymast_decide::stream_origins::origin_key;
use comfreymast_fakes::platform_documents::{RouteEntry, signer};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::Link;
use comfreymast_wire::news::{News, StreamOrigin, news};
use http_body_util::BodyExt;
use hyper::StatusCode;
use prost::Message;
use serde_json::{Value, json};
use support::{Gateway, TestEnv, call, event_ids, generation, run_test, take_up, wait_for};

const EVENTS: u64 = 20;
/// The last event that a caller gets before it leaves.
const LAST_EVENT: u64 = 3;
const SERVICES: [&str; 3] = ["blue", "green", "red"];
const ENGINES_PER_SERVICE: usize = 2;
const DAEMONS: usize = 3;
/// How many streams of each service begin at least.
const STREAMS_PER_SERVICE: usize = 4;
/// Longer than the interval of heartbeats.
const HEARTBEATS_MS: u64 = 600;

/// A stream of which a caller has the first events.
#[derive(Clone, Debug)]
struct Begun {
    attempt: String,
    service: String,
}

/// What became of streams that were taken up.
#[derive(Debug, Default, PartialEq, Eq)]
struct TakenUp {
    /// Whole, at their own service.
    whole: usize,
    /// At another service.
    joined: usize,
    /// Answered 503.
    refused: usize,
    /// Cut, or answered otherwise.
    failed: usize,
}

/// Daemons with links of their own to the engines of three services, between which a route is split.
struct Fleet {
    envs: Vec<TestEnv>,
    engines: Vec<PlatformUpstream>,
    /// The links of each daemon.
    links: Vec<Vec<Link>>,
    daemons: Vec<Gateway>,
    /// How many streams were taken up.
    taken_up: usize,
}

/// Splits the route of streams between `services`. Adds a route that shows which version is in force.
fn split(configuration: &mut Value, services: &[(&str, u64)]) {
    let marker = format!("in-force-{}", configuration["version"]);
    let marker = RouteEntry { name: &marker, kind: "safe", ..RouteEntry::default() };
    let routes = configuration["routes"].as_array_mut().expect("routes");
    routes.push(marker.document("h.example"));
    let specs = configuration["services"].as_array_mut().expect("services");
    let engines = specs.iter().find(|spec| spec["name"] == "engines").expect("engines").clone();
    for name in SERVICES {
        let mut spec = engines.clone();
        spec["name"] = name.into();
        specs.push(spec);
    }
    let shares: Vec<_> =
        services.iter().map(|(name, weight)| json!({"service": name, "weight": weight})).collect();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        if route["name"] == "caption" {
            route["trafficSplit"] = shares.clone().into();
        }
    }
}

fn evenly(configuration: &mut Value) {
    split(configuration, &SERVICES.map(|name| (name, 1)));
}

/// The service of an engine's name.
fn service_of(name: &str) -> String {
    name.split_once('-').expect("a service").0.to_owned()
}

impl Fleet {
    /// A fleet whose engines have the versions that `version_of` gives their services.
    async fn new(spawner: &Spawner, version_of: impl Fn(&str) -> String) -> Self {
        let mut engines = Vec::new();
        for service in SERVICES {
            for number in 0..ENGINES_PER_SERVICE {
                let name = format!("{service}-{number}");
                let engine = PlatformUpstream::start(spawner, &name).await.expect("a port");
                engine.update_behaviour(|behaviour| {
                    behaviour.version = version_of(service);
                    behaviour.event_ms = 5;
                });
                engines.push(engine);
            }
        }
        let (mut envs, mut links) = (Vec::new(), Vec::new());
        for _ in 0..DAEMONS {
            let env = TestEnv::new(spawner).await;
            env.publish(1, evenly);
            let mut own = Vec::new();
            for engine in &engines {
                let link = Link::start(spawner, engine.addr).await.expect("a port");
                let service = service_of(&engine.name);
                let version = engine.behaviour().version;
                env.announce_version((&engine.name, link.addr), &service, &version);
                own.push(link);
            }
            envs.push(env);
            links.push(own);
        }
        let mut fleet = Self { envs, engines, links, daemons: Vec::new(), taken_up: 0 };
        fleet.start_daemons(spawner).await;
        fleet
    }

    /// Starts the daemons, each with a store of its own.
    async fn start_daemons(&mut self, spawner: &Spawner) {
        for (number, env) in self.envs.iter().enumerate() {
            let seeds: Vec<_> = self.daemons.iter().collect();
            let options = GatewayOptions { drain_grace_ms: 0, ..GatewayOptions::default() };
            let name = format!("d{number}");
            let daemon = env.gateway_at(&name, env.store_addr, options, &seeds).await;
            self.daemons.push(daemon);
        }
        for daemon in &self.daemons {
            daemon.wait_ready(spawner).await;
        }
        sleep_ms(HEARTBEATS_MS).await;
    }

    /// Ends all daemons at once.
    async fn end_daemons(&mut self) {
        self.daemons.iter().for_each(Gateway::stop);
        for daemon in self.daemons.drain(..) {
            daemon.ended().await;
        }
    }

    /// Publishes a change of the route's split to all daemons, and waits until it is in force.
    async fn publish_split(&self, spawner: &Spawner, version: u64, services: &[(&str, u64)]) {
        for env in &self.envs {
            env.publish(version, |configuration| split(configuration, services));
        }
        let path = format!("/in-force-{version}/x");
        for daemon in &self.daemons {
            wait_for("the new configuration", async || {
                let answer = daemon.call(spawner, call("GET", &path, "probe")).await;
                answer.status != StatusCode::NOT_FOUND
            })
            .await;
        }
    }

    /// Begins streams at a daemon, each of which its caller leaves after three events, until each of
    /// `services` has begun some.
    async fn begin(&self, spawner: &Spawner, services: &[&str]) -> Vec<Begun> {
        let (mut begun, mut counts) = (Vec::new(), BTreeMap::<_, usize>::new());
        while services.iter().any(|name| counts.get(*name) < Some(&STREAMS_PER_SERVICE)) {
            let attempt = format!("begun-{}", begun.len());
            let call = generation("/caption/x", &attempt);
            let (_connection, response) = self.daemons[0].open(spawner, call).await;
            assert_eq!(response.status(), StatusCode::OK);
            let service = service_of(signer(response.headers()).expect("a signature"));
            let (mut body, mut bytes) = (response.into_body(), Vec::new());
            while event_ids(&bytes).last() < Some(&LAST_EVENT) {
                let frame = body.frame().await.expect("an event").expect("an event");
                bytes.extend_from_slice(&frame.into_data().expect("data"));
            }
            *counts.entry(service.clone()).or_default() += 1;
            begun.push(Begun { attempt, service });
        }
        begun
    }

    /// Takes each stream up at a daemon, once.
    async fn take_up(
        &mut self,
        spawner: &Spawner,
        daemon: usize,
        begun: &[Begun],
        names_attempt: bool,
    ) -> TakenUp {
        let mut taken_up = TakenUp::default();
        for stream in begun {
            self.taken_up += 1;
            let id = format!("taken-{}", self.taken_up);
            let call = take_up(&id, names_attempt.then_some(&stream.attempt), LAST_EVENT);
            let (_connection, response) = self.daemons[daemon].open(spawner, call).await;
            let status = response.status();
            let service = signer(response.headers()).map(service_of);
            let body = support::read_what_arrives(response).await;
            let rest: Vec<_> = (LAST_EVENT + 1..=EVENTS).collect();
            match (status, service) {
                (StatusCode::OK, Some(service)) if service != stream.service => {
                    taken_up.joined += 1;
                }
                (StatusCode::OK, Some(_)) if event_ids(&body) == rest => taken_up.whole += 1,
                (StatusCode::SERVICE_UNAVAILABLE, None) => taken_up.refused += 1,
                _ => taken_up.failed += 1,
            }
        }
        taken_up
    }

    /// The number of streams that engines ran.
    fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }
}

fn own_version(service: &str) -> String {
    format!("v-{service}")
}

fn same_version(_service: &str) -> String {
    "v1".to_owned()
}

fn all_whole(begun: &[Begun]) -> TakenUp {
    TakenUp { whole: begun.len(), ..TakenUp::default() }
}

fn all_refused(begun: &[Begun]) -> TakenUp {
    TakenUp { refused: begun.len(), ..TakenUp::default() }
}

/// Guards against streams that are refused, as their take-up draws another service (LOST).
#[test]
fn streams_of_a_split_route_are_taken_up_at_their_service_by_other_daemons() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, own_version).await;
        let begun = fleet.begin(&spawner, &SERVICES).await;
        for daemon in 0..DAEMONS {
            let taken_up = fleet.take_up(&spawner, daemon, &begun, true).await;
            assert_eq!(taken_up, all_whole(&begun), "daemon {daemon}");
        }
    });
}

/// Guards against streams that are joined from two services of the same version (ORDER).
#[test]
fn streams_of_services_with_the_same_version_are_not_joined() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, same_version).await;
        let begun = fleet.begin(&spawner, &SERVICES).await;
        for daemon in 0..DAEMONS {
            let taken_up = fleet.take_up(&spawner, daemon, &begun, true).await;
            assert_eq!(taken_up, all_whole(&begun), "daemon {daemon}");
        }
    });
}

/// Guards against the same for callers that do not say which attempt they take up (ORDER).
#[test]
fn unnamed_streams_of_a_split_route_are_refused_and_run_nowhere() {
    run_test(async |spawner| {
        for version_of in [own_version, same_version] {
            let mut fleet = Fleet::new(&spawner, version_of).await;
            let begun = fleet.begin(&spawner, &SERVICES).await;
            let runs = fleet.runs();
            let taken_up = fleet.take_up(&spawner, 1, &begun, false).await;
            assert_eq!(taken_up, all_refused(&begun));
            assert_eq!(fleet.runs(), runs);
        }
    });
}

/// Guards against streams that are joined from two services, or refused, once no daemon remembers them.
#[test]
fn streams_of_a_split_route_are_taken_up_after_all_daemons_have_restarted() {
    /// Of all streams, as for services with two versions.
    const MIN_SHARE: f64 = 0.8;
    run_test(async |spawner| {
        for version_of in [own_version, same_version] {
            let mut fleet = Fleet::new(&spawner, version_of).await;
            let begun = fleet.begin(&spawner, &SERVICES).await;
            sleep_ms(HEARTBEATS_MS).await;
            fleet.end_daemons().await;
            fleet.start_daemons(&spawner).await;
            let taken_up = fleet.take_up(&spawner, 0, &begun, true).await;
            assert_eq!(taken_up.joined, 0, "{taken_up:?}");
            assert!(taken_up.whole as f64 >= MIN_SHARE * begun.len() as f64, "{taken_up:?}");
        }
    });
}

/// Guards against streams that go on at a service to which their route has moved (ORDER), or at one that
/// it has left (CONFIG).
#[test]
fn streams_whose_route_has_moved_to_another_service_are_refused_and_run_nowhere() {
    run_test(async |spawner| {
        for names_attempt in [true, false] {
            let mut fleet = Fleet::new(&spawner, same_version).await;
            fleet.publish_split(&spawner, 2, &[("blue", 1)]).await;
            let begun = fleet.begin(&spawner, &["blue"]).await;
            for (version, moved) in [(3, vec![("green", 1)]), (4, vec![("blue", 0), ("green", 1)])]
            {
                fleet.publish_split(&spawner, version, &moved).await;
                let runs = fleet.runs();
                let taken_up = fleet.take_up(&spawner, 1, &begun, names_attempt).await;
                assert_eq!(taken_up, all_refused(&begun), "{moved:?}");
                assert_eq!(fleet.runs(), runs);
            }
        }
    });
}

/// Guards against streams that are refused, or joined, when a peer serves their take-up (LOST, ORDER).
#[test]
fn streams_of_a_split_route_are_taken_up_at_their_service_over_a_peer() {
    run_test(async |spawner| {
        for version_of in [own_version, same_version] {
            let mut fleet = Fleet::new(&spawner, version_of).await;
            let begun = fleet.begin(&spawner, &SERVICES).await;
            fleet.links[1].iter().for_each(Link::close);
            let taken_up = fleet.take_up(&spawner, 1, &begun, true).await;
            assert_eq!(taken_up, all_whole(&begun));
        }
    });
}

/// Guards against streams that are refused, or joined, as a daemon of an earlier release names no service.
#[test]
fn streams_that_an_earlier_release_recorded_go_on_where_only_one_service_has_their_version() {
    run_test(async |spawner| {
        for (version_of, is_clear) in
            [(own_version as fn(&str) -> String, true), (same_version, false)]
        {
            let mut fleet = Fleet::new(&spawner, version_of).await;
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
            let mut begun = Vec::new();
            for service in SERVICES {
                let attempt = format!("earlier-{service}");
                let origin = StreamOrigin {
                    key: origin_key("org", &attempt).to_vec().into(),
                    version: version_of(service),
                    has_version: true,
                    ttl_ms: 10_000,
                    service: String::new(),
                };
                let message = News { body: Some(news::Body::StreamOrigin(origin)) };
                let addr = fleet.daemons[1].addresses.peers;
                socket.send_to(&message.encode_to_vec(), addr).await.expect("a datagram");
                begun.push(Begun { attempt, service: service.to_owned() });
            }
            sleep_ms(HEARTBEATS_MS).await;
            let taken_up = fleet.take_up(&spawner, 1, &begun, true).await;
            assert_eq!(taken_up, if is_clear { all_whole(&begun) } else { all_refused(&begun) });
        }
    });
}
