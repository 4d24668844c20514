//! Leaving and lost upstreams, and a VM list that lags, is down or wrong.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod contract_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_executor::Task;
use comfreymast_base::Clock;
use comfreymast_fakes::history::{Event, Line};
use comfreymast_fakes::vm_list::VmListFaults;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_platform::VmState;
use comfreymast_proof::{Client, Direction, Fleet, FleetOptions, Link, Operator};

use contract_support::{KEY, change, options, publish_accepted, wait_until_logged};

/// How long a leaving upstream may still get new work after the VM list reports the change.
const LEAVING_MS: u64 = 2_000;

fn two_servers() -> FleetOptions {
    FleetOptions { servers: 2, ..options() }
}

/// When a call was sent, and its answer.
struct CallResult {
    asked_unix_ms: u64,
    status: u16,
    outcome: String,
}

/// Sends lookups through one daemon, one after the other.
struct Load {
    stop: Arc<AtomicBool>,
    calls: Task<Vec<CallResult>>,
}

impl Load {
    fn start(spawner: &Spawner, addr: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (client, stopped) = (Client::new(spawner, KEY), stop.clone());
        let calls = spawner.spawn(async move {
            let mut answers = Vec::new();
            while !stopped.load(Ordering::Acquire) {
                let asked_unix_ms = Clock::system().unix_ms();
                let answer = client.call(addr, "GET", "/drawings/7", &[], "").await;
                let answer = answer.expect("the daemon answers");
                answers.push(CallResult {
                    asked_unix_ms,
                    status: answer.status,
                    outcome: answer.outcome,
                });
                sleep_ms(10).await;
            }
            answers
        });
        Self { stop, calls }
    }

    async fn end(self) -> Vec<CallResult> {
        self.stop.store(true, Ordering::Release);
        self.calls.await
    }
}

/// When each call began on an upstream.
fn call_starts(fleet: &Fleet, upstream: &str) -> Vec<u64> {
    let lines = fleet.read("history");
    let lines = lines.lines().filter_map(|line| serde_json::from_str::<Line>(line).ok());
    lines
        .filter(|line| &*line.source == upstream && matches!(line.event, Event::CallStart { .. }))
        .map(|line| line.at_unix_ms)
        .collect()
}

#[test]
fn a_leaving_upstream_gets_no_new_work_although_the_vm_list_lags() {
    const LAG_MS: u64 = 400;
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, two_servers()).await.unwrap();
        let operator = Operator::new(&spawner);
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let lagging = VmListFaults { lag_ms: LAG_MS, ..Default::default() };
        fleet.set_faults(&fleet.vms, &lagging).await.unwrap();
        let loads: Vec<_> =
            fleet.daemons.iter().map(|daemon| Load::start(&spawner, daemon.callers())).collect();
        fleet.wait_for("work on s0", || call_starts(&fleet, "s0").len() > 30).await.unwrap();

        fleet.servers[0].vm.state = VmState::Leaving;
        fleet.publish_vms().await.unwrap();
        let listed_unix_ms = Clock::system().unix_ms() + LAG_MS;
        for daemon in ["d0", "d1", "d2"] {
            wait_until_logged(&fleet, daemon, "E0403").await;
        }
        let until_unix_ms = listed_unix_ms + LEAVING_MS + 1_000;
        fleet
            .wait_for("work after the bound", || {
                call_starts(&fleet, "s1").iter().any(|at_ms| *at_ms > until_unix_ms)
            })
            .await
            .unwrap();
        for load in loads {
            let answers = load.end().await;
            assert!(answers.iter().all(|result| result.status == 200));
        }
        let last = call_starts(&fleet, "s0").into_iter().max().unwrap();
        assert!(last <= listed_unix_ms + LEAVING_MS, "{last} after {listed_unix_ms}");
    });
}

