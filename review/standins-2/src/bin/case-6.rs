//! Case 6: callers whose bodies stop short of their end, and the memory of the daemons' machines.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::daemon::{
    Deployment, Machine, ask, configuration, request_head, route, server_entry, temporary_folder,
};
use standins::record::Record;
use standins::server::Server;
use standins::store::Store;
use standins::{NOT_RUN, RULE_BROKEN, RULE_HELD, has_trouble};

/// The machines of the smallest class of the sheets.
const MEMORY_MB: u64 = 88;
const MAX_FDS: u64 = 4_100;
const MACHINES: u8 = 2;
/// The rule: processes of two machines end by themselves three times.
const ENDS: u32 = 3;
/// The callers of one machine, and the processes that they are in.
const CROWD: usize = 1_200;
const CROWD_PROCESSES: usize = 3;
/// The only chunk of a body; the last chunk, which ends the body, is not sent.
const CHUNK_BYTES: usize = 24_000;
const SAMPLE: Duration = Duration::from_millis(20);
const ORDINARY_INTERVAL: Duration = Duration::from_millis(500);
const RESTART: Duration = Duration::from_millis(500);
const PLAY: Duration = Duration::from_secs(60);
const CALM_PLAY: Duration = Duration::from_secs(20);
const READY: Duration = Duration::from_secs(10);

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let code = match arguments.get(1).map(String::as_str) {
        Some("crowd") => crowd(arguments[2].parse().unwrap(), &arguments[3]),
        Some(record) => play(record).unwrap_or_else(|error| {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        }),
        None => NOT_RUN,
    };
    std::process::exit(code);
}

/// Callers that send a chunk and no end, stay open, and come back when they are refused.
fn crowd(addr: SocketAddr, name: &str) -> i32 {
    for number in 0..CROWD / CROWD_PROCESSES {
        let name = name.to_owned();
        let caller = move || {
            for attempt in 0.. {
                let _ = stop_short(addr, &format!("{name}-{number}-{attempt}"));
                thread::sleep(Duration::from_millis(200));
            }
        };
        thread::Builder::new().stack_size(64 * 1024).spawn(caller).unwrap();
        thread::sleep(Duration::from_millis(2));
    }
    loop {
        thread::sleep(PLAY);
    }
}

fn stop_short(addr: SocketAddr, id: &str) -> Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    let head = request_head("/save/x", id, 30_000, "Transfer-Encoding: chunked");
    let chunk = "a".repeat(CHUNK_BYTES);
    write!(stream, "{head}{CHUNK_BYTES:x}\r\n{chunk}\r\n")?;
    let mut answer = [0; 256];
    // Ends when the daemon refuses the request or closes the connection.
    stream.read(&mut answer).map(|_| ())
}

struct Crowds(Vec<Child>);

impl Crowds {
    fn start(machines: &[Machine]) -> Result<Self> {
        let program = std::env::current_exe()?;
        let mut crowds = Self(Vec::new());
        for machine in machines {
            for number in 0..CROWD_PROCESSES {
                let mut command = Command::new(&program);
                command.arg("crowd").arg(machine.front.to_string());
                crowds.0.push(command.arg(format!("crowd-{number}")).spawn()?);
            }
        }
        Ok(crowds)
    }
}

impl Drop for Crowds {
    fn drop(&mut self) {
        for process in &mut self.0 {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// The state of one machine during the play.
#[derive(Default)]
struct Seen {
    ends: u32,
    peak_kib: u64,
    restarts_at: Option<Instant>,
}

fn play(record_path: &str) -> Result<i32> {
    let root = PathBuf::from(std::env::current_dir()?);
    let record = Arc::new(Record::create(record_path)?);
    let folder = temporary_folder()?;
    let (store, store_addr) = Store::start()?;
    let server = Server::start("i-1", &record)?;
    store.put("keyed.servers", "i-1", &server_entry(server));
    store.put("keyed.op", "config", &configuration(&route("save", "unsafe", 30_000)));
    let deployment = Deployment {
        store: store_addr,
        folder: folder.clone(),
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    let mut machines = deployment.machines(MACHINES)?;
    for machine in &mut machines {
        machine.start(&root)?;
        if !machine.wait_ready(READY) {
            record.line(&format!("{} is not ready", machine.name));
            return Ok(NOT_RUN);
        }
    }
    for machine in &machines {
        let status = ask(machine.front, "key-1", "/save/x", "calm")?;
        record.line(&format!("{}: an ordinary request in calm: {status}", machine.name));
        if status != "200" {
            return Ok(NOT_RUN);
        }
    }
    let crowds = if has_trouble() {
        record.line(&format!(
            "{CROWD} callers to each machine send {CHUNK_BYTES} bytes in a chunk and no end"
        ));
        Some(Crowds::start(&machines)?)
    } else {
        None
    };
    let seen = watch(&mut machines, &root, &record)?;
    drop(crowds);
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
    let broken = seen.iter().filter(|seen| seen.ends >= ENDS).count();
    record.line(&format!("machines whose process ended {ENDS} times: {broken}"));
    Ok(if broken >= usize::from(MACHINES) { RULE_BROKEN } else { RULE_HELD })
}

/// Acts as the platform: ends a process that exceeds the memory of its machine, and starts it again.
fn watch(machines: &mut [Machine], root: &std::path::Path, record: &Record) -> Result<Vec<Seen>> {
    let play = if has_trouble() { PLAY } else { CALM_PLAY };
    let mut seen: Vec<_> = machines.iter().map(|_| Seen::default()).collect();
    let (started, mut asked) = (Instant::now(), Instant::now());
    let mut number = 0;
    while started.elapsed() < play && seen.iter().any(|seen| seen.ends < ENDS) {
        for (machine, seen) in machines.iter_mut().zip(&mut seen) {
            observe(machine, seen, root, record)?;
        }
        if asked.elapsed() >= ORDINARY_INTERVAL {
            asked = Instant::now();
            number += 1;
            for machine in machines.iter() {
                let addr = machine.front;
                let (name, kib) = (machine.name.clone(), machine.memory_kib());
                let status = match ask(addr, "key-1", "/save/x", &format!("ordinary-{number}")) {
                    Ok(status) => status,
                    Err(error) => error.kind().to_string(),
                };
                let open = machine.descriptors();
                record.line(&format!(
                    "{name}: {kib} KiB, {open} descriptors, ordinary request: {status}"
                ));
            }
        }
        thread::sleep(SAMPLE);
    }
    for (machine, seen) in machines.iter().zip(&seen) {
        record.line(&format!(
            "{}: {} ends, {} KiB at most of {}",
            machine.name,
            seen.ends,
            seen.peak_kib,
            machine.memory_mb * 1_024
        ));
    }
    Ok(seen)
}

fn observe(
    machine: &mut Machine,
    seen: &mut Seen,
    root: &std::path::Path,
    record: &Record,
) -> Result<()> {
    if let Some(at) = seen.restarts_at {
        if Instant::now() >= at {
            seen.restarts_at = None;
            machine.start(root)?;
        }
        return Ok(());
    }
    let kib = machine.memory_kib();
    seen.peak_kib = seen.peak_kib.max(kib);
    let is_over = kib > machine.memory_mb * 1_024;
    if is_over || machine.has_ended() {
        seen.ends += 1;
        record.line(&format!(
            "{}: end {}, {kib} KiB of {}",
            machine.name,
            seen.ends,
            machine.memory_mb * 1_024
        ));
        machine.kill();
        seen.restarts_at = Some(Instant::now() + RESTART);
    }
    Ok(())
}
