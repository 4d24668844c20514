//! Tests that a daemon which was out of step with the others joins no streams of two software versions.

mod support;

use std::collections::BTreeSet;

use comfreymast_base::Clock;
use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_documents::event_versions;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::{Direction, Link, PeerNetwork, PeerPort};
use hyper::StatusCode;
use support::{Gateway, TestEnv, generation, run_test, take_up, wait_for};

const DAEMONS: usize = 3;
/// The daemon that is cut off.
const CUT: usize = 2;
const LAST_EVENT: u64 = 3;
/// How long a daemon is cut off, and watched.
const CUT_MS: u64 = 4_000;
const WATCHED_MS: u64 = 6_000;
const TAKE_UP_PAUSE_MS: u64 = 40;
const FAST_BYTES_PER_S: u64 = 100_000_000;
/// Short, so that daemons soon know all versions of the time in which a stream may be taken up.
const TIMEOUT_MS: u64 = 1_000;
const MARGIN_MS: u64 = 2_000;

/// What a daemon is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutFrom {
    /// The others.
    Peers,
    /// The store and the others.
    StoreAndPeers,
}

/// How a caller names the stream that it takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    /// The attempt that began it.
    Attempt,
    /// None.
    Nothing,
}

/// A store and engines of the first version; daemons with links of their own to the store and to each other.
struct Fleet {
    env: TestEnv,
    daemons: Vec<Gateway>,
    ports: Vec<PeerPort>,
    store_links: Vec<Link>,
    engines: Vec<PlatformUpstream>,
}

impl Fleet {
    async fn new(spawner: &Spawner) -> Self {
        let env = TestEnv::new(spawner).await;
        // Daemons learn of each other from their seeds only, so that all datagrams take the network.
        let forgotten_topic = "keyed.daemons".to_owned();
        env.set_faults(LogFaults { forgotten_topic, ..LogFaults::default() });
        env.publish(1, |configuration| {
            for route in configuration["routes"].as_array_mut().expect("routes") {
                route["timeoutMs"] = TIMEOUT_MS.into();
            }
        });
        let network = PeerNetwork::new(spawner, FAST_BYTES_PER_S);
        let mut fleet = Self {
            env,
            daemons: Vec::new(),
            ports: Vec::new(),
            store_links: Vec::new(),
            engines: Vec::new(),
        };
        fleet.add_engine("e0", "v1").await;
        fleet.add_engine("e1", "v1").await;
        for number in 0..DAEMONS {
            let link = Link::start(spawner, fleet.env.store_addr).await.expect("a port");
            let port = network.open_port().await.expect("a port");
            let seeds = fleet.ports.iter().map(|port| port.addr).collect();
            let (name, options) = (format!("d{number}"), GatewayOptions::default());
            let started = fleet.env.gateway_with_seeds("z1", &name, link.addr, options, seeds);
            let daemon = started.await;
            port.attach(daemon.addresses.peers);
            fleet.daemons.push(daemon);
            fleet.ports.push(port);
            fleet.store_links.push(link);
        }
        for daemon in &fleet.daemons {
            daemon.wait_ready(spawner).await;
        }
        sleep_ms(TIMEOUT_MS + MARGIN_MS).await;
        // An unknown stream goes on, as there was one version all the while.
        for daemon in 0..DAEMONS {
            wait_for("a stream that is taken up", async || {
                fleet.take_up(spawner, daemon, "first", Some("unknown")).await.is_some()
            })
            .await;
        }
        fleet
    }

    async fn add_engine(&mut self, name: &str, version: &str) {
        let spawner = &self.env.spawner;
        let engine = PlatformUpstream::start(spawner, name).await.expect("a port");
        engine.update_behaviour(|behaviour| {
            behaviour.version = version.to_owned();
            behaviour.event_ms = 5;
        });
        self.env.announce(&engine, "engines", "ready");
        self.engines.push(engine);
    }

    fn cut(&self, from: CutFrom) {
        self.ports[CUT].set_loses_datagrams(true);
        if from == CutFrom::StoreAndPeers {
            self.store_links[CUT].silence_all(Direction::ToTarget);
            self.store_links[CUT].silence_all(Direction::FromTarget);
        }
    }

    fn mend(&self) {
        self.ports[CUT].set_loses_datagrams(false);
        self.store_links[CUT].restore();
    }

    /// Begins streams at the first daemon until one runs at `version`. Returns its attempt.
    async fn begin_at(&self, spawner: &Spawner, version: &str) -> String {
        let mut number = 0;
        loop {
            number += 1;
            let attempt = format!("begun-{version}-{number}");
            let answer = self.daemons[0].call(spawner, generation("/caption/x", &attempt)).await;
            if event_versions(&answer.body) == BTreeSet::from([version.to_owned()]) {
                return attempt;
            }
        }
    }

    /// The versions that a daemon answers with when a stream is taken up there, if it does.
    async fn take_up(
        &self,
        spawner: &Spawner,
        daemon: usize,
        id: &str,
        attempt: Option<&str>,
    ) -> Option<BTreeSet<String>> {
        let answer = self.daemons[daemon].call(spawner, take_up(id, attempt, LAST_EVENT)).await;
        (answer.status == StatusCode::OK).then(|| event_versions(&answer.body))
    }
}

/// Streams that begin at a new version while a daemon is cut off are not joined there, while it is cut off and
/// after that.
async fn check_not_joined(spawner: &Spawner, from: CutFrom, naming: Naming) {
    let mut fleet = Fleet::new(spawner).await;
    fleet.cut(from);
    fleet.add_engine("e2", "v2").await;
    let attempt = fleet.begin_at(spawner, "v2").await;
    let named = (naming == Naming::Attempt).then_some(attempt.as_str());
    let clock = Clock::system();
    let mut number = 0;
    while clock.now_ms() < WATCHED_MS {
        if clock.now_ms() >= CUT_MS {
            fleet.mend();
        }
        number += 1;
        let versions = fleet.take_up(spawner, CUT, &format!("taken-{number}"), named).await;
        let joined = versions.iter().flatten().any(|version| version != "v2");
        assert!(!joined, "{from:?}, {naming:?}: joined after {} ms", clock.now_ms());
        sleep_ms(TAKE_UP_PAUSE_MS).await;
    }
    if naming == Naming::Attempt {
        wait_for("a stream that goes on", async || {
            fleet.take_up(spawner, CUT, "after", named).await == Some(BTreeSet::from(["v2".into()]))
        })
        .await;
    }
}

/// Guards against a stream that goes on at another version where the daemon has not seen its own (ORDER).
#[test]
fn a_daemon_that_is_cut_off_from_store_and_peers_joins_no_versions() {
    run_test(async |spawner| {
        check_not_joined(&spawner, CutFrom::StoreAndPeers, Naming::Attempt).await;
    });
}

/// Guards against the same for callers that name no attempt (ORDER).
#[test]
fn a_daemon_that_is_cut_off_from_store_and_peers_joins_no_unnamed_streams() {
    run_test(async |spawner| {
        check_not_joined(&spawner, CutFrom::StoreAndPeers, Naming::Nothing).await;
    });
}

/// Guards against the same where the store is there, but no peer that knows the stream (ORDER).
#[test]
fn a_daemon_that_is_cut_off_from_its_peers_joins_no_versions() {
    run_test(async |spawner| {
        check_not_joined(&spawner, CutFrom::Peers, Naming::Attempt).await;
    });
}
