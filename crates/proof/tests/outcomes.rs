//! Guarantee: a request that is answered as not run did not run.

#![allow(clippy::unwrap_used)]

mod claims_support;

use claims_support::{lines, start, wait_for_run};
use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_fakes::history::Event;
use comfreymast_fakes::plain_service::ServiceFaults;
use comfreymast_net::{DialError, Spawner};
use comfreymast_proof::checks::outcomes::truthful;
use comfreymast_proof::checks::{claims, outcomes};
use comfreymast_proof::{Answer, Fleet, FleetOptions, Recorded, RecordedClient};

const THREADS: usize = 4;
const CALL_LIMIT_MS: &str = "400";

fn options(engines: usize, servers: usize) -> FleetOptions {
    let mut options = FleetOptions { engines, servers, ..FleetOptions::default() };
    let limits = ["--call-limit-ms", CALL_LIMIT_MS, "--silence-ms", CALL_LIMIT_MS];
    options.daemon_flags.extend(limits.map(str::to_owned));
    options
}

/// A plain call without an idempotency key. Each call needs a unique body.
async fn post(
    fleet: &Fleet,
    client: &RecordedClient,
    path: &str,
    what: &str,
) -> Result<Answer, DialError> {
    let addr = fleet.daemons[0].callers();
    client.call(&Recorded { addr, method: "POST", path, headers: &[], body: what, what }).await
}

/// A generation that is not streamed. Each one needs a unique prompt.
async fn complete(
    fleet: &Fleet,
    client: &RecordedClient,
    kind: &str,
    what: &str,
) -> Result<Answer, DialError> {
    let body = format!(r#"{{"model":"m","prompt":"{what}"}}"#);
    let call = Recorded {
        addr: fleet.daemons[0].callers(),
        method: "POST",
        path: "/v1/completions",
        headers: &[("comfreymast-kind", kind)],
        body: &body,
        what,
    };
    client.call(&call).await
}

fn outcome(answer: &Answer) -> (u16, &str) {
    (answer.status, answer.outcome.as_str())
}

fn check_outcomes(fleet: &Fleet) {
    let lines = lines(fleet);
    assert_eq!(outcomes::truthful(&lines), Ok(()));
    assert!(!lines.is_empty());
}

#[test]
fn a_service_that_refuses_or_hangs_or_loses_answers_is_reported_with_its_outcome() {
    Spawner::run(THREADS, |spawner| async move {
        let (fleet, client) = start(&spawner, options(0, 1)).await;
        let server = &fleet.servers[0].process;
        let default = ServiceFaults::default();
        let cases = [
            ("refuse", ServiceFaults { refuse: 1, ..default.clone() }, (503, "not_run"), 0),
            ("lose", ServiceFaults { lose_answers: 1, ..default.clone() }, (502, "unknown"), 1),
            ("hang", ServiceFaults { hang: true, ..default.clone() }, (502, "unknown"), 1),
            ("none", default, (200, "done"), 1),
        ];
        for (what, faults, expected, runs) in cases {
            fleet.set_faults(server, &faults).await.unwrap();
            let answer = post(&fleet, &client, "/boards/1", what).await.unwrap();
            assert_eq!(outcome(&answer), expected, "{what}");
            assert_eq!(answer.headers.contains_key("retry-after"), expected.1 == "not_run");
            if expected.1 != "done" {
                assert_eq!(answer.json()["error"]["outcome"], expected.1);
            }
            assert_eq!(claims::runs(&lines(&fleet), what), runs, "{what}");
        }
        check_outcomes(&fleet);
    });
}

#[test]
fn an_attempt_that_may_have_run_makes_the_outcome_unknown() {
    Spawner::run(THREADS, |spawner| async move {
        let (fleet, client) = start(&spawner, options(0, 2)).await;
        // Whichever server is tried first, one loses the answer and the other refuses.
        let lose = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
        let refuse = ServiceFaults { refuse: 1, ..ServiceFaults::default() };
        fleet.set_faults(&fleet.servers[0].process, &lose).await.unwrap();
        fleet.set_faults(&fleet.servers[1].process, &refuse).await.unwrap();
        let answer = post(&fleet, &client, "/swatches/1", "save").await.unwrap();
        assert_eq!(outcome(&answer), (502, "unknown"));
        assert_eq!(claims::runs(&lines(&fleet), "save"), 1);
        check_outcomes(&fleet);
    });
}

#[test]
fn a_call_on_a_killed_server_is_unknown_and_the_next_one_is_not_run() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options(0, 1)).await;
        let faults = ServiceFaults { hang: true, ..ServiceFaults::default() };
        fleet.set_faults(&fleet.servers[0].process, &faults).await.unwrap();
        let (other, addr) = (client.clone(), fleet.daemons[0].callers());
        let running = spawner.spawn(async move {
            let (path, what) = ("/boards/1", "first");
            let call = Recorded { addr, method: "POST", path, headers: &[], body: what, what };
            other.call(&call).await
        });
        wait_for_run(&fleet, "first").await;
        fleet.servers[0].process.kill();
        assert_eq!(outcome(&running.await.unwrap()), (502, "unknown"));
        let answer = post(&fleet, &client, "/boards/1", "second").await.unwrap();
        assert_eq!(outcome(&answer), (503, "not_run"));
        assert!(answer.headers.contains_key("retry-after"));
        check_outcomes(&fleet);
    });
}

#[test]
fn calls_go_to_another_server_than_the_dead_one() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options(0, 3)).await;
        fleet.servers[0].process.kill();
        for number in 0..30 {
            let what = format!("save {number}");
            // The call is not repeatable, but no byte of it reaches the dead server.
            let answer = post(&fleet, &client, "/boards/1", &what).await.unwrap();
            assert_eq!(outcome(&answer), (200, "done"));
        }
        check_outcomes(&fleet);
    });
}

