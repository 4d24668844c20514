//! Case 9: engines with two versions of the weights, one of which crashes in the middle of streams.

use std::io::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use standins::daemon::{
    Deployment, engine_configuration, engine_entry, resumable_route, temporary_folder,
};
use standins::engine::{Build, Engine, read_stream, run_engine};
use standins::record::Record;
use standins::store::Store;
use standins::{NOT_RUN, RULE_BROKEN, RULE_HELD, has_trouble};

const MEMORY_MB: u64 = 160;
const MAX_FDS: u64 = 4_100;
const MACHINES: u8 = 2;
/// One of six is within the share of servers that crash at once.
const ENGINES: usize = 6;
const STREAMS: usize = 36;
const EVENTS: usize = 40;
const INTERVAL_MS: u64 = 60;
/// When the engine crashes.
const CRASH_AT: Duration = Duration::from_millis(1_000);
const TIMEOUT_MS: u64 = 20_000;
const READY: Duration = Duration::from_secs(10);

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let code = match arguments.get(1).map(String::as_str) {
        Some("engine") => run_engine(&arguments),
        Some(record) => play(record).unwrap_or_else(|error| {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        }),
        None => NOT_RUN,
    };
    std::process::exit(code);
}

fn play(record_path: &str) -> Result<i32> {
    let root = PathBuf::from(std::env::current_dir()?);
    let record = Arc::new(Record::create(record_path)?);
    let folder = temporary_folder()?;
    let (store, store_addr) = Store::start()?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let build = Build {
            name: format!("i-{number}"),
            weights: 1 + (number % 2) as u32,
            software: "v1".to_owned(),
            events: EVENTS,
            interval_ms: INTERVAL_MS,
        };
        let engine = Engine::start(build, "127.0.0.1:0", &record)?;
        let Build { name, weights, .. } = &engine.build;
        store.put("keyed.servers", name, &engine_entry(engine.addr, *weights));
        record.line(&format!("{name} has weights {weights}"));
        engines.push(engine);
    }
    let route = resumable_route("draft", TIMEOUT_MS);
    store.put("keyed.op", "config", &engine_configuration(&route));
    let deployment = Deployment {
        store: store_addr,
        folder: folder.clone(),
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    let mut machines = deployment.machines(MACHINES)?;
    for machine in &mut machines {
        machine.start(&root)?;
    }
    if !machines.iter().all(|machine| machine.wait_ready(READY)) {
        record.line("a daemon is not ready");
        return Ok(NOT_RUN);
    }
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (addr, record) = (machines[number % machines.len()].front, record.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let answer = read_stream(addr, &id, number, TIMEOUT_MS);
                record.line(&format!("{id}: {answer:?}"));
                answer
            })
        })
        .collect();
    thread::sleep(CRASH_AT);
    if has_trouble() {
        record.line(&format!("{} is killed", engines[0].build.name));
        engines[0].kill();
    }
    let (mut whole, mut joined) = (0, 0);
    for client in clients {
        match client.join().unwrap() {
            Ok(answer) => {
                let is_whole = answer.status == "200" && answer.is_ended && answer.pieces == EVENTS;
                whole += usize::from(is_whole);
                joined += usize::from(is_whole && answer.other_weights > 0);
            }
            Err(error) => record.line(&format!("a stream failed: {error}")),
        }
    }
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
    record.line(&format!(
        "{whole} of {STREAMS} streams are whole; {joined} of them have pieces of two \
        versions of the weights, and nothing says so"
    ));
    if whole == 0 {
        return Ok(NOT_RUN);
    }
    Ok(if joined > 0 { RULE_BROKEN } else { RULE_HELD })
}
