//! Machines come and go, then the store turns three machines away while something changes: a key
//! is revoked, or a server leaves.

use std::collections::BTreeMap;
use std::io::Result;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::daemon::{Fleet, Machine, loopback};
use crate::record::Recorder;
use crate::store::{Entrance, Store};
use crate::upstream::Upstream;
use crate::{Outcome, setting};

/// Zones and how many machines each has, as in `sites/aam-bogota.toml`.
const ZONES: [(&str, u8); 4] =
    [("bog-salitre", 3), ("bog-usaquen", 2), ("bog-fontibon", 2), ("bog-chapinero", 2)];
/// The machines that the store turns away: three of nine, within the share of .35.
const TURNED_AWAY: [&str; 3] =
    ["front-bog-salitre-1", "front-bog-salitre-2", "front-bog-usaquen-1"];
/// `configApplyMs` and `drainMs` of the settings.
const BOUND_MS: u64 = 2_000;
/// How long the store turns machines away, within the 9 s of the site file.
const TURNED_AWAY_MS: u64 = 6_500;
/// How long a server serves after the store has its notice: `drainMs` and a little longer.
const SERVES_ON_MS: u64 = 5_000;
/// The pause between two rounds, longer than `contactMs`.
const CALM_MS: u64 = 5_000;
const ROUNDS: usize = 3;
/// How many machines come and go at the same time.
const REPLACED_AT_ONCE: usize = 20;
const REPLACED_LIFE_MS: u64 = 1_500;
const REQUEST_INTERVAL_MS: u64 = 50;
const WORK_MS: u64 = 10;
/// The key that stays.
const KEPT_KEY: &str = "kept";

/// What changes while the store turns machines away.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A key is revoked, in a new configuration.
    KeyRevoked,
    /// A server says that it leaves.
    ServerLeaves,
}

/// A request that a client has sent.
struct Sent {
    id: String,
    machine: String,
    sent_ms: u64,
}

/// Plays the case.
pub fn play(recorder: &Arc<Recorder>, change: Change, has_trouble: bool) -> Result<Outcome> {
    let replaced = setting("REPLACED", 100);
    let settle_ms = setting("SETTLE_MS", 34_000);
    let store = Store::default();
    let start_upstream = |index: usize| {
        let zone = ZONES[index % ZONES.len()].0;
        Upstream::start(&format!("i-{index}"), "lookups", zone, WORK_MS, &store, recorder)
    };
    let mut upstreams = vec![start_upstream(0)?, start_upstream(1)?];
    let mut keys: Vec<String> = (0..ROUNDS).map(|round| format!("revoked{round}")).collect();
    write_configuration(&store, 1, &keys);

    let mut fleet = Fleet::new(&ZONES.map(|(zone, _)| zone))?;
    let peer_port = fleet.peer_port;
    fleet.seeds = (0..3).map(|zone| format!("{}:{peer_port}", loopback(zone, 1))).collect();
    let mut machines = Vec::new();
    let mut entrances: BTreeMap<String, Entrance> = BTreeMap::new();
    for (zone_index, (zone, count)) in ZONES.into_iter().enumerate() {
        for number in 1..=count {
            let name = format!("front-{zone}-{number}");
            let entrance = store.open()?;
            let ip = loopback(zone_index, number);
            machines.push(fleet.start(&name, zone, ip, entrance.addr)?);
            entrances.insert(name, entrance);
        }
    }
    for machine in &machines {
        machine.wait_ready()?;
    }
    recorder.say(&format!("{} machines are ready", machines.len()));
    replace_machines(recorder, &fleet, &store, replaced)?;
    recorder.say(&format!("{replaced} further machines have come and gone"));
    thread::sleep(Duration::from_millis(settle_ms));

    let mut outcome = Outcome::Held;
    for round in 0..ROUNDS {
        if has_trouble {
            TURNED_AWAY.iter().for_each(|name| entrances[*name].silence());
            recorder.say(&format!("round {round}: the store answers no more to {TURNED_AWAY:?}"));
        }
        let mut key = KEPT_KEY.to_owned();
        let leaving = upstreams.remove(0);
        match change {
            Change::KeyRevoked => {
                key = keys.remove(0);
                write_configuration(&store, 2 + round as u64, &keys);
                upstreams.push(leaving.clone());
            }
            Change::ServerLeaves => {
                // The one that follows is ready first.
                upstreams.push(start_upstream(upstreams.len() + 1 + round)?);
                leaving.register(&store, "draining");
            }
        }
        let acknowledged_ms = recorder.now_ms();
        let text = match change {
            Change::KeyRevoked => format!("{key} is gone"),
            Change::ServerLeaves => format!("{} is draining", leaving.name),
        };
        recorder.say(&format!("round {round}: the store has acknowledged that {text}"));
        let sent = thread::scope(|scope| {
            if change == Change::ServerLeaves {
                scope.spawn(|| {
                    thread::sleep(Duration::from_millis(SERVES_ON_MS));
                    leaving.end(&store);
                    recorder.say(&format!("round {round}: {} has ended", leaving.name));
                });
            }
            send_with(recorder, &machines, &key, acknowledged_ms + TURNED_AWAY_MS)
        });
        let late = match change {
            Change::KeyRevoked => run_with_old_key(recorder, &sent, acknowledged_ms),
            Change::ServerLeaves => {
                arrived_after_notice(recorder, &sent, &leaving.name, acknowledged_ms)
            }
        };
        for (name, (count, last_ms)) in &late {
            let is_in_touch = !has_trouble || !TURNED_AWAY.contains(&name.as_str());
            let touch = if is_in_touch { "in touch" } else { "turned away, does not count" };
            let text = match change {
                Change::KeyRevoked => format!("requests with {key} were sent and run"),
                Change::ServerLeaves => format!("requests reached {}", leaving.name),
            };
            recorder.say(&format!(
                "round {round}: {name} ({touch}): {count} {text} later than {BOUND_MS} ms after \
                 that, the last {last_ms} ms"
            ));
            if is_in_touch {
                outcome = Outcome::Broken;
            }
        }
        entrances.values().filter(|_| has_trouble).for_each(Entrance::heal);
        thread::sleep(Duration::from_millis(CALM_MS));
    }
    Ok(outcome)
}

