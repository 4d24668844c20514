//! A request that kills engines is refused everywhere, and who shared them is not.

#![allow(clippy::unwrap_used)]

mod claims_support;

use claims_support::{lines, start};
use comfreymast_fakes::log_service::LogFaults;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::checks::claims::started;
use comfreymast_proof::checks::outcomes::truthful;
use comfreymast_proof::{
    Answer, Client, DaemonProcess, Fleet, FleetOptions, Recorded, RecordedClient, SseEvent,
};

const THREADS: usize = 4;
const CULPRIT: &str = "crash-the-engine please";
const MAX_DEAD_ENGINES: usize = 3;
/// Longer than a verdict takes.
const JUDGED_MS: u64 = 1_000;
const POLL_MS: u64 = 50;

fn options() -> FleetOptions {
    FleetOptions { engines: 6, servers: 0, ..FleetOptions::default() }
}

/// Asks for the culprit once, without any attempt of the daemon's own beyond the first.
async fn provoke(client: &RecordedClient, daemon: &DaemonProcess) -> Answer {
    let body = format!(r#"{{"model":"m","prompt":"{CULPRIT}"}}"#);
    let call = Recorded {
        addr: daemon.callers(),
        method: "POST",
        path: "/v1/completions",
        headers: &[("comfreymast-kind", "report")],
        body: &body,
        what: CULPRIT,
    };
    client.call(&call).await.unwrap()
}

/// Asks again and again, through one daemon after the other, until the refusal is final.
async fn provoke_until_final(fleet: &Fleet, client: &RecordedClient) -> Answer {
    let mut attempts = 0;
    for daemon in fleet.daemons.iter().cycle() {
        let answer = provoke(client, daemon).await;
        let error = &answer.json()["error"];
        if error["code"] == "quarantined" {
            return answer;
        }
        assert_ne!(answer.outcome, "done");
        if error["code"] == "suspected" {
            // Callers come back as they are told.
            sleep_ms(error["retry_after_ms"].as_u64().unwrap()).await;
            continue;
        }
        attempts += 1;
        assert!(attempts <= MAX_DEAD_ENGINES, "{attempts} attempts and no end: {answer:?}");
    }
    unreachable!("the daemons go round")
}

fn dead_engines(fleet: &mut Fleet) -> usize {
    let codes = fleet.engines.iter_mut().map(|engine| engine.process.exit_code().unwrap());
    codes.filter(Option::is_some).count()
}

fn quarantined(daemon: &DaemonProcess) -> serde_json::Value {
    let list = daemon.cli().run(&["quarantine", "list", "--format", "json"]).unwrap();
    assert_eq!(list.code, 0, "{list:?}");
    serde_json::from_str(&list.stdout).unwrap()
}

async fn wait_for_quarantines(fleet: &Fleet, count: usize) {
    for daemon in &fleet.daemons {
        let listed = || quarantined(daemon).as_array().map(Vec::len) == Some(count);
        fleet.wait_for("the quarantine on the log", listed).await.unwrap();
    }
}

/// Two innocent streams through each daemon, each of its own prompt; a repeatable kind of work.
async fn innocents(spawner: &Spawner, fleet: &Fleet) -> Vec<Innocent> {
    let client = Client::new(spawner, claims_support::KEY);
    let mut innocents = Vec::new();
    for (number, daemon) in fleet.daemons.iter().chain(&fleet.daemons).enumerate() {
        let prompt = format!("innocent {number}, tokens=600");
        let headers = [("comfreymast-kind", "draft")];
        let mut reader = client.stream(daemon.callers(), "m", &prompt, &headers).await.unwrap();
        assert_eq!(reader.status, 200);
        // It runs for sure once it has said something.
        let first = reader.next().await.unwrap();
        innocents.push(Innocent {
            rest: spawner.spawn(async move {
                let rest = reader.rest().await;
                std::iter::once(first).chain(rest).collect()
            }),
        });
    }
    innocents
}

struct Innocent {
    rest: async_executor::Task<Vec<SseEvent>>,
}

/// Every innocent stream is whole.
async fn assert_whole(innocents: Vec<Innocent>) {
    for innocent in innocents {
        let events = innocent.rest.await;
        let last = events.last().map(|event| event.data.as_str());
        assert_eq!(last, Some("[DONE]"), "{:?}", events.last());
        let texts: Vec<_> = events.iter().map(SseEvent::text).collect();
        let mark = texts[0].split_once('.').unwrap().0.to_owned();
        let expected: Vec<_> = (0..600).map(|index| format!("{mark}.{index} ")).collect();
        assert_eq!(texts[..600], expected);
    }
}

#[test]
fn a_crashing_request_is_quarantined_and_innocent_streams_finish() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options()).await;
        let innocents = innocents(&spawner, &fleet).await;
        let refused = provoke_until_final(&fleet, &client).await;
        assert_eq!((refused.status, refused.outcome.as_str()), (422, "not_run"));
        assert!(!refused.headers.contains_key("retry-after"));
        wait_for_quarantines(&fleet, 1).await;
        for daemon in &fleet.daemons {
            assert_eq!(provoke(&client, daemon).await.status, 422);
        }
        assert_whole(innocents).await;
        let dead = dead_engines(&mut fleet);
        assert!((2..=MAX_DEAD_ENGINES).contains(&dead), "{dead} engines died");
        wait_for_quarantines(&fleet, 1).await;
        // Only the culprit's requests are in the history.
        let mut lines = lines(&fleet);
        lines.retain(|line| started(&line.event).is_none_or(|what| what == CULPRIT));
        assert_eq!(truthful(&lines), Ok(()));
    });
}

