//! Keyed requests under pairs of faults, drawn by a seeded random generator; both may be the same.

#![allow(clippy::unwrap_used)]

mod claims_support;

use claims_support::{check, lines, start};
use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::plain_service::ServiceFaults;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::checks::claims;
use comfreymast_proof::{Fleet, FleetOptions, RecordedClient};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const THREADS: usize = 4;
const ROUNDS: usize = 6;
const KEYS_PER_ROUND: usize = 4;
const ATTEMPTS_PER_KEY: usize = 3;

/// A fault that lasts for one round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LogDown,
    LogSlow,
    AppendRepliesLost,
    AnswersLost,
    CallsRefused,
    CallsSlow,
    DaemonFrozen,
    DaemonKilled,
}

const FAULTS: [Fault; 8] = [
    Fault::LogDown,
    Fault::LogSlow,
    Fault::AppendRepliesLost,
    Fault::AnswersLost,
    Fault::CallsRefused,
    Fault::CallsSlow,
    Fault::DaemonFrozen,
    Fault::DaemonKilled,
];

/// Injects two faults; [`clear_faults`] removes them again.
async fn inject_faults(fleet: &mut Fleet, faults: [Fault; 2], victim: usize) {
    let mut log = LogFaults::default();
    let mut service = ServiceFaults::default();
    for fault in faults {
        match fault {
            Fault::LogDown => log.down = true,
            Fault::LogSlow => log.append_delay_ms = 120,
            Fault::AppendRepliesLost => log.lose_append_replies = 3,
            Fault::AnswersLost => service.lose_answers = 2,
            Fault::CallsRefused => service.refuse = 2,
            Fault::CallsSlow => service.delay_ms = 80,
            Fault::DaemonFrozen => fleet.daemons[victim].process.signal("STOP").unwrap(),
            Fault::DaemonKilled => fleet.daemons[victim].process.kill(),
        }
    }
    fleet.set_faults(&fleet.log, &log).await.unwrap();
    for server in &fleet.servers {
        fleet.set_faults(&server.process, &service).await.unwrap();
    }
}

/// Clears all faults. Continues the victim, or replaces it by a daemon `name` if it was killed.
async fn clear_faults(fleet: &mut Fleet, victim: usize, name: &str) {
    fleet.set_faults(&fleet.log, &LogFaults::default()).await.unwrap();
    for server in &fleet.servers {
        fleet.set_faults(&server.process, &ServiceFaults::default()).await.unwrap();
    }
    fleet.daemons[victim].process.signal("CONT").unwrap();
    if fleet.daemons[victim].process.exit_code().unwrap().is_some() {
        fleet.daemons[victim] = fleet.start_daemon(name).unwrap();
        fleet.publish_vms().await.unwrap();
    }
    fleet.wait_until_settled().await.unwrap();
}

async fn run_rounds(spawner: &Spawner, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let options = FleetOptions { engines: 0, servers: 2, ..FleetOptions::default() };
    let (mut fleet, client) = start(spawner, options).await;
    for round in 0..ROUNDS {
        let faults = [0; 2].map(|_| FAULTS[rng.random_range(0..FAULTS.len())]);
        let victim = rng.random_range(0..fleet.daemons.len());
        let fault_after_ms = rng.random_range(0..60);
        let mut attempts = Vec::new();
        for key in 0..KEYS_PER_ROUND {
            for _ in 0..ATTEMPTS_PER_KEY {
                let addr = fleet.daemons[rng.random_range(0..fleet.daemons.len())].callers();
                let wait_ms = rng.random_range(0..120);
                let client = client.clone();
                attempts.push(spawner.spawn(async move {
                    sleep_ms(wait_ms).await;
                    let body = format!("round {round} key {key}");
                    client.post_once(addr, "/boards/1", &body).await.is_ok()
                }));
            }
        }
        sleep_ms(fault_after_ms).await;
        inject_faults(&mut fleet, faults, victim).await;
        sleep_ms(300).await;
        clear_faults(&mut fleet, victim, &format!("d{round}x")).await;
        for attempt in attempts {
            attempt.await;
        }
        println!("seed {seed} round {round}: {faults:?} on daemon {victim}");
    }
    repeat_all_requests(&fleet, &client).await;
    check(&fleet);
    let runs = lines(&fleet).iter().filter(|line| claims::started(&line.event).is_some()).count();
    assert!(runs > 0);
    println!("seed {seed}: {runs} runs of {} keys", ROUNDS * KEYS_PER_ROUND);
}

/// Repeats each keyed request through every daemon, with all faults cleared.
async fn repeat_all_requests(fleet: &Fleet, client: &RecordedClient) {
    for round in 0..ROUNDS {
        for key in 0..KEYS_PER_ROUND {
            let body = format!("round {round} key {key}");
            for daemon in &fleet.daemons {
                client.post_once(daemon.callers(), "/boards/1", &body).await.unwrap();
            }
        }
    }
}

#[test]
fn keyed_requests_run_at_most_once_under_seed_1() {
    Spawner::run(THREADS, |spawner| async move { run_rounds(&spawner, 1).await });
}

#[test]
fn keyed_requests_run_at_most_once_under_seed_2() {
    Spawner::run(THREADS, |spawner| async move { run_rounds(&spawner, 2).await });
}

#[test]
fn keyed_requests_run_at_most_once_under_seed_3() {
    Spawner::run(THREADS, |spawner| async move { run_rounds(&spawner, 3).await });
}
