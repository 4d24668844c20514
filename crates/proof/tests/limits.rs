//! The limits of an organisation apply across all daemons, even while the owner of its slots dies.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::HashSet;

use comfreymast_base::GenerationId;
use comfreymast_fakes::history::{Event, Line};
use comfreymast_net::Spawner;
use comfreymast_proof::{Client, Fleet, FleetOptions};

const LIMIT: usize = 6;
const CALLERS_PER_DAEMON: usize = 5;
const MAX_BURSTS: usize = 4;

fn contract() -> String {
    let hash = comfreymast_contract::KeyHash::of("key-of-estudio-norte");
    format!(
        r#"
organisation = "estudio-norte"

[limits]
concurrent_requests = {LIMIT}
requests_per_s = 1000
tokens_per_s = 1000000

[[keys]]
name = "site"
sha256 = "{hash}"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000
repeatable = true

[[routes]]
prefix = "/drawings"
service = "s"
methods = ["GET"]
repeatable = true
"#
    )
}

/// The highest number of generations that ran at once, according to the engines' history.
fn max_concurrent_generations(history: &str) -> usize {
    let mut running: HashSet<GenerationId> = HashSet::new();
    let mut max_running = 0;
    for line in history.lines() {
        let line: Line = serde_json::from_str(line).unwrap();
        match line.event {
            Event::GenerationStart { generation, .. } => {
                running.insert(generation);
            }
            Event::GenerationEnd { generation, .. } => {
                running.remove(&generation);
            }
            _ => {}
        }
        max_running = max_running.max(running.len());
    }
    max_running
}

/// Calls every daemon at once and returns how many calls were served. Asserts that the others were
/// refused as over the limit and not run.
async fn burst(spawner: &Spawner, fleet: &Fleet) -> usize {
    let mut calls = Vec::new();
    for daemon in &fleet.daemons {
        for _ in 0..CALLERS_PER_DAEMON {
            let client = Client::new(spawner, "key-of-estudio-norte");
            let callers = daemon.callers();
            calls.push(spawner.spawn(async move {
                client.complete(callers, "m", "a room, tokens=150", &[]).await.unwrap()
            }));
        }
    }
    let mut served = 0;
    for call in calls {
        let answer = call.await;
        match answer.status {
            200 => served += 1,
            status => {
                assert_eq!((status, answer.outcome.as_str()), (429, "not_run"));
                assert!(answer.headers.contains_key("retry-after"));
                assert_eq!(answer.json()["error"]["code"], "limit_reached");
            }
        }
    }
    served
}

#[test]
fn the_limit_on_slots_is_never_exceeded_while_daemons_die() {
    Spawner::run(4, |spawner| async move {
        let options = FleetOptions { daemons: 4, ..FleetOptions::default() };
        let mut fleet = Fleet::start(&spawner, options).await.unwrap();
        assert_eq!(fleet.put_contract(0, &contract(), &[]).unwrap().code, 0);
        // Until the daemons have heard from each other, an owner grants few slots.
        let mut served = 0;
        for _ in 0..MAX_BURSTS {
            served = served.max(burst(&spawner, &fleet).await);
        }
        assert!(served >= LIMIT, "served {served}");
        // One of the daemons owns the organisation's slots, so the owner is killed at some point.
        while fleet.daemons.len() > 1 {
            fleet.daemons.remove(0).process.kill();
            burst(&spawner, &fleet).await;
        }
        fleet.publish_vms().await.unwrap();
        fleet.wait_until_settled().await.unwrap();
        let last = fleet.daemons[0].callers();
        let client = Client::new(&spawner, "key-of-estudio-norte");
        let mut answer = client.complete(last, "m", "tokens=5", &[]).await.unwrap();
        while answer.status == 429 {
            answer = client.complete(last, "m", "tokens=5", &[]).await.unwrap();
        }
        assert_eq!(answer.status, 200);
        let max_running = max_concurrent_generations(&fleet.read("history"));
        assert!(max_running <= LIMIT, "{max_running} generations at once");
    });
}

#[test]
fn one_caller_through_one_daemon_may_use_the_full_rate() {
    const LOOKUPS: u32 = 300;
    Spawner::run(4, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        assert_eq!(fleet.put_contract(0, &contract(), &[]).unwrap().code, 0);
        let client = Client::new(&spawner, "key-of-estudio-norte");
        for lookup in 0..LOOKUPS {
            let addr = fleet.daemons[0].callers();
            let answer = client.call(addr, "GET", "/drawings/7", &[], "").await.unwrap();
            assert_eq!(answer.status, 200, "lookup {lookup}: {:?}", answer.body);
        }
    });
}