#[test]
fn a_caller_that_retries_gets_no_retry_from_the_daemon() {
    Spawner::run(THREADS, |spawner| async move {
        let (fleet, client) = start(&spawner, options(0, 2)).await;
        for server in &fleet.servers {
            let refuse = ServiceFaults { refuse: 1, ..ServiceFaults::default() };
            fleet.set_faults(&server.process, &refuse).await.unwrap();
        }
        let call = |headers| {
            let addr = fleet.daemons[0].callers();
            let (path, what) = ("/swatches/1", "save");
            Recorded { addr, method: "POST", path, headers, body: what, what }
        };
        let headers = [("comfreymast-retry-attempt", "1")];
        // One server refuses, and the other is not tried, so it refuses a later call.
        assert_eq!(outcome(&client.call(&call(&headers)).await.unwrap()), (503, "not_run"));
        let mut answers = Vec::new();
        for _ in 0..2 {
            answers.push(client.call(&call(&headers)).await.unwrap().status);
        }
        answers.sort_unstable();
        assert!(answers == [200, 200] || answers == [200, 503], "{answers:?}");
        check_outcomes(&fleet);
    });
}

#[test]
fn an_engine_that_refuses_or_dies_is_reported_with_its_outcome() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options(1, 0)).await;
        let refuse = EngineFaults { refuse: true, ..EngineFaults::default() };
        fleet.set_faults(&fleet.engines[0].process, &refuse).await.unwrap();
        for kind in ["report", "draft"] {
            let answer = complete(&fleet, &client, kind, "refused").await.unwrap();
            assert_eq!(outcome(&answer), (503, "not_run"));
            assert!(answer.headers.contains_key("retry-after"));
        }
        assert_eq!(claims::runs(&lines(&fleet), "refused"), 0);
        fleet.set_faults(&fleet.engines[0].process, &EngineFaults::default()).await.unwrap();

        let (other, addr) = (client.clone(), fleet.daemons[0].callers());
        let running = spawner.spawn(async move {
            let call = Recorded {
                addr,
                method: "POST",
                path: "/v1/completions",
                headers: &[("comfreymast-kind", "report")],
                body: r#"{"model":"m","prompt":"long, tokens=5000"}"#,
                what: "long, tokens=5000",
            };
            other.call(&call).await
        });
        wait_for_run(&fleet, "long, tokens=5000").await;
        fleet.engines[0].process.kill();
        assert_eq!(running.await.unwrap().outcome, "unknown");
        let answer = complete(&fleet, &client, "report", "after").await.unwrap();
        assert_eq!(outcome(&answer), (503, "not_run"));
        check_outcomes(&fleet);
    });
}

#[test]
fn a_killed_daemon_reports_no_wrong_outcome() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options(0, 1)).await;
        let faults = ServiceFaults { delay_ms: 200, ..ServiceFaults::default() };
        fleet.set_faults(&fleet.servers[0].process, &faults).await.unwrap();
        let mut calls = Vec::new();
        for number in 0..10 {
            let (client, addr) = (client.clone(), fleet.daemons[0].callers());
            calls.push(spawner.spawn(async move {
                let what = format!("save {number}");
                let (path, body) = ("/boards/1", what.as_str());
                let call = Recorded { addr, method: "POST", path, headers: &[], body, what: body };
                client.call(&call).await.map(|answer| answer.outcome)
            }));
        }
        wait_for_run(&fleet, "save 0").await;
        fleet.daemons[0].process.kill();
        for call in calls {
            assert!(call.await.map_or(true, |outcome| outcome == "done"));
        }
        assert_eq!(truthful(&lines(&fleet)), Ok(()));
    });
}

/// Three of nine servers die and the others lose every answer under load, the worst case for
/// retries. Retries must remain a fraction of the requests.
#[test]
fn no_retry_storm_when_a_third_of_the_servers_die() {
    const REQUESTS: usize = 900;
    const BURST: usize = 20;
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options(0, 9)).await;
        let lose = ServiceFaults { lose_answers: u32::MAX, ..ServiceFaults::default() };
        for server in &mut fleet.servers[..3] {
            server.process.kill();
        }
        for server in &fleet.servers[3..] {
            fleet.set_faults(&server.process, &lose).await.unwrap();
        }
        let clock = comfreymast_base::Clock::system();
        let mut calls = Vec::new();
        for number in 0..REQUESTS {
            let (client, addr) = (client.clone(), fleet.daemons[number % 3].callers());
            calls.push(spawner.spawn(async move {
                let what = format!("save {number}");
                let (path, body) = ("/swatches/1", what.as_str());
                let call = Recorded { addr, method: "POST", path, headers: &[], body, what: body };
                client.call(&call).await.unwrap()
            }));
        }
        for call in calls {
            assert_ne!(call.await.outcome, "done");
        }
        let elapsed_s = usize::try_from(clock.now_ms().div_ceil(1_000)).unwrap();
        let lines = lines(&fleet);
        assert_eq!(truthful(&lines), Ok(()));
        let starts = lines.iter().filter(|line| matches!(line.event, Event::CallStart { .. }));
        let retries = starts.count().saturating_sub(REQUESTS);
        let budget = REQUESTS / 10 + fleet.daemons.len() * (BURST + elapsed_s + 1);
        println!("{REQUESTS} requests, {retries} retries, budget {budget}");
        assert!(retries <= budget, "{retries} retries exceed the budget of {budget}");
    });
}
