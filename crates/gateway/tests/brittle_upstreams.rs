//! Tests that upstreams which say that they are brittle do not fall over for what they turn away.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreymast_base::Clock;
use comfreymast_fakes::platform_upstream::{Brittleness, PlatformUpstream};
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Body, Spawner, sleep_ms};
use hyper::{Request, StatusCode};
use support::{Gateway, TestEnv, call, generation, run_test};

const DAEMONS: usize = 3;
const UPSTREAMS: usize = 4;
const SLOTS: usize = 8;
const ANSWER_MS: u64 = 200;
/// The platform's rule holds from this long after upstreams said so.
const CONTACT_MS: u64 = 3_000;
/// The platform's rule: so many falls in one time of brittleness, and so many for each upstream.
const ALLOWED_FALLS: f64 = 2.0;
const ALLOWED_FALLS_EACH: f64 = 0.1;
/// How much more callers ask for than the upstreams can do.
const OVERLOAD: f64 = 1.4;
const DURATION_MS: u64 = 9_000;
const CALLERS: usize = 60;

/// What callers ask for.
#[derive(Clone, Copy)]
enum Work {
    Plain,
    /// Streams that last as long as plain answers.
    Streams,
}

impl Work {
    fn service(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Streams => "engines",
        }
    }

    fn request(self, id: &str) -> Request<Body> {
        match self {
            Self::Plain => call("POST", "/plain/x", id),
            Self::Streams => generation("/caption/x", id),
        }
    }
}

struct Fleet {
    work: Work,
    upstreams: Vec<PlatformUpstream>,
    gateways: Vec<Gateway>,
    _env: TestEnv,
}

impl Fleet {
    async fn new(spawner: &Spawner, work: Work) -> Self {
        let env = TestEnv::new(spawner).await;
        env.publish(1, |_| ());
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let upstream = env.upstream(&format!("u{number}"), work.service()).await;
            upstream.update_behaviour(|behaviour| {
                behaviour.answer_ms = ANSWER_MS;
                behaviour.event_ms = ANSWER_MS / behaviour.events;
            });
            upstreams.push(upstream);
        }
        let mut gateways: Vec<Gateway> = Vec::new();
        for number in 0..DAEMONS {
            let seeds: Vec<_> = gateways.iter().collect();
            let options = GatewayOptions::default();
            let name = format!("d{number}");
            gateways.push(env.gateway_at(&name, env.store_addr, options, &seeds).await);
        }
        for gateway in &gateways {
            gateway.wait_ready(spawner).await;
        }
        Self { work, upstreams, gateways, _env: env }
    }

    fn set_brittle(&self, slots: usize, max_refusals_per_s: usize) {
        const DOWN_MS: u64 = 3_000;
        let brittleness = Brittleness { slots, max_refusals_per_s, down_ms: DOWN_MS };
        for upstream in &self.upstreams {
            upstream.update_behaviour(|behaviour| behaviour.brittleness = Some(brittleness));
        }
    }

    /// Lets callers ask for more than the upstreams can do; returns how many were served.
    async fn overload(&self, spawner: &Spawner) -> usize {
        const LIMIT_MS: u64 = 2_000;
        let capacity_per_s = (UPSTREAMS * SLOTS) as f64 * 1_000.0 / ANSWER_MS as f64;
        let interval_ms = (CALLERS as f64 * 1_000.0 / (capacity_per_s * OVERLOAD)) as u64;
        let served = Arc::new(AtomicUsize::new(0));
        let (done, ended) = async_channel::bounded::<()>(1);
        for caller in 0..CALLERS {
            let addr = self.gateways[caller % DAEMONS].addresses.callers;
            let (inner, served, done) = (spawner.clone(), served.clone(), done.clone());
            let work = self.work;
            spawner.detach(async move {
                let clock = Clock::system();
                let started_ms = clock.now_ms();
                // Callers do not begin all at once.
                sleep_ms(interval_ms * caller as u64 / CALLERS as u64).await;
                let mut number = 0;
                while clock.now_ms() - started_ms < DURATION_MS {
                    let next_ms = clock.now_ms() + interval_ms;
                    number += 1;
                    let request = work.request(&format!("c{caller}-{number}"));
                    let answer =
                        comfreymast_net::call(&inner, addr, request, LIMIT_MS, 1 << 20).await;
                    if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                        served.fetch_add(1, Ordering::AcqRel);
                    }
                    sleep_ms(next_ms.saturating_sub(clock.now_ms())).await;
                }
                drop(done);
            });
        }
        drop(done);
        ended.recv().await.expect_err("a channel that is closed at the end");
        served.load(Ordering::Acquire)
    }

    /// The falls from when the rule holds.
    fn falls(&self, brittle_unix_ms: u64) -> usize {
        let falls = self.upstreams.iter().flat_map(PlatformUpstream::falls_unix_ms);
        falls.filter(|at| *at >= brittle_unix_ms + CONTACT_MS).count()
    }
}

fn check_falls(work: Work, max_refusals_per_s: usize) {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, work).await;
        // At first they say that they are brittle, and let enough wait.
        fleet.set_brittle(usize::MAX, max_refusals_per_s);
        let brittle_unix_ms = Clock::system().unix_ms();
        let upstreams = fleet.upstreams.clone();
        spawner.detach(async move {
            sleep_ms(CONTACT_MS).await;
            for upstream in &upstreams {
                upstream.update_behaviour(|behaviour| {
                    if let Some(brittleness) = &mut behaviour.brittleness {
                        brittleness.slots = SLOTS;
                    }
                });
            }
        });
        let served = fleet.overload(&spawner).await;
        let falls = fleet.falls(brittle_unix_ms);
        let allowed = ALLOWED_FALLS + ALLOWED_FALLS_EACH * UPSTREAMS as f64;
        println!("{falls} falls, {served} served");
        assert!(falls as f64 <= allowed, "{falls} falls, {served} served");
    });
}

#[test]
fn upstreams_that_bear_few_refusals_do_not_fall_over_at_overload() {
    check_falls(Work::Plain, 5);
}

#[test]
fn upstreams_that_bear_two_refusals_do_not_fall_over_at_overload() {
    check_falls(Work::Plain, 2);
}

#[test]
fn engines_that_bear_few_refusals_do_not_fall_over_at_overload() {
    check_falls(Work::Streams, 5);
}

#[test]
fn engines_that_bear_two_refusals_do_not_fall_over_at_overload() {
    check_falls(Work::Streams, 2);
}
