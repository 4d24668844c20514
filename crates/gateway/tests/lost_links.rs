//! Tests that callers of daemons which have lost their links to all upstreams are served, while other
//! daemons reach these.

mod support;

use comfreymast_base::Clock;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Body, Spawner, sleep_ms};
use comfreymast_proof::{Direction, Link};
use hyper::{Request, StatusCode};
use support::{Gateway, TestEnv, call, event_ids, generation, run_test, wait_for};

const DAEMONS: usize = 4;
const MANY_DAEMONS: usize = 9;
const PLAIN: usize = 4;
const ENGINES: usize = 5;
/// The platform's rule holds from this long after a cut began.
const CONTACT_MS: u64 = 3_000;
/// The platform's rule: callers' first tries at the cut daemons are served this often at least, measured
/// by those at the others.
const SERVED_SHARE: f64 = 2.0 / 3.0;
const COUNTED_CALLS: usize = 30;
const CALL_PAUSE_MS: u64 = 40;
const EVENTS: u64 = 20;
const FORWARDED: &str = "comfreymast_gateway_forwards_total{outcome=\"answered\"}";
const ENDS: &str = "comfreymast_gateway_upstream_ends_total";
/// How long callers wait.
const CALL_LIMIT_MS: u64 = 3_500;

/// What a cut does to the links of a daemon.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// All connections go silent; new ones are accepted and stay silent.
    Silent,
    /// All connections are closed and new ones refused.
    Closed,
    /// New connections are refused; those that are open go on.
    PortClosed,
}

/// Daemons with links of their own to the same upstreams.
struct Fleet {
    gateways: Vec<Gateway>,
    /// The links of each daemon.
    links: Vec<Vec<Link>>,
    upstreams: Vec<PlatformUpstream>,
    _envs: Vec<TestEnv>,
}

impl Fleet {
    /// Each daemon has a store of its own, which announces its own links as the upstreams' addresses.
    async fn new(spawner: &Spawner, daemons: usize) -> Self {
        let mut upstreams = Vec::new();
        for (service, count) in [("plain", PLAIN), ("engines", ENGINES)] {
            for number in 0..count {
                let name = format!("{service}-{number}");
                upstreams.push(PlatformUpstream::start(spawner, &name).await.expect("a port"));
            }
        }
        let (mut envs, mut links) = (Vec::new(), Vec::new());
        for _ in 0..daemons {
            let env = TestEnv::new(spawner).await;
            env.publish(1, |_| ());
            let mut own = Vec::new();
            for upstream in &upstreams {
                let link = Link::start(spawner, upstream.addr).await.expect("a port");
                let (service, _) = upstream.name.split_once('-').expect("a service");
                env.announce_at(&upstream.name, link.addr, service, "ready");
                own.push(link);
            }
            envs.push(env);
            links.push(own);
        }
        let mut gateways: Vec<Gateway> = Vec::new();
        for (number, env) in envs.iter().enumerate() {
            let seeds: Vec<_> = gateways.iter().collect();
            let options = GatewayOptions::default();
            let name = format!("d{number}");
            gateways.push(env.gateway_at(&name, env.store_addr, options, &seeds).await);
        }
        for gateway in &gateways {
            gateway.wait_ready(spawner).await;
        }
        let fleet = Self { gateways, links, upstreams, _envs: envs };
        fleet.wait_peers(spawner).await;
        fleet
    }

    /// Waits until each daemon has heard all others.
    async fn wait_peers(&self, spawner: &Spawner) {
        const HEARTBEATS_MS: u64 = 600;
        for gateway in &self.gateways {
            let served = gateway.call(spawner, call("POST", "/safe/x", "first")).await;
            assert_eq!(served.status, StatusCode::OK);
        }
        sleep_ms(HEARTBEATS_MS).await;
    }

    fn cut(&self, daemon: usize, cut: Cut) {
        self.cut_links(&self.links[daemon], cut);
    }

    /// Leaves the links to the first upstream of each service.
    fn cut_most(&self, daemon: usize, cut: Cut) {
        self.cut_links(&self.links[daemon][1..PLAIN], cut);
        self.cut_links(&self.links[daemon][PLAIN + 1..], cut);
    }

