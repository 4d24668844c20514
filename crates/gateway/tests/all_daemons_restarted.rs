//! Tests that streams are taken up after all daemons have ended and started again, and never at another
//! software version than the one that began them.

mod support;

use std::collections::BTreeSet;

use comfreymast_base::{Service, SoftwareVersion};
use comfreymast_decide::version_history::ServiceVersion;
use comfreymast_decide::version_records::record_key;
use comfreymast_fakes::platform_documents::event_versions;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::Spawner;
use http_body_util::BodyExt;
use hyper::StatusCode;
use support::{Gateway, TestEnv, event_ids, generation, run_test, take_up, wait_for};

const EVENTS: u64 = 20;
/// The last event that a caller gets before all daemons end.
const LAST_EVENT: u64 = 3;
const ENGINES: usize = 8;
const DAEMONS: usize = 3;
const STREAMS: usize = 40;
/// Of 40 streams. The target is 0.9 with one version.
const MIN_OF_ONE_VERSION: usize = 36;
/// The target is 0.8 of the streams whose version is still there.
const MIN_SHARE_OF_PRESENT: f64 = 0.8;
/// The time limit of routes after it was shortened.
const SHORT_LIMIT_MS: u64 = 300;
/// How much longer than its time limit a stream may be taken up.
const MARGIN_MS: u64 = 2_000;
const VERSIONS_TOPIC: &str = "keyed.versions";
const DAEMONS_TOPIC: &str = "keyed.daemons";

/// A store, engines and daemons.
struct Fleet {
    env: TestEnv,
    engines: Vec<PlatformUpstream>,
    daemons: Vec<Gateway>,
    generation: usize,
}

/// A stream of which a caller has the first events.
struct Begun {
    attempt: String,
    version: String,
}

/// What became of streams that were taken up.
#[derive(Debug, Default)]
struct TakenUp {
    /// Whole, at their own version.
    whole: usize,
    /// At another version.
    joined: usize,
    /// Answered 503 without a time to come back.
    refused: usize,
    /// Answered 503 with a time to come back.
    put_off: usize,
    /// Cut, or answered otherwise.
    failed: usize,
}

impl TakenUp {
    /// The streams that were answered 503. One whose version is unknown is put off if some daemon that
    /// may know it has not replied.
    fn turned_away(&self) -> usize {
        self.refused + self.put_off
    }
}

impl Fleet {
    async fn new(spawner: &Spawner, version_of: impl Fn(usize) -> &'static str) -> Self {
        let env = TestEnv::new(spawner).await;
        env.publish(1, |_| ());
        let mut fleet = Self { env, engines: Vec::new(), daemons: Vec::new(), generation: 0 };
        for number in 0..ENGINES {
            let engine = fleet.engine(spawner, number, version_of(number)).await;
            fleet.engines.push(engine);
        }
        fleet.start_daemons(spawner).await;
        fleet
    }

    async fn engine(&self, spawner: &Spawner, number: usize, version: &str) -> PlatformUpstream {
        let engine = PlatformUpstream::start(spawner, &format!("e{number}")).await.expect("a port");
        engine.update_behaviour(|behaviour| {
            behaviour.version = version.to_owned();
            behaviour.event_ms = 10;
        });
        self.env.announce(&engine, "engines", "ready");
        engine
    }

    async fn start_daemons(&mut self, spawner: &Spawner) {
        self.generation += 1;
        let options = GatewayOptions { drain_grace_ms: 0, ..GatewayOptions::default() };
        for number in 0..DAEMONS {
            let name = format!("d{number}");
            let seeds: Vec<_> = self.daemons.iter().collect();
            let store = self.env.store_addr;
            let daemon = self.env.gateway_at(&name, store, options.clone(), &seeds).await;
            self.daemons.push(daemon);
        }
        for daemon in &self.daemons {
            daemon.wait_ready(spawner).await;
        }
    }

    /// Ends all daemons.
    async fn end_daemons(&mut self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
        for daemon in &self.daemons {
            daemon.ended().await;
        }
        self.daemons.clear();
    }

