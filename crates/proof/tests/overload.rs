//! Overload of an engine, with real processes: the daemon queues the work, refuses as not run what
//! cannot be done in time, and lets plain calls pass.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_fakes::history::Event;
use comfreymast_net::Spawner;
use comfreymast_proof::{Answer, Client, Fleet, FleetOptions, OPERATOR_KEY};

const KEY: &str = "key-of-estudio-norte";
const HELD_METRIC: &str = "comfreymast_requests_held_total";
const WAITING_METRIC: &str = "comfreymast_requests_waiting";

/// One engine with memory for 2,000 tokens; the contract allows answers of up to 1,000 tokens.
fn options(daemons: usize) -> FleetOptions {
    FleetOptions {
        daemons,
        engines: 1,
        engine_flags: ["--memory-tokens", "2000", "--step-us", "200"].map(str::to_owned).to_vec(),
        ..FleetOptions::default()
    }
}

fn contract(deadline_ms: u64) -> String {
    let work = |kind: &str, priority: u8| {
        format!(
            "[[work]]\nkind = \"{kind}\"\nmodel = \"m\"\npriority = {priority}\n\
             max_output_tokens = 1000\nrepeatable = true\n\
             [work.service_level]\ndeadline_ms = {deadline_ms}\n"
        )
    };
    let hash = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713";
    format!(
        "organisation = \"estudio-norte\"\n\
         [limits]\nconcurrent_requests = 1000\nrequests_per_s = 10000\ntokens_per_s = 1000000\n\
         [[keys]]\nname = \"site\"\nsha256 = \"{hash}\"\n{}{}\
         [[routes]]\nprefix = \"/drawings\"\nservice = \"s\"\nmethods = [\"GET\"]\n",
        work("report", 7),
        work("verdict", 4),
    )
}

async fn start(spawner: &Spawner, daemons: usize, deadline_ms: u64) -> Fleet {
    let fleet = Fleet::start(spawner, options(daemons)).await.unwrap();
    let put = fleet.put_contract(0, &contract(deadline_ms), &[]).unwrap();
    assert_eq!(put.code, 0, "{put:?}");
    fleet
}