    fn cut_links(&self, links: &[Link], cut: Cut) {
        for link in links {
            match cut {
                Cut::Silent => {
                    link.silence_all(Direction::ToTarget);
                    link.silence_all(Direction::FromTarget);
                }
                Cut::Closed => link.close(),
                Cut::PortClosed => link.close_port(),
            }
        }
    }

    fn mend(&self, daemon: usize) {
        for link in &self.links[daemon] {
            link.reopen();
            link.restore();
        }
    }

    /// The share of `count` calls that the daemon serves whole and in time.
    async fn served_share(
        &self,
        spawner: &Spawner,
        daemon: usize,
        count: usize,
        request: impl Fn(&str) -> Request<Body>,
    ) -> f64 {
        let addr = self.gateways[daemon].addresses.callers;
        let (done, outcomes) = async_channel::unbounded();
        for number in 0..count {
            let request = request(&format!("d{daemon}-{number}"));
            let (inner, done) = (spawner.clone(), done.clone());
            spawner.detach(async move {
                let answer =
                    comfreymast_net::call(&inner, addr, request, CALL_LIMIT_MS, 1 << 20).await;
                let is_served = answer.is_ok_and(|answer| {
                    let is_whole = event_ids(answer.body()).len() as u64 == EVENTS
                        || answer.body().starts_with(b"answer of");
                    answer.status() == StatusCode::OK && is_whole
                });
                done.send(is_served).await.expect("somebody who counts");
            });
            sleep_ms(CALL_PAUSE_MS).await;
        }
        let mut served = 0;
        for _ in 0..count {
            served += usize::from(outcomes.recv().await.expect("an outcome"));
        }
        served as f64 / count as f64
    }

    /// The value of a counter of a daemon; 0 while it is not listed.
    async fn metric(&self, spawner: &Spawner, daemon: usize, name: &str) -> u64 {
        let addr = self.gateways[daemon].addresses.peers;
        let request = comfreymast_net::request(addr, "GET", "/metrics", comfreymast_net::empty());
        let answer = comfreymast_net::call(spawner, addr, request, CALL_LIMIT_MS, 1 << 20).await;
        let text = String::from_utf8(answer.expect("metrics").into_body().to_vec()).expect("text");
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().expect("a number"))
    }

    /// Lets callers keep on calling a daemon for `for_ms`, whatever they get.
    fn call_for(
        &self,
        spawner: &Spawner,
        daemon: usize,
        for_ms: u64,
        request: impl Fn(&str) -> Request<Body> + Send + 'static,
    ) {
        let addr = self.gateways[daemon].addresses.callers;
        let inner = spawner.clone();
        spawner.detach(async move {
            let clock = Clock::system();
            let mut number = 0;
            while clock.now_ms() < for_ms {
                number += 1;
                let request = request(&format!("before-{number}"));
                let spawner = inner.clone();
                inner.detach(async move {
                    // What happens before the rule holds is not counted.
                    let _ = comfreymast_net::call(&spawner, addr, request, CALL_LIMIT_MS, 1 << 20)
                        .await;
                });
                sleep_ms(2 * CALL_PAUSE_MS).await;
            }
        });
    }
}

/// Cuts the first `cut_count` daemons and checks that their callers are served like those of the last.
async fn check_served(
    spawner: &Spawner,
    cut: Cut,
    cut_count: usize,
    request: impl Fn(&str) -> Request<Body> + Clone + Send + 'static,
) {
    let cut = |fleet: &Fleet, daemon| fleet.cut(daemon, cut);
    let fleet = Fleet::new(spawner, DAEMONS).await;
    check_served_after(spawner, &fleet, cut, cut_count, request).await;
}