    /// Begins streams one after the other, each of which its caller leaves after three events.
    async fn begin(&self, spawner: &Spawner) -> Vec<Begun> {
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            let attempt = format!("begun-{number}");
            let daemon = &self.daemons[number % DAEMONS];
            let call = generation("/caption/x", &attempt);
            let (_connection, response) = daemon.open(spawner, call).await;
            assert_eq!(response.status(), StatusCode::OK);
            let mut body = response.into_body();
            let mut bytes = Vec::new();
            while event_ids(&bytes).last() != Some(&LAST_EVENT) {
                let frame = body.frame().await.expect("an event").expect("an event");
                bytes.extend_from_slice(&frame.into_data().expect("data"));
            }
            let version = event_versions(&bytes).into_iter().next().expect("an event");
            begun.push(Begun { attempt, version });
        }
        begun
    }

    /// Takes each stream up at another daemon than the one that began it, once.
    async fn take_up(&self, spawner: &Spawner, begun: &[Begun]) -> TakenUp {
        let mut taken_up = TakenUp::default();
        for (number, stream) in begun.iter().enumerate() {
            let daemon = &self.daemons[(number + 1) % DAEMONS];
            let call = take_up(
                &format!("taken-{}-{number}", self.generation),
                Some(&stream.attempt),
                LAST_EVENT,
            );
            let (_connection, response) = daemon.open(spawner, call).await;
            let status = response.status();
            let has_retry_after = response.headers().contains_key("retry-after");
            let body = support::read_what_arrives(response).await;
            let versions = event_versions(&body);
            let is_own = versions == BTreeSet::from([stream.version.clone()]);
            match status {
                StatusCode::OK if !versions.is_empty() && !is_own => taken_up.joined += 1,
                StatusCode::OK if event_ids(&body) == rest() => taken_up.whole += 1,
                StatusCode::SERVICE_UNAVAILABLE if has_retry_after => taken_up.put_off += 1,
                StatusCode::SERVICE_UNAVAILABLE => taken_up.refused += 1,
                _ => taken_up.failed += 1,
            }
        }
        taken_up
    }

    /// The number of streams of an upstream that the fleet ran.
    fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }

    fn shorten_time_limits(&self) {
        self.env.publish(2, |configuration| {
            for route in configuration["routes"].as_array_mut().expect("routes") {
                route["timeoutMs"] = SHORT_LIMIT_MS.into();
            }
        });
    }

    fn remove(&self, engine: &PlatformUpstream) {
        self.env.write("keyed.servers", &engine.name, &[]);
    }
}

fn rest() -> Vec<u64> {
    (LAST_EVENT + 1..=EVENTS).collect()
}

fn alternating(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "v1" } else { "v2" }
}

#[test]
fn streams_of_a_service_with_one_version_go_on_at_once() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        let begun = fleet.begin(&spawner).await;
        fleet.end_daemons().await;
        fleet.start_daemons(&spawner).await;
        let taken_up = fleet.take_up(&spawner, &begun).await;
        assert_eq!(taken_up.joined, 0, "{taken_up:?}");
        assert!(taken_up.whole >= MIN_OF_ONE_VERSION, "{taken_up:?}");
    });
}

#[test]
fn streams_of_a_service_with_two_versions_go_on_at_their_own() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, alternating).await;
        let begun = fleet.begin(&spawner).await;
        fleet.end_daemons().await;
        fleet.start_daemons(&spawner).await;
        let taken_up = fleet.take_up(&spawner, &begun).await;
        assert_eq!(taken_up.joined, 0, "{taken_up:?}");
        assert!(taken_up.whole as f64 >= MIN_SHARE_OF_PRESENT * STREAMS as f64, "{taken_up:?}");
    });
}

/// The streams of the first version began before there was a second one.
#[test]
fn streams_from_before_a_second_version_go_on_at_the_first() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        let begun = fleet.begin(&spawner).await;
        let added = fleet.engine(&spawner, ENGINES, "v2").await;
        fleet.engines.push(added);
        // The second version is seen, and what has begun is written.
        let later = fleet.begin_until_version(&spawner, "v2").await;
        assert_eq!(later.version, "v2");
        fleet.end_daemons().await;
        fleet.start_daemons(&spawner).await;
        let taken_up = fleet.take_up(&spawner, &begun).await;
        assert_eq!(taken_up.joined, 0, "{taken_up:?}");
        assert!(taken_up.whole as f64 >= MIN_SHARE_OF_PRESENT * STREAMS as f64, "{taken_up:?}");
    });
}

