//! The contract of an organisation is one compare-and-set register over the whole fleet.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use comfreymast_base::OperationId;
use comfreymast_fakes::log_service::LogFaults;
use comfreymast_net::Spawner;
use comfreymast_proof::contract_register::{ContractOp, PutOutcome, RegisterHistory};
use comfreymast_proof::{Change, Fleet, FleetOptions, Operator};
use futures_lite::future;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ORGANISATION: &str = "taller-sur";
const DAEMONS: usize = 3;

/// A contract that carries `mark` as its limit of tokens per second.
fn document(mark: u64) -> String {
    format!("organisation = \"{ORGANISATION}\"\n[limits]\ntokens_per_s = {mark}\n")
}

fn change(base: u64, mark: u64) -> Change {
    Change {
        organisation: ORGANISATION.to_owned(),
        base,
        document: document(mark),
        operation: OperationId::random(),
    }
}

fn mark_of(document: &str) -> u64 {
    let text = document.rsplit("= ").next().unwrap_or_default();
    text.trim().parse().unwrap_or(0)
}

fn fleet_options() -> FleetOptions {
    FleetOptions { engines: 0, servers: 0, ..FleetOptions::default() }
}

fn put(base: u64, mark: u64, outcome: PutOutcome) -> ContractOp {
    ContractOp::Put { base, mark, outcome }
}

/// A history in which one operation follows another.
fn sequential(operations: &[ContractOp]) -> RegisterHistory {
    let history = RegisterHistory::default();
    for operation in operations {
        history.begin(0);
        history.end(0, operation.clone());
    }
    history
}

#[test]
fn the_checker_accepts_a_good_history() {
    let good = sequential(&[
        put(0, 7, PutOutcome::InForce(1)),
        put(0, 8, PutOutcome::Conflict(1)),
        ContractOp::Get { revision: 1, mark: 7 },
        put(1, 9, PutOutcome::Unknown),
        ContractOp::Get { revision: 2, mark: 9 },
        put(2, 4, PutOutcome::NotPublished),
    ]);
    assert!(good.is_linearizable());
}

#[test]
fn the_checker_refuses_bad_histories() {
    let two_winners =
        sequential(&[put(0, 7, PutOutcome::InForce(1)), put(0, 8, PutOutcome::InForce(1))]);
    let stale_read =
        sequential(&[put(0, 7, PutOutcome::InForce(1)), ContractOp::Get { revision: 0, mark: 0 }]);
    let reverted = sequential(&[
        put(0, 7, PutOutcome::InForce(1)),
        put(1, 8, PutOutcome::InForce(2)),
        ContractOp::Get { revision: 1, mark: 7 },
    ]);
    let false_refusal = sequential(&[
        put(0, 7, PutOutcome::NotPublished),
        ContractOp::Get { revision: 1, mark: 7 },
    ]);
    let false_conflict = sequential(&[put(0, 7, PutOutcome::Conflict(1))]);
    // Without operation ids, appending again after a lost reply would publish the change twice.
    let appended_twice =
        sequential(&[put(0, 7, PutOutcome::InForce(1)), ContractOp::Get { revision: 2, mark: 7 }]);
    for bad in [two_winners, stale_read, reverted, false_refusal, false_conflict, appended_twice] {
        assert!(!bad.is_linearizable(), "{bad:?}");
    }
}

/// The operators' ports of the daemons. A daemon's port is removed before the daemon is killed: the
/// system may give it to a daemon of another fleet.
#[derive(Clone)]
struct OperatorPorts(Arc<Mutex<Vec<SocketAddr>>>);

impl OperatorPorts {
    fn pick(&self, number: usize) -> SocketAddr {
        let ports = self.0.lock().expect("no holder panics");
        ports[number % ports.len()]
    }

    fn remove_last(&self) {
        self.0.lock().expect("no holder panics").pop();
    }
}

