//! An accepted contract is in force on every daemon that serves, and never reverts.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod contract_support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::{Answer, Client, DaemonProcess, Fleet, FleetOptions, Operator};

use contract_support::{KEY, ORGANISATION, change, options, publish_accepted};

/// Makes one `GET` on the plain service through a daemon.
async fn look_up(client: &Client, daemon: &DaemonProcess) -> Answer {
    client.call(daemon.callers(), "GET", "/drawings/7", &[], "").await.expect("an answer")
}

/// Repeats the lookup until its error has this code; returns the codes of the answers before it, or
/// `served` where there was no error.
async fn wait_for_error_code(client: &Client, daemon: &DaemonProcess, code: &str) -> Vec<String> {
    const MAX_TRIES: usize = 1_000;
    let mut codes = Vec::new();
    for _ in 0..MAX_TRIES {
        let answer = look_up(client, daemon).await;
        let found = answer.json()["error"]["code"].as_str().unwrap_or("served").to_owned();
        if found == code {
            return codes;
        }
        codes.push(found);
        sleep_ms(10).await;
    }
    panic!("no answer had the code {code}, only {codes:?}");
}

#[test]
fn a_lagging_daemon_is_reported_and_confirms_once_it_continues() {
    Spawner::run(4, |spawner| async move {
        let fleet = Fleet::start(&spawner, options()).await.unwrap();
        let operator = Operator::new(&spawner);
        fleet.daemons[2].process.signal("STOP").unwrap();
        let first = change(0, true);
        let answer = operator.put(fleet.daemons[0].operators(), &first, true).await.unwrap();
        assert_eq!(answer.status, 202);
        assert_eq!(answer.json()["accepted"], false);
        assert_eq!(answer.json()["lagging"], serde_json::json!(["d2"]));

        fleet.daemons[2].process.signal("CONT").unwrap();
        let again = operator.put(fleet.daemons[1].operators(), &first, false).await.unwrap();
        assert_eq!((again.status, again.json()["revision"].as_u64()), (200, Some(1)));
        assert_eq!(operator.revision(&fleet.daemons[2], ORGANISATION).await, 1);
    });
}

#[test]
fn a_daemon_frozen_and_delisted_serves_nothing_under_its_old_contract() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let (operator, client) = (Operator::new(&spawner), Client::new(&spawner, KEY));
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let frozen = fleet.daemons.remove(2);
        assert_eq!(look_up(&client, &frozen).await.status, 200);

        frozen.process.signal("STOP").unwrap();
        fleet.publish_vms().await.unwrap();
        publish_accepted(&operator, &fleet.daemons[0], &change(1, false)).await;
        // Slow reads of the log delay the moment when the continued daemon learns of the change.
        let slow = LogFaults { read_delay_ms: 300, ..Default::default() };
        fleet.set_faults(&fleet.log, &slow).await.unwrap();
        // This request stays in the frozen daemon's socket until the daemon continues.
        let (caller, addr) = (client.clone(), frozen.callers());
        let waiting =
            spawner.spawn(async move { caller.call(addr, "GET", "/drawings/7", &[], "").await });
        sleep_ms(50).await;
        frozen.process.signal("CONT").unwrap();

        let codes = wait_for_error_code(&client, &frozen, "disabled").await;
        assert!(codes.iter().all(|code| code == "not_current"), "{codes:?}");
        let waited = waiting.await.unwrap();
        assert_ne!(waited.status, 200);
        assert_eq!(waited.outcome, "not_run");
    });
}

#[test]
fn a_frozen_and_delisted_daemon_refuses_requests_while_the_log_is_down() {
    const REFUSALS: usize = 50;
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let (operator, client) = (Operator::new(&spawner), Client::new(&spawner, KEY));
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let frozen = fleet.daemons.remove(2);
        frozen.process.signal("STOP").unwrap();
        fleet.publish_vms().await.unwrap();
        publish_accepted(&operator, &fleet.daemons[0], &change(1, false)).await;
        let down = LogFaults { down: true, ..Default::default() };
        fleet.set_faults(&fleet.log, &down).await.unwrap();
        frozen.process.signal("CONT").unwrap();

        for _ in 0..REFUSALS {
            let answer = look_up(&client, &frozen).await;
            assert_eq!(answer.json()["error"]["code"], "not_current");
            assert_eq!((answer.status, answer.outcome.as_str()), (503, "not_run"));
            assert!(answer.headers.contains_key("retry-after"));
        }
        // On the VM list again, it gets the records from its peers while the log is still down.
        fleet.daemons.push(frozen);
        fleet.publish_vms().await.unwrap();
        let codes = wait_for_error_code(&client, &fleet.daemons[2], "disabled").await;
        assert!(codes.iter().all(|code| code == "not_current"), "{codes:?}");
    });
}