impl Fleet {
    /// Begins streams until one runs at `version`.
    async fn begin_until_version(&self, spawner: &Spawner, version: &str) -> Begun {
        loop {
            let begun = self.begin(spawner).await;
            if let Some(found) = begun.into_iter().find(|stream| stream.version == version) {
                return found;
            }
        }
    }
}

#[test]
fn streams_of_a_version_that_left_meanwhile_are_refused_at_once_and_run_nowhere() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, alternating).await;
        let begun = fleet.begin(&spawner).await;
        fleet.end_daemons().await;
        for engine in fleet.engines.iter().filter(|engine| engine.behaviour().version == "v1") {
            fleet.remove(engine);
        }
        fleet.start_daemons(&spawner).await;
        let (gone, left): (Vec<_>, Vec<_>) =
            begun.into_iter().partition(|stream| stream.version == "v1");
        let runs = fleet.runs();
        let taken_up = fleet.take_up(&spawner, &gone).await;
        assert_eq!(taken_up.refused, gone.len(), "{taken_up:?}");
        assert_eq!(fleet.runs(), runs);
        let taken_up = fleet.take_up(&spawner, &left).await;
        assert_eq!(taken_up.joined, 0, "{taken_up:?}");
        assert!(taken_up.whole as f64 >= MIN_SHARE_OF_PRESENT * left.len() as f64, "{taken_up:?}");
    });
}

/// The first version is only in the records of the store; nothing tells which attempt ran where.
#[test]
fn an_unknown_stream_is_refused_if_another_version_left_while_no_daemon_ran() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        fleet.begin(&spawner).await;
        fleet.end_daemons().await;
        for number in 0..ENGINES {
            fleet.remove(&fleet.engines[number]);
        }
        let added = fleet.engine(&spawner, ENGINES, "v2").await;
        fleet.engines.push(added);
        fleet.start_daemons(&spawner).await;
        let runs = fleet.runs();
        let unknown = [Begun { attempt: "unknown".to_owned(), version: "v1".to_owned() }];
        let taken_up = fleet.take_up(&spawner, &unknown).await;
        assert_eq!(taken_up.turned_away(), 1, "{taken_up:?}");
        assert_eq!(fleet.runs(), runs);
    });
}

/// The copy lacks the records of the second version and of who began which stream.
#[test]
fn nothing_is_joined_when_the_store_came_back_from_an_older_copy_meanwhile() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        let copy = fleet.env.store.copy();
        let added = fleet.engine(&spawner, ENGINES, "v2").await;
        fleet.engines.push(added);
        let later = fleet.begin_until_version(&spawner, "v2").await;
        fleet.end_daemons().await;
        fleet.env.store.restore(&copy);
        fleet.env.store.set_era(2);
        fleet.start_daemons(&spawner).await;
        let runs = fleet.runs();
        let taken_up = fleet.take_up(&spawner, &[later]).await;
        assert_eq!(taken_up.turned_away(), 1, "{taken_up:?}");
        assert_eq!(fleet.runs(), runs);
    });
}

#[test]
fn records_that_cannot_be_read_join_nothing() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        let begun = fleet.begin(&spawner).await;
        fleet.end_daemons().await;
        fleet.env.write(VERSIONS_TOPIC, "of-a-later-format", b"\x08\x09");
        fleet.start_daemons(&spawner).await;
        let runs = fleet.runs();
        let taken_up = fleet.take_up(&spawner, &begun[..4]).await;
        assert_eq!(taken_up.turned_away(), 4, "{taken_up:?}");
        assert_eq!(fleet.runs(), runs);
    });
}

/// A daemon of an earlier release ran at this store, and recorded nothing.
#[test]
fn missing_records_count_as_unknown_where_earlier_daemons_wrote_none() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        // A name in the first field.
        env.write(DAEMONS_TOPIC, "old", b"\x0a\x03old");
        let engine = env.upstream("e0", "engines").await;
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        let answer = gateway.call(&spawner, take_up("id-1", Some("unknown"), LAST_EVENT)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(engine.runs().len(), 0);
    });
}