#[test]
fn a_new_daemon_learns_of_a_quarantine_from_the_log_and_an_operator_lifts_it() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options()).await;
        provoke_until_final(&fleet, &client).await;
        wait_for_quarantines(&fleet, 1).await;
        for daemon in &mut fleet.daemons {
            daemon.process.kill();
        }
        fleet.daemons.clear();
        let daemon = fleet.start_daemon("d9").unwrap();
        fleet.daemons.push(daemon);
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        assert_eq!(provoke(&client, &fleet.daemons[0]).await.status, 422);

        let cli = fleet.daemons[0].cli();
        let entry = &quarantined(&fleet.daemons[0])[0];
        assert_eq!(entry["deaths"], 2);
        let fingerprint = entry["fingerprint"].as_str().unwrap();
        assert_eq!(cli.run(&["quarantine", "lift", "no-fingerprint"]).unwrap().code, 1);
        assert_eq!(cli.run(&["quarantine", "lift", fingerprint]).unwrap().code, 0);
        wait_for_quarantines(&fleet, 0).await;
        let dead = dead_engines(&mut fleet);
        assert_eq!(provoke(&client, &fleet.daemons[0]).await.outcome, "unknown");
        assert_eq!(dead_engines(&mut fleet), dead + 1);
    });
}

#[test]
fn with_the_log_down_the_daemons_still_refuse_it_together() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, client) = start(&spawner, options()).await;
        let down = LogFaults { down: true, ..LogFaults::default() };
        fleet.set_faults(&fleet.log, &down).await.unwrap();
        provoke_until_final(&fleet, &client).await;
        for daemon in &fleet.daemons {
            let refuses = async || provoke(&client, daemon).await.status == 422;
            // A daemon judges a moment after the reports came in.
            while !refuses().await {
                sleep_ms(10).await;
            }
        }
        assert!(dead_engines(&mut fleet) <= MAX_DEAD_ENGINES);
        fleet.set_faults(&fleet.log, &LogFaults::default()).await.unwrap();
        wait_for_quarantines(&fleet, 1).await;
    });
}

/// A rack fails: engines that are killed together under the same streams are nobody's fault.
#[test]
fn streams_whose_engines_are_killed_are_not_quarantined() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, _) = start(&spawner, options()).await;
        let innocents = innocents(&spawner, &fleet).await;
        for engine in [0, 1, 2] {
            fleet.engines[engine].process.kill();
        }
        assert_whole(innocents).await;
        for daemon in &fleet.daemons {
            assert_eq!(quarantined(daemon), serde_json::json!([]));
        }
    });
}

/// A daemon that was frozen when an engine died reports the death late; that is not a second one.
#[test]
fn a_late_report_of_a_frozen_daemon_counts_no_second_death() {
    Spawner::run(THREADS, |spawner| async move {
        let (mut fleet, _) = start(&spawner, FleetOptions { engines: 1, ..options() }).await;
        let client = Client::new(&spawner, claims_support::KEY);
        let mut readers = Vec::new();
        for daemon in &fleet.daemons[..2] {
            let headers = [("comfreymast-kind", "report")];
            let prompt = "innocent, tokens=9000";
            let mut reader = client.stream(daemon.callers(), "m", prompt, &headers).await.unwrap();
            assert!(reader.next().await.is_some());
            readers.push(reader);
        }
        fleet.daemons[0].process.signal("STOP").unwrap();
        fleet.engines[0].process.kill();
        // By then the report of the second daemon is old.
        let lost = || {
            let status = fleet.daemons[1].cli().run(&["status", "--format", "json"]).unwrap();
            status.stdout.contains("\"silent_peers\": [\n    \"d0\"\n  ]")
        };
        fleet.wait_for("a lost daemon", lost).await.unwrap();
        fleet.daemons[0].process.signal("CONT").unwrap();
        let reported = || fleet.read("d0.err").contains("E0711");
        fleet.wait_for("the late report", reported).await.unwrap();
        for _ in 0..JUDGED_MS / POLL_MS {
            assert_eq!(quarantined(&fleet.daemons[1]), serde_json::json!([]));
            sleep_ms(POLL_MS).await;
        }
    });
}