/// Checks that daemons serve with the log down for 6 s, which is longer than a reply of the log
/// counts as evidence that they are current.
fn check_serving_through_an_outage(daemons: usize) {
    Spawner::run(4, |spawner| async move {
        let options = FleetOptions { daemons, ..options() };
        let fleet = Fleet::start(&spawner, options).await.expect("a fleet");
        let (operator, client) = (Operator::new(&spawner), Client::new(&spawner, KEY));
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let down = LogFaults { down: true, ..Default::default() };
        fleet.set_faults(&fleet.log, &down).await.expect("a fleet");
        let clock = comfreymast_base::Clock::system();
        while clock.now_ms() < 6_000 {
            for daemon in &fleet.daemons {
                let answer = look_up(&client, daemon).await;
                assert_eq!(answer.status, 200, "{:?}", answer.body);
            }
            sleep_ms(50).await;
        }
    });
}

#[test]
fn the_fleet_keeps_serving_through_an_outage_of_the_log() {
    check_serving_through_an_outage(3);
}

#[test]
fn a_lone_daemon_keeps_serving_through_an_outage_of_the_log() {
    check_serving_through_an_outage(1);
}

/// Polls a daemon's revision until `stop` is set. It must never decrease, nor be below the revision
/// that was accepted before the read began. Returns the highest revision read.
async fn watch_revision(
    operator: Operator,
    addr: std::net::SocketAddr,
    min_revision: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> u64 {
    let mut highest = 0;
    loop {
        // Reads once more after `stop` is set, so that the last change is checked too.
        let is_last = stop.load(Ordering::Acquire);
        let accepted = min_revision.load(Ordering::Acquire);
        let read = operator.get(addr, &format!("/contracts/{ORGANISATION}")).await;
        // A daemon that is not ready answers 503 and reports no revision.
        if let Ok(answer) = read
            && answer.status != 503
        {
            let revision = answer.json()["revision"].as_u64().unwrap_or(0);
            assert!(revision >= highest.max(accepted), "{revision} after {highest}, {accepted}");
            highest = revision;
        }
        if is_last {
            return highest;
        }
        sleep_ms(5).await;
    }
}

/// A task that polls one daemon's revision.
struct RevisionWatch {
    stop: Arc<AtomicBool>,
    task: async_executor::Task<u64>,
}

impl RevisionWatch {
    fn start(
        spawner: &Spawner,
        operator: &Operator,
        daemon: &DaemonProcess,
        min_revision: &Arc<AtomicU64>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (operator, addr) = (operator.clone(), daemon.operators());
        let task = watch_revision(operator, addr, min_revision.clone(), stop.clone());
        Self { stop, task: spawner.spawn(task) }
    }

    /// Stops the task and returns the highest revision read. Call this before the daemon is killed:
    /// the system may give its port to a daemon of another fleet.
    async fn end(self) -> u64 {
        self.stop.store(true, Ordering::Release);
        self.task.await
    }
}

#[test]
fn no_contract_reverts_while_all_daemons_are_replaced_and_records_expire() {
    const REPLACED: usize = 3;
    const CHANGES_EACH: u64 = 8;
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let operator = Operator::new(&spawner);
        let expiring = LogFaults { retention_records: 16, ..Default::default() };
        fleet.set_faults(&fleet.log, &expiring).await.unwrap();
        let min_revision = Arc::new(AtomicU64::new(0));
        let watch = |daemon: &DaemonProcess| {
            RevisionWatch::start(&spawner, &operator, daemon, &min_revision)
        };
        let mut watches: VecDeque<_> = fleet.daemons.iter().map(&watch).collect();
        let mut revision = 0;
        for replaced in 0..REPLACED {
            for round in 0..CHANGES_EACH {
                let change = change(revision, round % 2 == 0);
                revision = publish_accepted(&operator, &fleet.daemons[0], &change).await;
                min_revision.store(revision, Ordering::Release);
            }
            let new = fleet.start_daemon(&format!("n{replaced}")).unwrap();
            watches.push_back(watch(&new));
            fleet.daemons.push(new);
            fleet.publish_vms().await.unwrap();
            fleet.wait_until_settled().await.unwrap();
            let mut old = fleet.daemons.remove(0);
            fleet.publish_vms().await.unwrap();
            let watched = watches.pop_front().unwrap();
            assert_eq!(watched.end().await, revision);
            old.process.kill();
        }
        let last = publish_accepted(&operator, &fleet.daemons[0], &change(revision, true)).await;
        assert_eq!(last, CHANGES_EACH * REPLACED as u64 + 1);
        for daemon in &fleet.daemons {
            assert_eq!(operator.revision(daemon, ORGANISATION).await, last);
        }
        for watch in watches {
            watch.end().await;
        }
        let start = fleet.read("n2.err");
        assert!(start.contains("E0207"), "the last daemon started from a snapshot: {start}");
    });
}