async fn check_served_after(
    spawner: &Spawner,
    fleet: &Fleet,
    cut: impl Fn(&Fleet, usize),
    cut_count: usize,
    request: impl Fn(&str) -> Request<Body> + Clone + Send + 'static,
) {
    let daemons = fleet.gateways.len();
    for daemon in 0..daemons {
        fleet.served_share(spawner, daemon, 4, &request).await;
    }
    for daemon in 0..cut_count {
        cut(fleet, daemon);
        fleet.call_for(spawner, daemon, CONTACT_MS, request.clone());
    }
    sleep_ms(CONTACT_MS).await;
    let elsewhere = fleet.served_share(spawner, daemons - 1, COUNTED_CALLS, &request).await;
    for daemon in 0..cut_count {
        let served = fleet.served_share(spawner, daemon, COUNTED_CALLS, &request).await;
        assert!(served >= SERVED_SHARE * elsewhere, "{served} of {elsewhere}");
    }
    fleet.mend(0);
    wait_for("a call that is not forwarded", async || {
        let before = fleet.metric(spawner, 0, FORWARDED).await;
        let answer = fleet.gateways[0].call(spawner, request("after")).await;
        answer.status == StatusCode::OK && fleet.metric(spawner, 0, FORWARDED).await == before
    })
    .await;
}

#[test]
fn plain_requests_at_daemons_whose_links_go_silent_are_served() {
    run_test(async |spawner| {
        check_served(&spawner, Cut::Silent, 2, |id| call("POST", "/safe/x", id)).await;
    });
}

#[test]
fn plain_requests_at_daemons_whose_links_are_closed_are_served() {
    run_test(async |spawner| {
        check_served(&spawner, Cut::Closed, 2, |id| call("POST", "/safe/x", id)).await;
    });
}

#[test]
fn requests_that_may_run_once_are_served_at_all_daemons_but_one_without_links() {
    run_test(async |spawner| {
        check_served(&spawner, Cut::Closed, DAEMONS - 1, |id| call("POST", "/plain/x", id)).await;
    });
}

#[test]
fn streams_at_daemons_whose_links_go_silent_are_served() {
    run_test(async |spawner| {
        check_served(&spawner, Cut::Silent, 2, |id| generation("/caption/x", id)).await;
    });
}

#[test]
fn streams_at_daemons_whose_new_connections_are_refused_are_served() {
    run_test(async |spawner| {
        check_served(&spawner, Cut::PortClosed, 2, |id| generation("/report/x", id)).await;
    });
}

/// Cuts the links of all daemons but one, each with equal requests under way, and checks that these are
/// held against nobody.
async fn check_nobody_is_accused(spawner: &Spawner, cut: impl Fn(&Fleet, usize)) {
    const UNDER_WAY: usize = 3;
    const ANSWER_MS: u64 = 500;
    let fleet = Fleet::new(spawner, DAEMONS).await;
    for upstream in &fleet.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.answer_ms = ANSWER_MS);
    }
    let poll = |id: &str| call("POST", "/safe/poll", id);
    for daemon in 0..DAEMONS - 1 {
        let addr = fleet.gateways[daemon].addresses.callers;
        for number in 0..UNDER_WAY {
            let (inner, request) = (spawner.clone(), poll(&format!("{daemon}-{number}")));
            spawner.detach(async move {
                // Its answer is not what this is about.
                let _ = comfreymast_net::call(&inner, addr, request, CALL_LIMIT_MS, 1 << 20).await;
            });
        }
    }
    sleep_ms(ANSWER_MS / 2).await;
    for daemon in 0..DAEMONS - 1 {
        cut(&fleet, daemon);
    }
    for daemon in 0..DAEMONS {
        let served = fleet.served_share(spawner, daemon, 10, poll).await;
        assert!(served == 1.0, "{served} of daemon {daemon}");
    }
    for daemon in 0..DAEMONS {
        assert_eq!(fleet.metric(spawner, daemon, ENDS).await, 0, "ends seen by {daemon}");
    }
}

#[test]
fn equal_requests_under_way_at_daemons_without_links_accuse_nobody() {
    run_test(async |spawner| {
        check_nobody_is_accused(&spawner, |fleet, daemon| fleet.cut(daemon, Cut::Closed)).await;
    });
}

#[test]
fn equal_requests_under_way_at_daemons_with_one_link_left_accuse_nobody() {
    run_test(async |spawner| {
        check_nobody_is_accused(&spawner, |fleet, daemon| fleet.cut_most(daemon, Cut::Closed))
            .await;
    });
}