#[test]
fn a_daemon_frozen_while_an_upstream_left_sends_it_nothing_after_resuming() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, two_servers()).await.unwrap();
        let (operator, client) = (Operator::new(&spawner), Client::new(&spawner, KEY));
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        fleet.daemons[2].process.signal("STOP").unwrap();
        fleet.servers[0].vm.state = VmState::Leaving;
        fleet.publish_vms().await.unwrap();
        // Longer than a daemon relies on its last known state.
        sleep_ms(4_500).await;
        fleet.daemons[2].process.signal("CONT").unwrap();
        let mut served = 0;
        while served < 20 {
            let answer = client
                .call(fleet.daemons[2].callers(), "GET", "/drawings/7", &[], "")
                .await
                .unwrap();
            match answer.status {
                200 => served += 1,
                _ => assert_eq!((answer.status, answer.outcome.as_str()), (503, "not_run")),
            }
        }
        assert_eq!(call_starts(&fleet, "s0"), [0_u64; 0]);
    });
}

#[test]
fn an_upstream_reclaimed_without_notice_causes_no_wrong_answer() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, two_servers()).await.unwrap();
        let operator = Operator::new(&spawner);
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let loads: Vec<_> =
            fleet.daemons.iter().map(|daemon| Load::start(&spawner, daemon.callers())).collect();
        fleet.wait_for("work on s0", || call_starts(&fleet, "s0").len() > 30).await.unwrap();
        fleet.servers[0].process.kill();
        fleet.servers.remove(0);
        fleet.publish_vms().await.unwrap();
        let listed_unix_ms = Clock::system().unix_ms();
        let until_unix_ms = listed_unix_ms + LEAVING_MS;
        fleet
            .wait_for("work after the bound", || {
                call_starts(&fleet, "s1").iter().any(|at_ms| *at_ms > until_unix_ms + 500)
            })
            .await
            .unwrap();
        for load in loads {
            for result in load.end().await {
                let late = result.asked_unix_ms > until_unix_ms;
                assert!(result.status == 200 || !late, "{} {}", result.status, result.outcome);
                assert!(["done", "not_run", "unknown"].contains(&result.outcome.as_str()));
            }
        }
    });
}

#[test]
fn an_empty_or_unreachable_vm_list_removes_no_member() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, two_servers()).await.unwrap();
        let (operator, client) = (Operator::new(&spawner), Client::new(&spawner, KEY));
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let daemons = std::mem::take(&mut fleet.daemons);
        let servers = std::mem::take(&mut fleet.servers);
        fleet.publish_vms().await.unwrap();
        for daemon in ["d0", "d1", "d2"] {
            wait_until_logged(&fleet, daemon, "E0404").await;
        }
        fleet.daemons = daemons;
        fleet.servers = servers;
        for daemon in &fleet.daemons {
            assert_eq!(operator.status(daemon, "upstreams").await, 2);
            let answer = client.call(daemon.callers(), "GET", "/drawings/7", &[], "").await;
            assert_eq!(answer.unwrap().status, 200);
        }
        let down = VmListFaults { down: true, ..Default::default() };
        fleet.set_faults(&fleet.vms, &down).await.unwrap();
        for daemon in ["d0", "d1", "d2"] {
            wait_until_logged(&fleet, daemon, "E0401").await;
        }
        publish_accepted(&operator, &fleet.daemons[1], &change(1, true)).await;
        // Only the VM list could remove the killed daemon, so the change still waits for it.
        fleet.daemons[2].process.kill();
        let answer = operator.put(fleet.daemons[0].operators(), &change(2, true), true).await;
        let answer = answer.unwrap();
        assert_eq!((answer.status, &answer.json()["lagging"]), (202, &serde_json::json!(["d2"])));
    });
}

#[test]
fn a_permanently_silent_peer_link_is_reopened() {
    Spawner::run(4, |spawner| async move {
        let options = FleetOptions { daemons: 2, ..options() };
        let mut fleet = Fleet::start(&spawner, options).await.unwrap();
        let operator = Operator::new(&spawner);
        // Daemons that start from now on reach d0 through the link of this test.
        let link = Link::start(&spawner, fleet.daemons[0].vm.peers_addr.unwrap()).await.unwrap();
        fleet.daemons[0].vm.peers_addr = Some(link.addr);
        let late = fleet.start_daemon("d2").unwrap();
        fleet.daemons.push(late);
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        let before = link.accepted();
        assert!(before > 0);
        link.silence_open(Direction::ToTarget);
        wait_until_logged(&fleet, "d2", "echoed nothing").await;
        fleet.wait_for("a new link", || link.accepted() > before).await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
    });
}
