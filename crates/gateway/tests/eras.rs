//! Tests that a store which comes back from an older copy loses nothing that daemons have in force,
//! and that what is written afterwards reaches all of them.

mod support;

use std::net::SocketAddr;

use comfreymast_base::hex;
use comfreymast_fakes::log_service::{LogFaults, StoreCopy};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_platform::{NewestRecords, StoreClient, Topic};
use comfreymast_wire::news::Suspect;
use hyper::StatusCode;
use prost::Message;
use support::{Gateway, TestEnv, call, run_test, wait_for};

const AWAY_MS: u64 = 300;
/// How long operators and upstreams take to write again.
const REWRITE_MS: u64 = 400;
const QUARANTINES_TOPIC: &str = "keyed.quarantines";
const UPSTREAMS_TOPIC: &str = "keyed.servers";

/// A store, one plain upstream and daemons that follow them.
struct Fleet {
    env: TestEnv,
    gateways: Vec<Gateway>,
    upstream: PlatformUpstream,
}

async fn fleet(spawner: &Spawner, daemons: usize) -> Fleet {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |_| ());
    let upstream = env.upstream("u0", "plain").await;
    let mut gateways = Vec::new();
    for number in 0..daemons {
        gateways.push(env.gateway(&format!("d{number}")).await);
    }
    for gateway in &gateways {
        gateway.wait_ready(spawner).await;
        wait_status(&env, gateway, "/safe/x", StatusCode::OK).await;
    }
    Fleet { env, gateways, upstream }
}

async fn status(env: &TestEnv, gateway: &Gateway, path: &str) -> StatusCode {
    gateway.call(&env.spawner, call("GET", path, "id")).await.status
}

async fn wait_status(env: &TestEnv, gateway: &Gateway, path: &str, expected: StatusCode) {
    wait_for(path, async || status(env, gateway, path).await == expected).await;
}

impl Fleet {
    async fn wait_status(&self, path: &str, expected: StatusCode) {
        for gateway in &self.gateways {
            wait_status(&self.env, gateway, path, expected).await;
        }
    }

    /// Asserts that each daemon serves `path` for a while.
    async fn assert_served(&self, path: &str) {
        const ROUNDS: u64 = 8;
        for _ in 0..ROUNDS {
            for gateway in &self.gateways {
                assert_eq!(status(&self.env, gateway, path).await, StatusCode::OK, "{path}");
            }
            sleep_ms(REWRITE_MS / ROUNDS).await;
        }
    }

    /// The store is away for a moment and comes back from `copy`.
    async fn return_from(&self, copy: &StoreCopy) {
        self.env.set_faults(LogFaults { down: true, ..LogFaults::default() });
        sleep_ms(AWAY_MS).await;
        self.env.store.restore(copy);
        self.env.set_faults(LogFaults::default());
    }
}

#[test]
fn what_is_written_after_a_return_reaches_all_daemons_twice_in_a_row() {
    run_test(async |spawner| {
        let fleet = fleet(&spawner, 5).await;
        let env = &fleet.env;
        let copy = env.store.copy();
        for version in 2..8 {
            env.publish_with_route("/lost/", version);
        }
        fleet.wait_status("/lost/", StatusCode::OK).await;
        for (round, path) in [(0, "/first/"), (1, "/second/")] {
            fleet.return_from(&copy).await;
            sleep_ms(REWRITE_MS).await;
            env.publish_with_route(path, 10 + round);
            env.announce(&fleet.upstream, "plain", "ready");
            fleet.wait_status(path, StatusCode::OK).await;
            // An upstream that the copy does not have, in a topic that stays shorter than before.
            let added = env.upstream(&format!("added{round}"), "plain").await;
            for gateway in &fleet.gateways {
                wait_for("use of the upstream", async || {
                    status(env, gateway, "/safe/x").await;
                    !added.runs().is_empty()
                })
                .await;
            }
        }
    });
}