fn write_configuration(store: &Store, version: u64, keys: &[String]) {
    let keys: Vec<_> = keys.iter().map(|key| format!(",\"{key}\"")).collect();
    let keys = keys.concat();
    let configuration = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"case.example\",\
         \"pathPrefix\":\"/lookup/\",\"kind\":\"safe\",\"service\":\"lookups\",\
         \"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"lookups\",\"maxConnections\":110,\
         \"healthPath\":\"/health\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"studio\",\"apiKeys\":[\"{KEPT_KEY}\"{keys}]}}]}}"
    );
    store.put("keyed.op", "config", &configuration);
}

/// Adds machines and removes each of them for good, a few at a time.
fn replace_machines(recorder: &Recorder, fleet: &Fleet, store: &Store, count: usize) -> Result<()> {
    let mut next = 0;
    while next < count {
        let until = count.min(next + REPLACED_AT_ONCE);
        let mut batch: Vec<Machine> = Vec::new();
        for index in next..until {
            let zone = index % ZONES.len();
            let number = 10 + (index / ZONES.len()) as u8;
            let name = format!("front-{}-{number}", ZONES[zone].0);
            let entrance = store.open()?;
            batch.push(fleet.start(&name, ZONES[zone].0, loopback(zone, number), entrance.addr)?);
        }
        for machine in &batch {
            if let Err(error) = machine.wait_ready() {
                recorder.say(&error.to_string());
            }
        }
        thread::sleep(Duration::from_millis(REPLACED_LIFE_MS));
        next = until;
    }
    Ok(())
}

/// Sends requests with `key` to all machines, one after the other to each, until `until_ms`.
fn send_with(
    recorder: &Arc<Recorder>,
    machines: &[Machine],
    key: &str,
    until_ms: u64,
) -> Vec<Sent> {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let all: Mutex<Vec<Sent>> = Mutex::default();
    thread::scope(|scope| {
        for machine in machines {
            let all = &all;
            scope.spawn(move || {
                let mut client = None;
                while recorder.now_ms() < until_ms {
                    thread::sleep(Duration::from_millis(REQUEST_INTERVAL_MS));
                    if client.is_none() {
                        client = Client::open(machine.front, 2_000).ok();
                    }
                    let Some(open) = client.as_mut() else { continue };
                    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
                    let headers = format!(
                        "X-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
                         Authorization: Bearer {key}\r\n"
                    );
                    let sent_ms = recorder.now_ms();
                    recorder.line(&format!("sent     {id} with {key} to {}", machine.name));
                    let answer = open.call("GET /lookup/1", &headers, b"");
                    let status = answer.as_ref().map_or(0, |(head, _)| head.status());
                    recorder.line(&format!("answered {id} {status}"));
                    if answer.is_err() {
                        client = None;
                    }
                    let sent = Sent { id, machine: machine.name.clone(), sent_ms };
                    all.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
                }
            });
        }
    });
    all.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// How many requests of each machine ran that were sent later than the bound, and how late the
/// last one was.
fn run_with_old_key(
    recorder: &Recorder,
    sent: &[Sent],
    acknowledged_ms: u64,
) -> BTreeMap<String, (u32, u64)> {
    let mut late: BTreeMap<String, (u32, u64)> = BTreeMap::new();
    for request in sent.iter().filter(|request| !recorder.runs(&request.id).is_empty()) {
        let after_ms = request.sent_ms.saturating_sub(acknowledged_ms);
        if after_ms > BOUND_MS {
            let entry = late.entry(request.machine.clone()).or_default();
            *entry = (entry.0 + 1, entry.1.max(after_ms));
        }
    }
    late
}

/// How many requests of each machine reached the leaving server later than the bound, and how late
/// the last one was.
fn arrived_after_notice(
    recorder: &Recorder,
    sent: &[Sent],
    leaving: &str,
    acknowledged_ms: u64,
) -> BTreeMap<String, (u32, u64)> {
    let mut late: BTreeMap<String, (u32, u64)> = BTreeMap::new();
    for request in sent {
        for run in recorder.runs(&request.id).iter().filter(|run| run.upstream == leaving) {
            let after_ms = run.at_ms.saturating_sub(acknowledged_ms);
            if after_ms > BOUND_MS {
                let entry = late.entry(request.machine.clone()).or_default();
                *entry = (entry.0 + 1, entry.1.max(after_ms));
            }
        }
    }
    late
}
