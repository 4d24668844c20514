//! Tests that upstreams which say by header that they leave, or when to come back, are left alone.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_upstream::{PlatformUpstream, UpstreamBehaviour};
use comfreymast_net::{Spawner, sleep_ms};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, event_ids, generation, run_test, wait_for};

/// What may still be under way to an upstream when its answer arrives, by the platform's rule.
const TOLERATED_ARRIVALS: usize = 2;
const CALLS: usize = 120;
/// Streams that begin after an engine has said that it leaves.
const LATER_STREAMS: usize = 3;

/// Upstreams of both services, and a daemon.
struct Fleet {
    env: TestEnv,
    plain: Vec<PlatformUpstream>,
    engines: Vec<PlatformUpstream>,
    gateway: Gateway,
}

impl Fleet {
    async fn new(spawner: &Spawner, count: usize) -> Self {
        let env = TestEnv::new(spawner).await;
        env.publish(1, |_| ());
        let (mut plain, mut engines) = (Vec::new(), Vec::new());
        for number in 0..count {
            plain.push(env.upstream(&format!("u{number}"), "plain").await);
            engines.push(env.upstream(&format!("e{number}"), "engines").await);
        }
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(spawner).await;
        Self { env, plain, engines, gateway }
    }

    /// Sends a plain request and a stream to the first upstreams, which are alone until then, and adds
    /// others once these have answered.
    async fn reach_first(&self, spawner: &Spawner, others: usize) {
        self.gateway.call(spawner, call("POST", "/safe/x", "first")).await;
        self.gateway.call(spawner, generation("/caption/x", "first")).await;
        for number in 1..=others {
            self.env.upstream(&format!("u{number}"), "plain").await;
            self.env.upstream(&format!("e{number}"), "engines").await;
        }
        for (path, is_stream) in [("/safe/x", false), ("/caption/x", true)] {
            wait_for("others", async || {
                let request =
                    if is_stream { generation(path, "id") } else { call("POST", path, "id") };
                self.gateway.call(spawner, request).await.status == StatusCode::OK
            })
            .await;
        }
    }

    /// Sends plain requests and streams in turn; returns those that were not served.
    async fn call_all(&self, spawner: &Spawner) -> Vec<StatusCode> {
        let mut unserved = Vec::new();
        for number in 0..CALLS {
            let id = format!("id-{number}");
            let answer = if number.is_multiple_of(2) {
                self.gateway.call(spawner, call("POST", "/safe/x", &id)).await
            } else {
                self.gateway.call(spawner, generation("/caption/x", &id)).await
            };
            if answer.status != StatusCode::OK {
                unserved.push(answer.status);
            }
        }
        unserved
    }

    fn change_first(&self, change: impl Fn(&mut UpstreamBehaviour)) {
        self.plain[0].update_behaviour(&change);
        self.engines[0].update_behaviour(&change);
    }

    fn assert_left_alone(&self, tolerated: usize) {
        for first in [&self.plain[0], &self.engines[0]] {
            let arrivals = first.arrivals_unix_ms().len();
            assert!((1..=tolerated).contains(&arrivals), "{}: {arrivals} requests", first.name);
        }
    }
}

#[test]
fn an_upstream_whose_answer_says_that_it_leaves_gets_nothing_more() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 1).await;
        fleet.change_first(|behaviour| behaviour.says_leaving = true);
        fleet.reach_first(&spawner, 3).await;
        assert!(fleet.call_all(&spawner).await.is_empty());
        // Its entry says that it is ready all the while.
        fleet.assert_left_alone(1);
    });
}

#[test]
fn a_generation_moves_off_an_engine_whose_answer_says_that_it_leaves() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 1).await;
        let other = fleet.env.upstream("e1", "engines").await;
        fleet.engines[0].update_behaviour(|behaviour| {
            behaviour.says_leaving = true;
            behaviour.event_ms = 20;
        });
        let calls = AtomicUsize::new(0);
        let begins_there = async || {
            let id = format!("id-{}", calls.fetch_add(1, Ordering::AcqRel));
            let answer = fleet.gateway.call(&spawner, generation("/report/x", &id)).await;
            assert_eq!(event_ids(&answer.body), (1..=20).collect::<Vec<_>>());
            answer.headers["x-server-signature"] == "signed-by-e0"
        };
        // Placement draws between equal engines, so the first stream may begin at the other one.
        wait_for("a stream at the leaving engine", begins_there).await;
        for _ in 0..LATER_STREAMS {
            assert!(!begins_there().await, "only one stream began there");
        }
        assert_eq!(fleet.engines[0].runs().len(), 1);
        assert_eq!(other.runs().len(), calls.into_inner(), "that one went on elsewhere");
    });
}