/// Publishes through the daemons from `first_daemon` on until one gives a definite answer.
async fn publish(
    operator: &Operator,
    daemons: &OperatorPorts,
    first_daemon: usize,
    change: &Change,
) -> PutOutcome {
    const MAX_TRIES: usize = 12;
    for attempt in 0..MAX_TRIES {
        let daemon = daemons.pick(first_daemon + attempt);
        let Ok(answer) = operator.put(daemon, change, attempt == 0).await else { continue };
        let body = answer.json();
        match (answer.status, body["code"].as_str()) {
            (200 | 202, _) => {
                return PutOutcome::InForce(body["revision"].as_u64().expect("a revision"));
            }
            (409, _) => {
                let message = body["message"].as_str().expect("a message");
                let revision = message.split_whitespace().rev().nth(3);
                return PutOutcome::Conflict(
                    revision.and_then(|text| text.parse().ok()).expect("the revision that won"),
                );
            }
            (503, Some("log_unavailable")) => return PutOutcome::NotPublished,
            _ => {}
        }
    }
    PutOutcome::Unknown
}

/// Runs one operator, who repeatedly reads the contract and publishes a change of what was read.
async fn operate(
    operator: Operator,
    daemons: OperatorPorts,
    history: RegisterHistory,
    process: usize,
    rounds: u64,
) {
    let mut random = StdRng::seed_from_u64(process as u64);
    for round in 0..rounds {
        let first_daemon = random.random_range(0..DAEMONS);
        let path = format!("/contracts/{ORGANISATION}?fresh=true");
        history.begin(process);
        let read = loop {
            // A killed daemon does not answer. A read may be repeated through another daemon.
            let daemon = daemons.pick(random.random_range(0..DAEMONS));
            match operator.get(daemon, &path).await {
                Ok(answer) if matches!(answer.status, 200 | 404) => break answer.json(),
                _ => {}
            }
        };
        let revision = read["revision"].as_u64().unwrap_or(0);
        let mark = mark_of(read["document"].as_str().unwrap_or_default());
        history.end(process, ContractOp::Get { revision, mark });

        let change = change(revision, process as u64 * 1_000 + round + 1);
        history.begin(process);
        let outcome = publish(&operator, &daemons, first_daemon, &change).await;
        history.end(process, put(revision, mark_of(&change.document), outcome));
    }
}

#[test]
fn racing_operators_see_one_register_with_lost_replies_and_a_killed_daemon() {
    const OPERATORS: usize = 4;
    const ROUNDS: u64 = 12;
    Spawner::run(4, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, fleet_options()).await.unwrap();
        let ports = fleet.daemons.iter().map(|daemon| daemon.operators()).collect();
        let daemons = OperatorPorts(Arc::new(Mutex::new(ports)));
        let history = RegisterHistory::default();
        let operators: Vec<_> = (0..OPERATORS)
            .map(|process| {
                let operator = Operator::new(&spawner);
                spawner.spawn(operate(operator, daemons.clone(), history.clone(), process, ROUNDS))
            })
            .collect();
        // The log is slow, and a third of the append replies are lost after the append took effect.
        // Replies to reads are delayed, so that daemons apply a change at different times.
        let faults = LogFaults {
            append_delay_ms: 5,
            read_delay_ms: 40,
            lose_append_replies: 16,
            ..Default::default()
        };
        fleet.set_faults(&fleet.log, &faults).await.unwrap();
        fleet.wait_for("half of the history", || history.len() > OPERATORS * 12).await.unwrap();
        daemons.remove_last();
        fleet.daemons[2].process.kill();
        fleet.daemons.truncate(2);
        fleet.publish_vms().await.unwrap();
        for operator in operators {
            operator.await;
        }
        assert_eq!(history.len(), OPERATORS * usize::try_from(ROUNDS).unwrap() * 2);
        assert!(history.is_linearizable(), "{history:?}");
    });
}

