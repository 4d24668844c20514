//! All daemons reach the same state although records expire and the log has outages, and a daemon
//! that has read nothing is not ready rather than empty.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod contract_support;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_net::Spawner;
use comfreymast_proof::{Client, Fleet, FleetOptions, Operator};

use contract_support::{
    KEY, change, contracts, filler, options, publish_accepted, wait_until_logged,
};

const ORGANISATIONS: [&str; 4] = ["a", "b", "c", "d"];

/// Publishes `rounds` revisions of four contracts, with base revisions from `from` on.
async fn publish_rounds(operator: &Operator, fleet: &Fleet, from: u64, rounds: u64) {
    for round in from..from + rounds {
        for organisation in ORGANISATIONS {
            publish_accepted(operator, &fleet.daemons[0], &filler(organisation, round)).await;
        }
    }
}

/// Waits until every daemon has the same contracts and histories as the first.
async fn wait_until_contracts_agree(operator: &Operator, fleet: &Fleet) {
    let expected = contracts(operator, &fleet.daemons[0]).await;
    assert!(!expected.is_empty());
    for daemon in &fleet.daemons[1..] {
        let seen = || async { contracts(operator, daemon).await == expected };
        fleet.wait_until("the same contracts", seen).await.expect("the same contracts");
    }
}

#[test]
fn a_daemon_that_starts_after_records_expired_restores_a_snapshot() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let operator = Operator::new(&spawner);
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let expiring = LogFaults { retention_records: 16, ..Default::default() };
        fleet.set_faults(&fleet.log, &expiring).await.unwrap();
        publish_rounds(&operator, &fleet, 0, 12).await;

        let new = fleet.start_daemon("n0").unwrap();
        // Peers do not answer a daemon that is not on the VM list, so the snapshot is from the log.
        wait_until_logged(&fleet, "n0", "E0204").await;
        wait_until_logged(&fleet, "n0", "E0207").await;
        fleet.daemons.push(new);
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        wait_until_contracts_agree(&operator, &fleet).await;
        // The only record of the oldest contract has expired, but the key in it still works.
        let client = Client::new(&spawner, KEY);
        let answer = client.call(fleet.daemons[3].callers(), "GET", "/drawings/1", &[], "").await;
        assert_eq!(answer.unwrap().status, 200);
        for daemon in ["d0", "d1", "d2", "n0"] {
            assert!(!fleet.read(&format!("{daemon}.err")).contains("E0209"));
        }
    });
}

#[test]
fn a_daemon_frozen_while_records_expired_catches_up() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let operator = Operator::new(&spawner);
        let expiring = LogFaults { retention_records: 16, ..Default::default() };
        fleet.set_faults(&fleet.log, &expiring).await.unwrap();
        publish_rounds(&operator, &fleet, 0, 2).await;
        let frozen = fleet.daemons.remove(2);
        frozen.process.signal("STOP").unwrap();
        // Off the VM list, so that changes do not wait for it.
        fleet.publish_vms().await.unwrap();
        publish_rounds(&operator, &fleet, 2, 12).await;
        frozen.process.signal("CONT").unwrap();
        // Peers do not answer a daemon that is off the VM list, so the snapshot is from the log.
        wait_until_logged(&fleet, "d2", "E0207").await;
        fleet.daemons.push(frozen);
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        wait_until_contracts_agree(&operator, &fleet).await;
    });
}

#[test]
fn a_daemon_cut_off_from_the_log_follows_its_peers() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let operator = Operator::new(&spawner);
        publish_rounds(&operator, &fleet, 0, 1).await;
        // Nothing listens on port 1.
        let cut = fleet.start_daemon_with_log("cut", "127.0.0.1:1").unwrap();
        fleet.daemons.push(cut);
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        // A change is accepted only once the daemon without a log has it too.
        publish_rounds(&operator, &fleet, 1, 1).await;
        wait_until_contracts_agree(&operator, &fleet).await;
        let refused = operator.put(fleet.daemons[3].operators(), &filler("a", 2), true).await;
        assert_eq!(refused.unwrap().json()["code"], "log_unavailable");
    });
}

#[test]
fn a_daemon_started_in_a_log_outage_loads_its_state_from_a_peer() {
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, options()).await.unwrap();
        let operator = Operator::new(&spawner);
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        publish_rounds(&operator, &fleet, 0, 2).await;
        let down = LogFaults { down: true, ..Default::default() };
        fleet.set_faults(&fleet.log, &down).await.unwrap();
        let new = fleet.start_daemon("n0").unwrap();
        fleet.daemons.push(new);
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        wait_until_contracts_agree(&operator, &fleet).await;
        let client = Client::new(&spawner, KEY);
        let answer = client.call(fleet.daemons[3].callers(), "GET", "/drawings/1", &[], "").await;
        assert_eq!(answer.unwrap().status, 200);
    });
}

#[test]
fn a_daemon_without_log_and_peers_is_not_ready_rather_than_empty() {
    Spawner::run(4, |spawner| async move {
        let options = FleetOptions { daemons: 1, ..options() };
        let mut fleet = Fleet::start(&spawner, options).await.unwrap();
        let (operator, client) = (Operator::new(&spawner), Client::new(&spawner, KEY));
        publish_accepted(&operator, &fleet.daemons[0], &change(0, true)).await;
        let down = LogFaults { down: true, ..Default::default() };
        fleet.set_faults(&fleet.log, &down).await.unwrap();
        fleet.daemons[0].process.kill();
        let new = fleet.start_daemon("n0").unwrap();
        fleet.daemons[0] = new;
        fleet.publish_vms().await.unwrap();
        wait_until_logged(&fleet, "n0", "E0201").await;

        let daemon = &fleet.daemons[0];
        assert!(!fleet.answers_ok(daemon, "/readyz").await);
        let list = operator.get(daemon.operators(), "/contracts").await.unwrap();
        assert_eq!((list.status, list.json()["code"].as_str()), (503, Some("not_ready")));
        let answer = client.call(daemon.callers(), "GET", "/drawings/1", &[], "").await.unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (503, "not_run"));

        fleet.set_faults(&fleet.log, &LogFaults::default()).await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        let answer = client.call(daemon.callers(), "GET", "/drawings/1", &[], "").await.unwrap();
        assert_eq!(answer.status, 200);
    });
}
