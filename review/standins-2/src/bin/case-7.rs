//! Case 7: callers whose paths are long, within the limit of a request's head.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::daemon::{
    Deployment, configuration, request_head, route, server_entry, temporary_folder,
};
use standins::http::{read_body, read_head};
use standins::record::Record;
use standins::server::Server;
use standins::store::Store;
use standins::{NOT_RUN, RULE_BROKEN, RULE_HELD, has_trouble};

const MEMORY_MB: u64 = 88;
const MAX_FDS: u64 = 4_100;
const READY: Duration = Duration::from_secs(10);
/// The callers with long paths, each with one request at a time.
const CALLERS: usize = 256;
/// A request of theirs, with all of its head, stays below `maxHeaderBytes`, which is 16,384.
const PATH_BYTES: usize = 15_800;
/// Ordinary requests, each on a connection of its own.
const ORDINARY: usize = 30;
const ORDINARY_INTERVAL: Duration = Duration::from_millis(500);
/// The route's `timeoutMs`, and how much later the rule looks again.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(500);
/// Fewer late requests say nothing.
const LEAST_LATE: usize = 8;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let code = match arguments.get(1).map(String::as_str) {
        Some("crowd") => crowd(arguments[2].parse().unwrap()),
        Some(record) => play(record).unwrap_or_else(|error| {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        }),
        None => NOT_RUN,
    };
    std::process::exit(code);
}

/// Callers that send one request after the other, each after the answer to the one before. Who gets none within
/// its deadline closes the connection and comes back a little later.
fn crowd(addr: SocketAddr) -> i32 {
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            thread::spawn(move || {
                for attempt in 0.. {
                    let _ = send_paths(addr, &format!("crowd-{number}-{attempt}"));
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    NOT_RUN
}

fn send_paths(addr: SocketAddr, name: &str) -> Result<()> {
    let length = if has_trouble() { PATH_BYTES } else { 2 };
    let path = format!("/save/{}2", "a/".repeat(length / 2));
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut buffer = Vec::new();
    for number in 0.. {
        let id = format!("{name}-{number}");
        let deadline_ms = TIMEOUT.as_millis() as u64;
        stream.write_all(request_head(&path, &id, deadline_ms, "Content-Length: 0").as_bytes())?;
        let answer = read_head(&mut stream, &mut buffer)?;
        read_body(&mut stream, &mut buffer, answer.body_length())?;
    }
    Ok(())
}

struct Crowd(Child);

impl Drop for Crowd {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn play(record_path: &str) -> Result<i32> {
    let root = PathBuf::from(std::env::current_dir()?);
    let record = Arc::new(Record::create(record_path)?);
    let folder = temporary_folder()?;
    let (store, store_addr) = Store::start()?;
    let server = Server::start("i-1", &record)?;
    store.put("keyed.servers", "i-1", &server_entry(server));
    let route = route("save", "unsafe", TIMEOUT.as_millis() as u64);
    store.put("keyed.op", "config", &configuration(&route));
    let deployment = Deployment {
        store: store_addr,
        folder: folder.clone(),
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    let mut machines = deployment.machines(1)?;
    let machine = &mut machines[0];
    machine.start(&root)?;
    if !machine.wait_ready(READY) {
        record.line("the daemon is not ready");
        return Ok(NOT_RUN);
    }
    let front = machine.front;
    let calm = ordinary(front, "calm", &record)?;
    if calm.is_none() {
        return Ok(NOT_RUN);
    }
    let length = if has_trouble() { PATH_BYTES } else { 2 };
    record.line(&format!("{CALLERS} callers with paths of {length} bytes begin"));
    let mut command = Command::new(std::env::current_exe()?);
    let crowd = Crowd(command.arg("crowd").arg(front.to_string()).spawn()?);
    thread::sleep(Duration::from_secs(2));
    let mut asked = Vec::new();
    let record_ready = record.clone();
    for number in 0..ORDINARY {
        let record = record.clone();
        asked.push(thread::spawn(move || ordinary(front, &format!("ordinary-{number}"), &record)));
        if number % 5 == 0 {
            let is_ready = machine.wait_ready(Duration::from_millis(1));
            record_ready.line(&format!("the platform's check is answered within 1 s: {is_ready}"));
        }
        thread::sleep(ORDINARY_INTERVAL);
    }
    let (mut late, mut never) = (0, 0);
    for request in asked {
        let answered = request.join().unwrap()?;
        late += usize::from(answered.is_none_or(|after| after > TIMEOUT));
        never += usize::from(answered.is_none_or(|after| after > TIMEOUT + MARGIN));
    }
    drop(crowd);
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
    record.line(&format!(
        "of {ORDINARY} ordinary requests {late} had no answer at timeoutMs, and {never} none \
        half a second later"
    ));
    let is_broken = late >= LEAST_LATE && 2 * never > late;
    Ok(if is_broken { RULE_BROKEN } else { RULE_HELD })
}

/// Sends an ordinary request; how long its answer took, if it came in time or half a second later.
fn ordinary(addr: SocketAddr, id: &str, record: &Record) -> Result<Option<Duration>> {
    let sent = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, TIMEOUT + MARGIN) else {
        record.line(&format!("{id}: no connection after {:.3} s", sent.elapsed().as_secs_f64()));
        return Ok(None);
    };
    stream.set_read_timeout(Some(TIMEOUT + MARGIN))?;
    let deadline_ms = TIMEOUT.as_millis() as u64;
    stream.write_all(request_head("/save/2", id, deadline_ms, "Content-Length: 0").as_bytes())?;
    let mut bytes = [0; 1_024];
    let read = stream.read(&mut bytes);
    let after = sent.elapsed();
    let is_answered = read.as_ref().is_ok_and(|read| *read > 0);
    let first_line = String::from_utf8_lossy(&bytes[..12.min(read.unwrap_or(0))]).into_owned();
    record.line(&format!(
        "{id}: {} after {:.3} s",
        if is_answered { &first_line } else { "no answer" },
        after.as_secs_f64()
    ));
    Ok(is_answered.then_some(after))
}