#[test]
fn streams_at_daemons_with_one_link_left_are_served() {
    run_test(async |spawner| {
        let cut = |fleet: &Fleet, daemon| fleet.cut_most(daemon, Cut::Silent);
        let fleet = Fleet::new(&spawner, DAEMONS).await;
        check_served_after(&spawner, &fleet, cut, 2, |id| generation("/caption/x", id)).await;
    });
}

#[test]
fn requests_at_eight_of_nine_daemons_without_links_are_served() {
    run_test(async |spawner| {
        let cut = |fleet: &Fleet, daemon| fleet.cut(daemon, Cut::Silent);
        let fleet = Fleet::new(&spawner, MANY_DAEMONS).await;
        let request = |id: &str| call("POST", "/safe/x", id);
        check_served_after(&spawner, &fleet, cut, MANY_DAEMONS - 1, request).await;
    });
}

/// A sound upstream may be silent for a second; nothing may be lost for it, nor anybody condemned.
#[test]
fn upstreams_that_fall_silent_for_a_second_lose_nothing() {
    const SILENT_MS: u64 = 1_000;
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, DAEMONS).await;
        let (inner, links) = (spawner.clone(), fleet.links.clone());
        spawner.detach(async move {
            for round in 0..PLAIN {
                for own in &links {
                    // A third of the upstreams at a time.
                    let silent: Vec<_> = own.iter().skip(round).step_by(3).cloned().collect();
                    silent.iter().for_each(|link| link.delay(SILENT_MS));
                    inner.detach(async move {
                        sleep_ms(SILENT_MS).await;
                        silent.iter().for_each(|link| link.delay(0));
                    });
                }
                sleep_ms(SILENT_MS + SILENT_MS / 5).await;
            }
        });
        for (path, is_stream) in [("/safe/x", false), ("/plain/x", false), ("/report/x", true)] {
            for daemon in 0..DAEMONS {
                let request = |id: &str| {
                    if is_stream { generation(path, id) } else { call("POST", path, id) }
                };
                let served = fleet.served_share(&spawner, daemon, 10, request).await;
                assert!(served == 1.0, "{served} of {path} at daemon {daemon}");
            }
        }
        for daemon in 0..DAEMONS {
            assert_eq!(fleet.metric(&spawner, daemon, ENDS).await, 0, "ends seen by {daemon}");
        }
    });
}

/// Streams that run at daemons when these lose their links reach their callers whole.
async fn check_streams_go_on(spawner: &Spawner, cut: Cut) {
    const EVENT_MS: u64 = 100;
    const STREAMS: usize = 4;
    let fleet = Fleet::new(spawner, DAEMONS).await;
    for upstream in &fleet.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.event_ms = EVENT_MS);
    }
    let (done, outcomes) = async_channel::unbounded();
    for daemon in 0..2 {
        for number in 0..STREAMS {
            let addr = fleet.gateways[daemon].addresses.callers;
            let request = generation("/caption/x", &format!("{daemon}-{number}"));
            let (inner, done) = (spawner.clone(), done.clone());
            spawner.detach(async move {
                const LIMIT_MS: u64 = 10_000;
                let answer = comfreymast_net::call(&inner, addr, request, LIMIT_MS, 1 << 20).await;
                let events = answer.map(|answer| event_ids(answer.body())).unwrap_or_default();
                done.send(events).await.expect("somebody who counts");
            });
        }
    }
    sleep_ms(EVENTS * EVENT_MS / 4).await;
    fleet.cut(0, cut);
    fleet.cut(1, cut);
    for _ in 0..2 * STREAMS {
        let events = outcomes.recv().await.expect("an outcome");
        assert_eq!(events, (1..=EVENTS).collect::<Vec<_>>(), "{cut:?}");
    }
}

#[test]
fn streams_under_way_when_links_are_closed_go_on_over_a_peer() {
    run_test(async |spawner| check_streams_go_on(&spawner, Cut::Closed).await);
}

#[test]
fn streams_under_way_when_links_go_silent_go_on_over_a_peer() {
    run_test(async |spawner| check_streams_go_on(&spawner, Cut::Silent).await);
}
