//! Case 8: the platform's store moves to another address, which the settings files say.

use std::io::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use standins::daemon::{
    Deployment, Machine, ask, configuration_version, route, server_entry, temporary_folder,
};
use standins::record::Record;
use standins::server::Server;
use standins::store::Store;
use standins::{NOT_RUN, RULE_BROKEN, RULE_HELD, has_trouble};

const MEMORY_MB: u64 = 88;
const MAX_FDS: u64 = 4_100;
const MACHINES: u8 = 3;
const READY: Duration = Duration::from_secs(10);
/// How long the store is reached at both addresses after the signal.
const BOTH: Duration = Duration::from_secs(5);
/// `contactMs` and more, after the last of the old connections to the store has ended.
const CALM: Duration = Duration::from_secs(10);
/// `configApplyMs` and half a second more.
const APPLY: Duration = Duration::from_millis(3_500);
const ROUNDS: u32 = 10;
const ROUND: Duration = Duration::from_secs(1);

fn main() {
    let record = std::env::args().nth(1);
    let code = record.map_or(NOT_RUN, |record| {
        play(&record).unwrap_or_else(|error| {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        })
    });
    std::process::exit(code);
}

fn play(record_path: &str) -> Result<i32> {
    let root = PathBuf::from(std::env::current_dir()?);
    let record = Arc::new(Record::create(record_path)?);
    let folder = temporary_folder()?;
    let store = Arc::new(Store::default());
    let first = store.listen()?;
    let server = Server::start("i-1", &record)?;
    store.put("keyed.servers", "i-1", &server_entry(server));
    let (kept, dropped) = (route("kept", "unsafe", 30_000), route("dropped", "unsafe", 30_000));
    let both = configuration_version(1, &format!("{kept},{dropped}"), &["key-1", "key-2"]);
    store.put("keyed.op", "config", &both);
    let deployment = Deployment {
        store: first.addr,
        folder: folder.clone(),
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    let mut machines = deployment.machines(MACHINES)?;
    for machine in &mut machines {
        machine.start(&root)?;
    }
    for machine in &machines {
        if !machine.wait_ready(READY) {
            record.line(&format!("{} is not ready", machine.name));
            return Ok(NOT_RUN);
        }
    }
    if count_served(&machines, &record, 0)? < 2 * usize::from(MACHINES) {
        record.line("version 1 is not in force on all machines");
        return Ok(NOT_RUN);
    }
    if has_trouble() {
        let second = store.listen()?;
        record.line("the store is reached at a second address; settings changed, SIGHUP sent");
        for machine in &machines {
            machine.change_settings(&first.addr.to_string(), &second.addr.to_string())?;
        }
        thread::sleep(BOTH);
        first.close();
        record.line("the store has left its first address");
    }
    thread::sleep(CALM);
    store.put("keyed.op", "config", &configuration_version(2, &kept, &["key-1"]));
    record.line("version 2 acknowledged: without key-2 and the route /dropped/");
    thread::sleep(APPLY);
    let mut served = 0;
    for round in 1..=ROUNDS {
        served += count_served(&machines, &record, round)?;
        thread::sleep(ROUND);
    }
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
    record.line(&format!("requests that only version 1 allows and that have run: {served}"));
    Ok(if served > 0 { RULE_BROKEN } else { RULE_HELD })
}

/// Sends each machine a request with the key and one on the route that version 2 drops. How many were served.
fn count_served(machines: &[Machine], record: &Record, round: u32) -> Result<usize> {
    let mut served = 0;
    for machine in machines {
        for (key, path) in [("key-2", "/kept/x"), ("key-1", "/dropped/x")] {
            let id = format!("{round}-{}-{key}", machine.name);
            let status = ask(machine.front, key, path, &id)?;
            record.line(&format!("{id} on {path}: {status}"));
            served += usize::from(status == "200");
        }
    }
    Ok(served)
}