#[test]
fn nothing_is_refused_between_a_return_and_what_is_written_again() {
    run_test(async |spawner| {
        let fleet = fleet(&spawner, 3).await;
        let env = &fleet.env;
        let copy = env.store.copy();
        env.publish_with_route("/late/", 2);
        let late = env.upstream("late", "plain").await;
        fleet.wait_status("/late/", StatusCode::OK).await;
        wait_for("use of the upstream", async || {
            status(env, &fleet.gateways[0], "/late/").await;
            !late.runs().is_empty()
        })
        .await;
        env.announce(&fleet.upstream, "plain", "draining");
        wait_for("leaving upstream", async || {
            let before = fleet.upstream.runs().len();
            fleet.assert_served("/late/").await;
            fleet.upstream.runs().len() == before
        })
        .await;
        let before = fleet.upstream.runs().len();
        fleet.return_from(&copy).await;
        // The copy has neither the route nor the upstream, and says that the other one is ready.
        fleet.assert_served("/late/").await;
        assert_eq!(fleet.upstream.runs().len(), before, "a leaving upstream got a request");
    });
}

#[test]
fn an_upstream_that_is_not_written_again_is_gone_after_a_while() {
    run_test(async |spawner| {
        let fleet = fleet(&spawner, 2).await;
        let env = &fleet.env;
        env.write(UPSTREAMS_TOPIC, "u0", b"");
        fleet.wait_status("/safe/x", StatusCode::SERVICE_UNAVAILABLE).await;
        let copy = env.store.copy();
        let _late = env.upstream("late", "plain").await;
        fleet.wait_status("/safe/x", StatusCode::OK).await;
        fleet.return_from(&copy).await;
        fleet.assert_served("/safe/x").await;
        fleet.wait_status("/safe/x", StatusCode::SERVICE_UNAVAILABLE).await;
    });
}

#[test]
fn an_upstream_that_was_removed_does_not_come_back_with_the_copy() {
    run_test(async |spawner| {
        let fleet = fleet(&spawner, 2).await;
        let env = &fleet.env;
        let other = env.upstream("other", "plain").await;
        wait_for("use of the upstream", async || {
            fleet.assert_served("/safe/x").await;
            !other.runs().is_empty()
        })
        .await;
        let copy = env.store.copy();
        env.write(UPSTREAMS_TOPIC, "u0", b"");
        wait_for("removal", async || {
            let before = fleet.upstream.runs().len();
            fleet.assert_served("/safe/x").await;
            fleet.upstream.runs().len() == before
        })
        .await;
        let before = fleet.upstream.runs().len();
        fleet.return_from(&copy).await;
        env.announce(&other, "plain", "ready");
        fleet.assert_served("/safe/x").await;
        env.publish_with_route("/added/", 2);
        fleet.wait_status("/added/", StatusCode::OK).await;
        fleet.assert_served("/safe/x").await;
        assert_eq!(fleet.upstream.runs().len(), before, "a removed upstream got a request");
    });
}

#[test]
fn a_daemon_that_cannot_reach_the_store_follows_its_peers_into_the_next_era() {
    run_test(async |spawner| {
        let mut fleet = fleet(&spawner, 1).await;
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let options = GatewayOptions::default();
        let seeds = [&fleet.gateways[0]];
        let second = fleet.env.gateway_at("d9", unreachable, options, &seeds).await;
        second.wait_ready(&spawner).await;
        fleet.gateways.push(second);
        let copy = fleet.env.store.copy();
        for version in 2..8 {
            fleet.env.publish_with_route("/lost/", version);
        }
        fleet.wait_status("/lost/", StatusCode::OK).await;
        fleet.return_from(&copy).await;
        fleet.assert_served("/lost/").await;
        fleet.env.publish_with_route("/added/", 10);
        fleet.wait_status("/added/", StatusCode::OK).await;
    });
}

