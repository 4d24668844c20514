//! Case 10: clients that read their answers slowly, on kept connections.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
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
/// The rule: more than three requests.
const ALLOWED: usize = 3;
const CLIENTS: usize = 8;
const ANSWER_BYTES: usize = 400_000;
/// What a client reads at once, and how long it then works on that.
const READ_BYTES: usize = 128 * 1024;
const WORK: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_secs(30);
const READY: Duration = Duration::from_secs(10);

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
    let (store, store_addr) = Store::start()?;
    let server = Server::start("i-1", &record)?;
    store.put("keyed.servers", "i-1", &server_entry(server));
    let route = route("save", "unsafe", DEADLINE.as_millis() as u64);
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || client(front, number, &record))
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        match client.join().unwrap() {
            Ok(Ending::Whole | Ending::TooSlow) => {}
            Ok(Ending::Cut) => lost += 1,
            Err(error) => {
                record.line(&format!("a client could not begin: {error}"));
                return Ok(NOT_RUN);
            }
        }
    }
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
    record.line(&format!(
        "{lost} of {CLIENTS} requests have run, and the daemon closed their \
        connection before the answer was whole"
    ));
    Ok(if lost > ALLOWED { RULE_BROKEN } else { RULE_HELD })
}

/// How a client's request ended.
enum Ending {
    Whole,
    /// The connection ended within the deadline, and the answer was not whole.
    Cut,
    /// The client's deadline came first.
    TooSlow,
}

/// Sends two requests on one connection, and reads the second answer slowly.
fn client(addr: SocketAddr, number: usize, record: &Record) -> Result<Ending> {
    let mut stream = TcpStream::connect(addr)?;
    let deadline_ms = DEADLINE.as_millis() as u64;
    let mut buffer = Vec::new();
    let head =
        request_head("/save/2", &format!("first-{number}"), deadline_ms, "Content-Length: 0");
    stream.write_all(head.as_bytes())?;
    let answer = read_head(&mut stream, &mut buffer)?;
    read_body(&mut stream, &mut buffer, answer.body_length())?;

    let id = format!("second-{number}");
    let path = format!("/save/{ANSWER_BYTES}");
    let head = request_head(&path, &id, deadline_ms, "Content-Length: 0");
    let sent = Instant::now();
    stream.write_all(head.as_bytes())?;
    record.line(&format!("{id} sent on a kept connection"));
    let answer = read_head(&mut stream, &mut buffer)?;
    record.line(&format!("{id}: {}", answer.first_line));
    let mut bytes = vec![0; READ_BYTES];
    let mut read = buffer.len();
    let ending = loop {
        if read >= answer.body_length() {
            break Ending::Whole;
        }
        if has_trouble() {
            thread::sleep(WORK);
        }
        if sent.elapsed() >= DEADLINE {
            break Ending::TooSlow;
        }
        match stream.read(&mut bytes) {
            Ok(0) => break Ending::Cut,
            Ok(more) => read += more,
            Err(error) => {
                record.line(&format!("{id}: {error}"));
                break Ending::Cut;
            }
        }
    };
    let what = match ending {
        Ending::Whole => "whole",
        Ending::Cut => "cut",
        Ending::TooSlow => "not read in time",
    };
    record.line(&format!(
        "{id}: {what} after {:.1} s, {read} of {} bytes",
        sent.elapsed().as_secs_f64(),
        answer.body_length()
    ));
    Ok(ending)
}