/// The value of one metric of a daemon.
async fn metric(spawner: &Spawner, fleet: &Fleet, daemon: usize, name: &str) -> u64 {
    let operator = Client::new(spawner, OPERATOR_KEY);
    let addr = fleet.daemons[daemon].operators();
    let page = operator.call(addr, "GET", "/metrics", &[], "").await.unwrap();
    let text = String::from_utf8_lossy(&page.body).into_owned();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// Waits until a metric of a daemon is above a bound.
async fn wait_above(spawner: &Spawner, fleet: &Fleet, daemon: usize, name: &str, bound: u64) {
    let seen = || async { metric(spawner, fleet, daemon, name).await > bound };
    fleet.wait_until(name, seen).await.unwrap();
}

/// Sends `count` concurrent non-streaming requests; the answers may arrive in any order.
fn complete_many(
    spawner: &Spawner,
    addr: SocketAddr,
    count: usize,
    prompt: &'static str,
) -> Vec<async_executor::Task<Answer>> {
    let complete = |_| {
        let client = Client::new(spawner, KEY);
        spawner.spawn(async move {
            client.complete(addr, "m", prompt, &[("comfreymast-kind", "report")]).await.unwrap()
        })
    };
    (0..count).map(complete).collect()
}

async fn load(fleet: &Fleet, field: &str) -> u64 {
    fleet.page(&fleet.engines[0].process, "/load").await[field].as_u64().unwrap()
}

fn starts(fleet: &Fleet) -> usize {
    let lines = fleet.lines();
    lines.iter().filter(|line| matches!(line.event, Event::GenerationStart { .. })).count()
}

async fn set_stall(fleet: &Fleet, stall: bool) {
    let faults = EngineFaults { stall, ..EngineFaults::default() };
    fleet.set_faults(&fleet.engines[0].process, &faults).await.unwrap();
}

#[test]
fn work_queued_at_the_daemon_is_preempted_five_times_less() {
    const WARMUP_REQUESTS: usize = 24;
    common::run(|spawner| async move {
        let fleet = start(&spawner, 1, 600_000).await;
        let addr = fleet.daemons[0].callers();
        // The daemon learns the length of answers.
        for _ in 0..WARMUP_REQUESTS {
            for answer in complete_many(&spawner, addr, 1, "a room, tokens=600") {
                assert_eq!(answer.await.status, 200);
            }
        }
        for answer in complete_many(&spawner, addr, 12, "a room, tokens=600") {
            assert_eq!(answer.await.status, 200);
        }
        let queued_preemptions = load(&fleet, "preemptions").await;
        assert!(metric(&spawner, &fleet, 0, HELD_METRIC).await > 0);

        // The same work sent directly to the engine is preempted.
        let engine = fleet.engines[0].vm.addr;
        let readers: Vec<_> = (1_u8..=12)
            .map(|number| {
                let body = format!(
                    "{{\"generation\":\"{}\",\"fence\":1,\"model\":\"m\",\
                     \"prompt\":\"a room, tokens=600\",\"max_tokens\":1000,\"priority\":7}}",
                    format!("{number:02x}").repeat(16)
                );
                let client = Client::new(&spawner, KEY);
                spawner.spawn(async move {
                    let mut reader =
                        client.open(engine, "POST", "/v1/completions", &[], &body).await.unwrap();
                    reader.rest().await.len()
                })
            })
            .collect();
        for reader in readers {
            assert_eq!(reader.await, 601);
        }
        let all_preemptions = load(&fleet, "preemptions").await;
        let direct_preemptions = all_preemptions - queued_preemptions;
        assert!(direct_preemptions > 0);
        assert!(
            5 * queued_preemptions <= direct_preemptions,
            "{queued_preemptions} queued, {direct_preemptions} direct"
        );
    });
}

#[test]
fn lookups_are_not_delayed_by_waiting_generations() {
    common::run(|spawner| async move {
        let fleet = start(&spawner, 1, 600_000).await;
        let addr = fleet.daemons[0].callers();
        set_stall(&fleet, true).await;
        let answers = complete_many(&spawner, addr, 60, "a room, tokens=100");
        wait_above(&spawner, &fleet, 0, WAITING_METRIC, 0).await;
        let client = Client::new(&spawner, KEY);
        for _ in 0..20 {
            let answer = client.call(addr, "GET", "/drawings/7", &[], "").await.unwrap();
            assert_eq!((answer.status, answer.outcome.as_str()), (200, "done"));
        }
        // No generation has finished meanwhile, so the lookups waited for none.
        assert!(metric(&spawner, &fleet, 0, WAITING_METRIC).await > 0);
        assert!(answers.iter().all(|answer| !answer.is_finished()));
        set_stall(&fleet, false).await;
        for answer in answers {
            assert_eq!(answer.await.status, 200);
        }
    });
}

#[test]
fn work_that_cannot_meet_its_deadline_is_refused_as_not_run_with_retry_after() {
    const REQUESTS: usize = 60;
    common::run(|spawner| async move {
        let fleet = start(&spawner, 1, 1_000).await;
        set_stall(&fleet, true).await;
        let answers =
            complete_many(&spawner, fleet.daemons[0].callers(), REQUESTS, "a room, tokens=100");
        let refused_metric = "comfreymast_refused_overloaded_total";
        wait_above(&spawner, &fleet, 0, refused_metric, 0).await;
        // The daemon refuses waiting work by itself, while the engine still stalls.
        let none_waits = || async { metric(&spawner, &fleet, 0, WAITING_METRIC).await == 0 };
        fleet.wait_until("an empty queue", none_waits).await.unwrap();
        set_stall(&fleet, false).await;
        let mut refused = 0;
        for answer in answers {
            let answer = answer.await;
            if answer.status != 503 {
                continue;
            }
            refused += 1;
            assert_eq!(answer.outcome, "not_run");
            assert_eq!(answer.json()["error"]["code"], "overloaded");
            let retry_after = answer.headers.get("retry-after").unwrap().to_str().unwrap();
            assert!(retry_after.parse::<u64>().unwrap() >= 1);
        }
        assert!(refused > 0);
        assert_eq!(starts(&fleet) + refused, REQUESTS);
    });
}

#[test]
fn a_daemon_accounts_for_what_its_peer_runs() {
    common::run(|spawner| async move {
        let fleet = start(&spawner, 2, 600_000).await;
        // The stalled engine keeps reporting that nothing runs.
        let lagging =
            EngineFaults { stall: true, load_lag_ms: 3_600_000, ..EngineFaults::default() };
        let engine = &fleet.engines[0].process;
        let first = complete_many(&spawner, fleet.daemons[0].callers(), 60, "a room, tokens=100");
        fleet.set_faults(engine, &lagging).await.unwrap();
        wait_above(&spawner, &fleet, 0, WAITING_METRIC, 0).await;
        let second = complete_many(&spawner, fleet.daemons[1].callers(), 60, "a room, tokens=100");
        wait_above(&spawner, &fleet, 1, WAITING_METRIC, 0).await;
        set_stall(&fleet, false).await;
        for answer in first.into_iter().chain(second) {
            assert_eq!(answer.await.status, 200);
        }
    });
}
