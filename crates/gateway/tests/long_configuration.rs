//! Tests that a configuration too long for a datagram is in force at every daemon, however slow the links
//! between daemons are for it.

mod support;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_documents::RouteEntry;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::{PeerNetwork, PeerPort};
use hyper::StatusCode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{Gateway, TestEnv, call, run_test, wait_for};

/// More daemons than a full mesh has, so that few read the store.
const DAEMONS: usize = 26;
const MANY_ROUTES: u64 = 1_400;
/// A whole configuration of so many routes takes more than three seconds on such a link.
const BYTES_PER_S: u64 = 100_000;

/// Short, since a daemon that leaves reading to others first finishes its read in progress.
const STORE_WAIT_MS: u64 = 200;

/// Daemons of one data centre, whose links to each other are slow.
struct Fleet {
    env: TestEnv,
    network: PeerNetwork,
    ports: Vec<PeerPort>,
    gateways: Vec<Gateway>,
    _upstream: PlatformUpstream,
}

impl Fleet {
    async fn start(spawner: &Spawner) -> Self {
        let mut env = TestEnv::new(spawner).await;
        env.link_mbps = BYTES_PER_S as f64 * 8.0 / 1e6;
        // Daemons learn of each other from their seeds only, so that all traffic takes the slow links.
        let forgotten_topic = "keyed.daemons".to_owned();
        env.set_faults(LogFaults { forgotten_topic, ..LogFaults::default() });
        env.publish(1, |_| ());
        let upstream = env.upstream("u0", "plain").await;
        let network = PeerNetwork::new(spawner, BYTES_PER_S);
        let (mut ports, mut gateways) = (Vec::<PeerPort>::new(), Vec::new());
        for number in 0..DAEMONS {
            let seeds = ports.first().map(|port| port.addr).into_iter().collect();
            let (name, store) = (format!("d{number:02}"), env.store_addr);
            let options = GatewayOptions::default().store_wait_ms(STORE_WAIT_MS);
            let started = env.gateway_with_seeds("z1", &name, store, options, seeds);
            let gateway = started.await;
            let port = network.open_port().await.expect("a port");
            port.attach(gateway.addresses.peers);
            ports.push(port);
            gateways.push(gateway);
        }
        for gateway in &gateways {
            gateway.wait_ready(spawner).await;
        }
        Self { env, network, ports, gateways, _upstream: upstream }
    }

    /// Waits until one daemon reads the store for all.
    async fn wait_for_one_reader(&self) {
        /// Daemons read nothing while they get to know their peers.
        const KNOWN_MS: u64 = 1_500;
        const SPAN_MS: u64 = 1_600;
        // If all daemons read, they would make a multiple of this in the span.
        const FEW_READS: u64 = DAEMONS as u64;
        sleep_ms(KNOWN_MS).await;
        wait_for("one reader", async || {
            let before = self.env.store.stats().reads;
            sleep_ms(SPAN_MS).await;
            (1..FEW_READS).contains(&(self.env.store.stats().reads - before))
        })
        .await;
    }

    /// Publishes a long configuration with a route at `path`. Returns its length.
    fn publish_long(&self, version: u64, path: &str) -> u64 {
        let mut length_bytes = 0;
        self.env.publish(version, |configuration| {
            let routes = configuration["routes"].as_array_mut().expect("routes");
            let mut random = SmallRng::seed_from_u64(version);
            for _ in 0..MANY_ROUTES {
                let name = format!("{:016x}", random.random::<u64>());
                routes.push(plain_route(&name).document("h.example"));
            }
            routes.push(plain_route(path.trim_matches('/')).document("h.example"));
            length_bytes = configuration.to_string().len() as u64;
        });
        length_bytes
    }

    async fn wait_served(&self, path: &str) {
        for gateway in &self.gateways {
            wait_for("added route", async || {
                let answer = gateway.call(&self.env.spawner, call("GET", path, "id")).await;
                answer.status == StatusCode::OK
            })
            .await;
        }
    }
}

fn plain_route(name: &str) -> RouteEntry<'_> {
    RouteEntry { name, kind: "safe", max_attempts: 2, ..RouteEntry::default() }
}

/// Incident 018.
#[test]
fn a_long_configuration_reaches_all_daemons_over_slow_links() {
    run_test(async |spawner| {
        let fleet = Fleet::start(&spawner).await;
        fleet.wait_for_one_reader().await;
        let before_bytes = fleet.network.sent_bytes();
        let length_bytes = fleet.publish_long(2, "/added/");
        fleet.wait_served("/added/").await;
        let sent_bytes = fleet.network.sent_bytes() - before_bytes;
        // Each daemon gets it once, and a fifth of them once more.
        let allowed_bytes = length_bytes * DAEMONS as u64 * 6 / 5;
        assert!(sent_bytes <= allowed_bytes, "{sent_bytes} bytes sent, {allowed_bytes} allowed");
    });
}

/// Incident 018: what is under way when the next version comes must not hold it up.
#[test]
fn the_last_of_many_long_configurations_reaches_all_daemons_over_slow_links() {
    const INTERVAL_MS: u64 = 100;
    const LAST_VERSION: u64 = 20;
    run_test(async |spawner| {
        let fleet = Fleet::start(&spawner).await;
        fleet.wait_for_one_reader().await;
        for version in 2..=LAST_VERSION {
            fleet.publish_long(version, &format!("/added{version}/"));
            sleep_ms(INTERVAL_MS).await;
        }
        fleet.wait_served(&format!("/added{LAST_VERSION}/")).await;
    });
}

/// Incident 018: the first daemons that have it fall silent in the middle of handing it on.
#[test]
fn a_long_configuration_reaches_all_daemons_although_some_fall_silent_in_the_middle() {
    const SILENT: usize = 6;
    const BEGIN_MS: u64 = 500;
    run_test(async |spawner| {
        let mut fleet = Fleet::start(&spawner).await;
        fleet.wait_for_one_reader().await;
        fleet.publish_long(2, "/added/");
        sleep_ms(BEGIN_MS).await;
        for port in &fleet.ports[1..=SILENT] {
            port.set_silent(true);
        }
        // They learn of it by themselves, as others can send to them.
        fleet.wait_served("/added/").await;
        fleet.gateways.clear();
    });
}