#[test]
fn an_upstream_that_says_when_to_come_back_gets_nothing_until_then() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 1).await;
        fleet.change_first(|behaviour| {
            behaviour.refuses = true;
            behaviour.retry_after = Some("30".to_owned());
        });
        fleet.reach_first(&spawner, 3).await;
        let unserved = fleet.call_all(&spawner).await;
        assert!(unserved.is_empty(), "other upstreams take requests: {unserved:?}");
        fleet.assert_left_alone(TOLERATED_ARRIVALS);
    });
}

#[test]
fn a_pause_ends_at_its_time_and_callers_get_what_is_left_of_it() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 1).await;
        let upstream = &fleet.plain[0];
        upstream.update_behaviour(|behaviour| {
            behaviour.refuses = true;
            behaviour.retry_after = Some("0.6".to_owned());
        });
        let refused = fleet.gateway.call(&spawner, call("POST", "/safe/x", "id-0")).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        upstream.update_behaviour(|behaviour| behaviour.refuses = false);
        // All upstreams of the service pause, so callers get the time that is left.
        let refused = fleet.gateway.call(&spawner, call("POST", "/safe/x", "id-1")).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after: f64 =
            refused.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
        assert!((0.0..=0.6).contains(&retry_after), "{retry_after}");
        assert_eq!(upstream.arrivals_unix_ms().len(), 1);
        sleep_ms((retry_after * 1_000.0) as u64 + 20).await;
        let served = fleet.gateway.call(&spawner, call("POST", "/safe/x", "id-2")).await;
        assert_eq!(served.status, StatusCode::OK);
    });
}

#[test]
fn a_stream_is_refused_at_once_if_all_engines_pause_for_longer_than_it_may_wait() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 2).await;
        for engine in &fleet.engines {
            engine.update_behaviour(|behaviour| {
                behaviour.refuses = true;
                behaviour.retry_after = Some("20".to_owned());
            });
        }
        for number in 0..10 {
            let id = format!("id-{number}");
            let refused = fleet.gateway.call(&spawner, generation("/caption/x", &id)).await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        let arrivals = fleet.engines.iter().map(|engine| engine.arrivals_unix_ms().len());
        assert!(arrivals.max() <= Some(TOLERATED_ARRIVALS));
    });
}

/// A stream that runs on the first engine, while others are there.
async fn running_stream(spawner: &Spawner, fleet: &Fleet, path: &'static str) {
    fleet.engines[0].update_behaviour(|behaviour| {
        behaviour.event_ms = 100;
        behaviour.events = 60;
    });
    let addr = fleet.gateway.addresses.callers;
    let inner = spawner.clone();
    spawner.detach(async move {
        const LIMIT_MS: u64 = 10_000;
        // Its events are not what this is about.
        let _ =
            comfreymast_net::call(&inner, addr, generation(path, "run"), LIMIT_MS, 1 << 20).await;
    });
    wait_for("a run", async || !fleet.engines[0].running().is_empty()).await;
}

#[test]
fn an_engine_that_refuses_a_report_and_names_a_pause_is_not_asked_again() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 1).await;
        running_stream(&spawner, &fleet, "/report/x").await;
        fleet.engines[0].update_behaviour(|behaviour| {
            behaviour.refuses_reports = true;
            behaviour.retry_after = Some("30".to_owned());
        });
        let before = fleet.engines[0].arrivals_unix_ms().len();
        // While the store is silent, engines are asked whether they leave.
        fleet.env.set_faults(LogFaults { down: true, ..LogFaults::default() });
        sleep_ms(4_000).await;
        let arrivals = fleet.engines[0].arrivals_unix_ms().len() - before;
        assert!((1..=TOLERATED_ARRIVALS).contains(&arrivals), "{arrivals} reports asked for");
    });
}

#[test]
fn an_engine_that_refuses_a_copy_and_names_a_pause_gets_no_further_orders() {
    run_test(async |spawner| {
        let fleet = Fleet::new(&spawner, 1).await;
        running_stream(&spawner, &fleet, "/report/x").await;
        for number in 1..4 {
            fleet.env.upstream(&format!("e{number}"), "engines").await;
        }
        fleet.engines[0].update_behaviour(|behaviour| {
            behaviour.is_full = true;
            behaviour.retry_after = Some("30".to_owned());
        });
        let before = fleet.engines[0].arrivals_unix_ms().len();
        fleet.env.announce(&fleet.engines[0], "engines", "draining");
        sleep_ms(3_000).await;
        let arrivals = fleet.engines[0].arrivals_unix_ms().len() - before;
        assert!((1..=TOLERATED_ARRIVALS).contains(&arrivals), "{arrivals} copies ordered");
    });
}
