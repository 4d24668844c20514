//! Clients send bodies of the longest length that the configuration allows, and many come at once.

use std::io::Result;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::daemon::{Fleet, Machine, loopback};
use crate::record::Recorder;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Outcome, setting};

const ZONES: [&str; 3] = ["bog-salitre", "bog-usaquen", "bog-fontibon"];
/// `maxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 4_194_304;
/// `memoryMb` of the settings, in the larger reading of a megabyte.
const MEMORY_LIMIT_BYTES: u64 = 110 * 1024 * 1024;
/// Clients of each machine, each with one request at a time.
const USUAL_CLIENTS: usize = 7;
/// Clients of each machine in a burst: at most 1.7 times as many, as in the site file.
const BURST_CLIENTS: usize = 11;
const WORK_MS: u64 = 900;
const DEADLINE_MS: u64 = 4_000;
const WARM_UP_MS: u64 = 5_000;
/// How long a burst lasts, and the calm before the next.
const BURST_MS: u64 = 3_000;
const CALM_MS: u64 = 9_000;
const BURSTS: usize = 3;
/// The pause before the platform starts an ended process again.
const RESTART_MS: u64 = 1_000;
/// A machine is not in touch for as long after its start.
const CONTACT_MS: u64 = 3_000;
/// LOST allows so many requests.
const LOST_ALLOWED: usize = 3;

/// A machine as its clients and the platform see it.
struct Watched {
    machine: Mutex<Machine>,
    /// When the platform last ended it for its memory; 0 if never.
    kills: AtomicU64,
    peak_bytes: AtomicU64,
}

/// Plays the case.
pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Result<Outcome> {
    let usual_clients = setting("CLIENTS", USUAL_CLIENTS);
    let burst_clients = setting("BURST_CLIENTS", BURST_CLIENTS);
    let store = Store::default();
    for (index, zone) in ZONES.into_iter().enumerate() {
        Upstream::start(&format!("i-{index}"), "drawings", zone, WORK_MS, &store, recorder)?;
    }
    store.put(
        "keyed.op",
        "config",
        &format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"case.example\",\
         \"pathPrefix\":\"/drawing/\",\"kind\":\"unsafe\",\"service\":\"drawings\",\
         \"timeoutMs\":{DEADLINE_MS},\"targetLatencyMs\":1500,\"priority\":2,\"maxAttempts\":1,\
         \"public\":true}}],\"services\":[{{\"name\":\"drawings\",\"maxConnections\":110,\
         \"healthPath\":\"/health\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":{MAX_BODY_BYTES},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ),
    );
    let fleet = Fleet::new(&ZONES)?;
    let mut watched = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let ip = loopback(index, 1);
        let machine = fleet.start(&format!("front-{zone}-1"), zone, ip, store.open()?.addr)?;
        machine.wait_ready()?;
        watched.push(Watched {
            machine: Mutex::new(machine),
            kills: AtomicU64::new(0),
            peak_bytes: AtomicU64::new(0),
        });
    }
    recorder.say(&format!("{} machines are ready", watched.len()));
    let (ended, is_burst) = (AtomicBool::new(false), AtomicBool::new(false));
    let lost: Mutex<Vec<String>> = Mutex::default();
    let body = vec![b'x'; MAX_BODY_BYTES];
    thread::scope(|scope| {
        for watched in &watched {
            scope.spawn(|| enforce_memory(recorder, watched, &ended));
            for number in 0..burst_clients {
                let is_extra = number >= usual_clients;
                let (ended, is_burst, lost, body) = (&ended, &is_burst, &lost, &body);
                scope.spawn(move || {
                    let comes = || !is_extra || is_burst.load(Ordering::SeqCst);
                    send(recorder, watched, body, comes, ended, lost);
                });
            }
        }
        thread::sleep(Duration::from_millis(WARM_UP_MS));
        for burst in 0..BURSTS {
            if has_trouble {
                is_burst.store(true, Ordering::SeqCst);
                recorder.say(&format!("burst {burst}: {burst_clients} clients at each machine"));
            }
            thread::sleep(Duration::from_millis(BURST_MS));
            is_burst.store(false, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(CALM_MS));
        }
        ended.store(true, Ordering::SeqCst);
    });
    let lost = lost.into_inner().unwrap_or_else(PoisonError::into_inner);
    for watched in &watched {
        let machine = watched.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let peak_mb = watched.peak_bytes.load(Ordering::SeqCst) as f64 / 1e6;
        let kills = watched.kills.load(Ordering::SeqCst);
        recorder.say(&format!(
            "{}: at most {peak_mb:.0} MB, ended {kills} times for its memory",
            machine.name
        ));
    }
    recorder.say(&format!(
        "{} requests were sent on a kept connection, run by a sound server, and their connection \
         closed without an answer; {LOST_ALLOWED} are allowed",
        lost.len()
    ));
    Ok(if lost.len() > LOST_ALLOWED { Outcome::Broken } else { Outcome::Held })
}

/// Kills the process when it has more memory than its machine, as the platform does, and starts it
/// again.
fn enforce_memory(recorder: &Recorder, watched: &Watched, ended: &AtomicBool) {
    const POLL_MS: u64 = 10;
    while !ended.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(POLL_MS));
        let mut machine = watched.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let resident_bytes = machine.resident_bytes();
        watched.peak_bytes.fetch_max(resident_bytes, Ordering::SeqCst);
        if resident_bytes <= MEMORY_LIMIT_BYTES {
            continue;
        }
        machine.kill();
        watched.kills.fetch_add(1, Ordering::SeqCst);
        recorder.say(&format!(
            "{} has {} MB, more than memoryMb: the platform ends it",
            machine.name,
            resident_bytes / 1_000_000
        ));
        thread::sleep(Duration::from_millis(RESTART_MS));
        if machine.start().is_err() {
            recorder.say(&format!("{} does not start", machine.name));
        }
    }
}

/// One client: sends requests one after the other for as long as it `comes`.
fn send(
    recorder: &Recorder,
    watched: &Watched,
    body: &[u8],
    comes: impl Fn() -> bool,
    ended: &AtomicBool,
    lost: &Mutex<Vec<String>>,
) {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let (front, name) = {
        let machine = watched.machine.lock().unwrap_or_else(PoisonError::into_inner);
        (machine.front, machine.name.clone())
    };
    let mut client: Option<Client> = None;
    while !ended.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        if !comes() {
            client = None;
            continue;
        }
        if client.is_none() {
            client = Client::open(front, DEADLINE_MS + 500).ok();
        }
        let Some(open) = client.as_mut() else { continue };
        let is_kept = open.sent > 0;
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n");
        let sent_ms = recorder.now_ms();
        recorder.line(&format!("sent     {id} {} B to {name}", body.len()));
        let answer = open.call("POST /drawing/1", &headers, body);
        let took_ms = recorder.now_ms() - sent_ms;
        match answer {
            Ok((head, _)) => recorder.line(&format!("answered {id} {}", head.status())),
            Err(error) => {
                recorder.line(&format!("closed   {id} after {took_ms} ms: {error}"));
                client = None;
                let is_in_touch = sent_ms > CONTACT_MS;
                if is_kept && is_in_touch && took_ms < DEADLINE_MS && !recorder.runs(&id).is_empty()
                {
                    lost.lock().unwrap_or_else(PoisonError::into_inner).push(id);
                }
            }
        }
    }
}