#[test]
fn quarantines_that_the_store_lost_are_written_again_once_and_lifted_ones_deleted_again() {
    run_test(async |spawner| {
        let fleet = fleet(&spawner, 3).await;
        let env = &fleet.env;
        let now_unix_ms = comfreymast_base::Clock::system().unix_ms();
        let quarantine = Suspect {
            deaths: vec!["u9@127.0.0.1:1#1".to_owned()],
            is_quarantined: true,
            daemon: "d9".to_owned(),
            written_unix_ms: now_unix_ms,
            members: Vec::new(),
        };
        let (lost, lifted) = (hex::encode(&[1; 32]), hex::encode(&[2; 32]));
        env.write(QUARANTINES_TOPIC, &lifted, &quarantine.encode_to_vec());
        let copy = env.store.copy();
        env.write(QUARANTINES_TOPIC, &lifted, b"");
        env.write(QUARANTINES_TOPIC, &lost, &quarantine.encode_to_vec());
        sleep_ms(4 * REWRITE_MS).await;
        fleet.return_from(&copy).await;
        wait_for("the quarantines", async || keys(env, Topic::Quarantines).await == [lost.clone()])
            .await;
        // The other daemons see it and do not write it too.
        let end = newest(env, Topic::Quarantines).await.end;
        sleep_ms(4 * REWRITE_MS).await;
        assert_eq!(newest(env, Topic::Quarantines).await.end, end);
    });
}

async fn newest(env: &TestEnv, topic: Topic) -> NewestRecords {
    let mut store = StoreClient::new(env.spawner.clone(), env.store_addr);
    store.newest(topic).await.expect("an answer")
}

async fn keys(env: &TestEnv, topic: Topic) -> Vec<String> {
    let newest = newest(env, topic).await;
    newest.records.into_iter().map(|record| record.key).collect()
}

#[test]
fn a_daemon_announces_itself_again_when_the_store_has_lost_it() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let copy = env.store.copy();
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        let is_announced = async || keys(&env, Topic::Daemons).await == ["d0"];
        wait_for("an announcement", is_announced).await;
        env.store.restore(&copy);
        assert!(!is_announced().await);
        wait_for("another announcement", is_announced).await;
    });
}

#[test]
fn a_daemon_that_starts_after_a_return_learns_from_peers_what_the_store_lost() {
    run_test(async |spawner| {
        let mut fleet = fleet(&spawner, 1).await;
        let copy = fleet.env.store.copy();
        fleet.env.publish_with_route("/late/", 2);
        fleet.wait_status("/late/", StatusCode::OK).await;
        fleet.env.store.restore(&copy);
        // Upstreams register again, operators have not written yet.
        fleet.env.announce(&fleet.upstream, "plain", "ready");
        let started = fleet.env.gateway("d1").await;
        started.wait_ready(&spawner).await;
        fleet.gateways.push(started);
        fleet.wait_status("/late/", StatusCode::OK).await;
        // What is written again in an older version does not take it back.
        fleet.env.publish(1, |_| ());
        fleet.assert_served("/late/").await;
    });
}

#[test]
fn a_store_in_an_earlier_era_is_not_asked_again_and_again() {
    run_test(async |spawner| {
        const SPAN_MS: u64 = 1_000;
        // Three topics, each read and reloaded with a pause of up to 0.8 s.
        const FEW_READS: u64 = 60;
        let fleet = fleet(&spawner, 1).await;
        fleet.env.store.set_era(2);
        fleet.env.publish_with_route("/added/", 2);
        fleet.wait_status("/added/", StatusCode::OK).await;
        fleet.env.store.set_era(1);
        fleet.env.publish_with_route("/earlier/", 3);
        sleep_ms(SPAN_MS).await;
        let before = fleet.env.store.stats().reads;
        sleep_ms(SPAN_MS).await;
        let reads = fleet.env.store.stats().reads - before;
        assert!(reads < FEW_READS, "{reads} reads");
        fleet.assert_served("/added/").await;
    });
}