#[test]
fn of_conflicting_changes_one_wins_on_every_daemon() {
    Spawner::run(4, |spawner| async move {
        let fleet = Fleet::start(&spawner, fleet_options()).await.unwrap();
        let operator = Operator::new(&spawner);
        let changes: Vec<_> = (1..=3).map(|mark| change(0, mark)).collect();
        let put =
            |index: usize| operator.put(fleet.daemons[index].operators(), &changes[index], true);
        let (first, (second, third)) = future::zip(put(0), future::zip(put(1), put(2))).await;
        let answers = [first.unwrap(), second.unwrap(), third.unwrap()];
        let mut statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
        let winner = answers.iter().position(|answer| answer.status == 200).unwrap();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409]);
        for daemon in &fleet.daemons {
            let path = format!("/contracts/{ORGANISATION}");
            let view = operator.get(daemon.operators(), &path).await.unwrap().json();
            assert_eq!(view["revision"], 1);
            assert_eq!(view["document"], changes[winner].document);
        }
        // Retried through another daemon, each change gets the same outcome.
        for (index, change) in changes.iter().enumerate() {
            let other = &fleet.daemons[(index + 1) % fleet.daemons.len()];
            let again = operator.put(other.operators(), change, false).await.unwrap();
            assert_eq!(again.status, answers[index].status, "{:?}", again.body);
        }
        assert_eq!(fleet.page(&fleet.log, "/stats").await["records"], 3);
    });
}

#[test]
fn a_change_whose_append_reply_was_lost_is_not_appended_again() {
    Spawner::run(4, |spawner| async move {
        let fleet = Fleet::start(&spawner, fleet_options()).await.unwrap();
        let operator = Operator::new(&spawner);
        let faults = LogFaults { lose_append_replies: 1, ..Default::default() };
        fleet.set_faults(&fleet.log, &faults).await.unwrap();

        let first = change(0, 5);
        let daemon = fleet.daemons[0].operators();
        let answer = operator.put(daemon, &first, true).await.unwrap();
        assert_eq!((answer.status, answer.json()["revision"].as_u64()), (200, Some(1)));
        let again = operator.put(fleet.daemons[1].operators(), &first, false).await.unwrap();
        assert_eq!(again.json(), answer.json());

        let reused = Change { document: document(6), ..first.clone() };
        let refused = operator.put(daemon, &reused, false).await.unwrap();
        assert_eq!(refused.json()["code"], "operation_reused");
        let stats = fleet.page(&fleet.log, "/stats").await;
        assert_eq!((stats["appends"].as_u64(), stats["records"].as_u64()), (Some(1), Some(1)));
    });
}

#[test]
fn with_the_log_down_nothing_is_published_and_a_retry_has_an_unknown_outcome() {
    Spawner::run(4, |spawner| async move {
        let fleet = Fleet::start(&spawner, fleet_options()).await.unwrap();
        let operator = Operator::new(&spawner);
        let down = LogFaults { down: true, ..Default::default() };
        fleet.set_faults(&fleet.log, &down).await.unwrap();

        let path = fleet.path("contract.toml");
        std::fs::write(&path, document(5)).unwrap();
        let args =
            ["contract", "put", path.to_str().unwrap(), "--base", "0", "--author", "Søren &"];
        let put = fleet.daemons[0].cli().run(&args).unwrap();
        assert_eq!(put.code, 1, "{put:?}");
        assert!(put.stderr.contains("nothing was published"), "{put:?}");
        // An earlier attempt may have been appended, so a retry must not be told that nothing was.
        let retry = operator.put(fleet.daemons[0].operators(), &change(0, 5), false).await.unwrap();
        assert_eq!(retry.json()["code"], "outcome_unknown");

        fleet.set_faults(&fleet.log, &LogFaults::default()).await.unwrap();
        assert_eq!(fleet.page(&fleet.log, "/stats").await["records"], 0);
        let put = fleet.daemons[1].cli().run(&args).unwrap();
        assert_eq!(put.code, 0, "{put:?}");
        let history = fleet.daemons[2].cli().run(&["contract", "history", ORGANISATION]).unwrap();
        assert!(history.stdout.contains("Søren &"), "{history:?}");
    });
}