/// Streams that began under the longer time limit may still be taken up.
#[test]
fn a_shorter_time_limit_does_not_shorten_how_long_a_version_counts() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        fleet.begin(&spawner).await;
        fleet.shorten_time_limits();
        fleet.end_daemons().await;
        for number in 0..ENGINES {
            fleet.remove(&fleet.engines[number]);
        }
        let added = fleet.engine(&spawner, ENGINES, "v2").await;
        fleet.engines.push(added);
        fleet.start_daemons(&spawner).await;
        comfreymast_net::sleep_ms(SHORT_LIMIT_MS + MARGIN_MS + 500).await;
        let runs = fleet.runs();
        let unknown = [Begun { attempt: "unknown".to_owned(), version: "v1".to_owned() }];
        let taken_up = fleet.take_up(&spawner, &unknown).await;
        assert_eq!(taken_up.turned_away(), 1, "{taken_up:?}");
        assert_eq!(fleet.runs(), runs);
    });
}

/// The daemons in between see the store for the shorter time limit only, and in another era.
#[test]
fn records_become_complete_only_after_the_longest_time_limit() {
    run_test(async |spawner| {
        let mut fleet = Fleet::new(&spawner, |_| "v1").await;
        fleet.begin(&spawner).await;
        fleet.shorten_time_limits();
        fleet.end_daemons().await;
        fleet.env.store.set_era(2);
        // The copy from which the store came back lacks what names the first version.
        for number in 0..ENGINES {
            fleet.remove(&fleet.engines[number]);
        }
        fleet.env.write(VERSIONS_TOPIC, &record_key_of("v1"), &[]);
        let added = fleet.engine(&spawner, ENGINES, "v2").await;
        fleet.engines.push(added);
        fleet.start_daemons(&spawner).await;
        comfreymast_net::sleep_ms(SHORT_LIMIT_MS + MARGIN_MS + 1_500).await;
        fleet.end_daemons().await;
        fleet.start_daemons(&spawner).await;
        let runs = fleet.runs();
        let unknown = [Begun { attempt: "unknown".to_owned(), version: "v1".to_owned() }];
        let taken_up = fleet.take_up(&spawner, &unknown).await;
        assert_eq!(taken_up.turned_away(), 1, "{taken_up:?}");
        assert_eq!(fleet.runs(), runs);
    });
}

fn record_key_of(version: &str) -> String {
    let version = Some(SoftwareVersion::from(version));
    record_key(&ServiceVersion { service: Service::from("engines"), version })
}

#[test]
fn a_last_event_that_cannot_be_read_counts_as_one() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, alternating).await;
        let runs = fleet.runs();
        let mut call = take_up("id-1", Some("unknown"), LAST_EVENT);
        call.headers_mut().insert("last-event-id", "three".parse().expect("a value"));
        let answer = fleet.daemons[0].call(&spawner, call).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.runs(), runs);
    });
}

#[test]
fn a_stream_is_not_joined_when_its_route_no_longer_allows_to_take_it_up() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, alternating).await;
        let begun = fleet.begin(&spawner).await;
        fleet.env.publish(2, |configuration| {
            for route in configuration["routes"].as_array_mut().expect("routes") {
                if let Some(route) = route.as_object_mut() {
                    route.remove("resumable");
                }
            }
        });
        wait_for("the new configuration", async || {
            // A stream that breaks off is not continued any more, so its caller sees the break.
            let call = generation("/caption/x", "probe");
            fleet.engines.iter().for_each(|engine| {
                engine.update_behaviour(|behaviour| behaviour.breaks_after = Some(1));
            });
            let (_connection, response) = fleet.daemons[0].open(&spawner, call).await;
            event_ids(&support::read_what_arrives(response).await).len() == 1
        })
        .await;
        fleet.engines.iter().for_each(|engine| {
            engine.update_behaviour(|behaviour| behaviour.breaks_after = None);
        });
        let taken_up = fleet.take_up(&spawner, &begun).await;
        assert_eq!(taken_up.joined, 0, "{taken_up:?}");
    });
}
