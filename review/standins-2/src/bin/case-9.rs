//! Case 9: engines with two versions of the weights, one of which crashes in the middle of streams.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use standins::daemon::{
    Deployment, engine_configuration, engine_entry, request_head, resumable_route, temporary_folder,
};
use standins::http::{read_body, read_head};
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
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// When the engine crashes.
const CRASH_AT: Duration = Duration::from_millis(1_000);
const TIMEOUT_MS: u64 = 20_000;
const READY: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(25);

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let code = match arguments.get(1).map(String::as_str) {
        Some("engine") => engine(&arguments[2], arguments[3].parse().unwrap()),
        Some(record) => play(record).unwrap_or_else(|error| {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        }),
        None => NOT_RUN,
    };
    std::process::exit(code);
}

/// An engine that runs streams, in a process of its own. It prints its address, and each run that it begins.
fn engine(name: &str, weights: u32) -> i32 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("{}", listener.local_addr().unwrap());
    let running = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (name, running) = (name.to_owned(), running.clone());
        thread::spawn(move || serve(stream, &name, weights, &running));
    }
    NOT_RUN
}

fn serve(mut stream: TcpStream, name: &str, weights: u32, running: &AtomicUsize) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let head = read_head(&mut stream, &mut buffer)?;
        read_body(&mut stream, &mut buffer, head.body_length())?;
        let id = head.header("x-attempt-id");
        match head.second_word() {
            "/health" => write!(stream, "HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\n\
                Content-Length: 0\r\n\r\n")?,
            "/-/report" => {
                let running = running.load(Ordering::Acquire);
                let report = format!("{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\
                    \"version\":{weights},\"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"queued\":0,\
                    \"running\":{running},\"kvUsed\":0,\"kvTotal\":21948,\"handles\":0,\"state\":\"ready\",\
                    \"runs\":[]}}");
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Content-Length: {}\r\n\r\n{report}", report.len())?;
            }
            _ if is_meant_for_another(&head, name, weights) => {
                write!(stream, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                    X-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n")?;
            }
            _ => {
                let last: usize = head.header("last-event-id").parse().unwrap_or(0);
                println!("{name} runs {id} after event {last}");
                running.fetch_add(1, Ordering::AcqRel);
                let ran = run(&mut stream, id, name, weights, last);
                running.fetch_sub(1, Ordering::AcqRel);
                ran?;
            }
        }
    }
}

/// True if the request expects another engine, or other weights.
fn is_meant_for_another(head: &standins::http::Head, name: &str, weights: u32) -> bool {
    let expected = head.header("x-expect-version");
    head.header("x-expect-instance") != name
        || !expected.is_empty() && expected != weights.to_string()
}

/// Writes the events after the `last` one. Each says which weights made it.
fn run(stream: &mut TcpStream, id: &str, name: &str, weights: u32, last: usize) -> Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s.{name}.{id}\r\n\
        X-Weight-Versions: {weights}\r\nContent-Type: text/event-stream\r\n\
        Transfer-Encoding: chunked\r\n\r\n")?;
    for number in last + 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: weights {weights} piece {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// The process of an engine.
struct Engine {
    name: String,
    addr: SocketAddr,
    weights: u32,
    process: Child,
}

impl Engine {
    fn start(number: usize, record: &Arc<Record>) -> Result<Self> {
        let (name, weights) = (format!("i-{number}"), 1 + (number % 2) as u32);
        let mut process = Command::new(std::env::current_exe()?)
            .args(["engine", &name, &weights.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let addr = lines.next().unwrap()?.parse().unwrap();
        let record = record.clone();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| record.line(&line)));
        Ok(Self { name, addr, weights, process })
    }

    fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn play(record_path: &str) -> Result<i32> {
    let root = PathBuf::from(std::env::current_dir()?);
    let record = Arc::new(Record::create(record_path)?);
    let folder = temporary_folder()?;
    let (store, store_addr) = Store::start()?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = Engine::start(number, &record)?;
        store.put("keyed.servers", &engine.name, &engine_entry(engine.addr, engine.weights));
        record.line(&format!("{} has weights {}", engine.name, engine.weights));
        engines.push(engine);
    }
    let route = resumable_route("draft", TIMEOUT_MS);
    store.put("keyed.op", "config", &engine_configuration(&route));
    let deployment =
        Deployment { store: store_addr, folder: folder.clone(), memory_mb: MEMORY_MB, max_fds: MAX_FDS };
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
            thread::spawn(move || client(addr, number, &record))
        })
        .collect();
    thread::sleep(CRASH_AT);
    if has_trouble() {
        record.line(&format!("{} is killed", engines[0].name));
        engines[0].kill();
    }
    let (mut whole, mut joined) = (0, 0);
    for client in clients {
        match client.join().unwrap() {
            Ok(Answer { is_whole, is_joined }) => {
                whole += usize::from(is_whole);
                joined += usize::from(is_whole && is_joined);
            }
            Err(error) => record.line(&format!("a stream failed: {error}")),
        }
    }
    drop(machines);
    let _ = std::fs::remove_dir_all(folder);
    record.line(&format!("{whole} of {STREAMS} streams are whole; {joined} of them have pieces of two \
        versions of the weights, and nothing says so"));
    if whole == 0 {
        return Ok(NOT_RUN);
    }
    Ok(if joined > 0 { RULE_BROKEN } else { RULE_HELD })
}

/// What a client got.
struct Answer {
    is_whole: bool,
    /// True if a piece was made with other weights than the answer said.
    is_joined: bool,
}

fn client(addr: SocketAddr, number: usize, record: &Record) -> Result<Answer> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(LIMIT))?;
    let id = format!("stream-{number}");
    let prompt = format!(
        "X-Model: m\r\nX-Token-Counts: 200,160\r\nX-Prompt-Prefix: a1:150,b{number:x}:50\r\nContent-Length: 0"
    );
    stream.write_all(request_head("/draft/x", &id, TIMEOUT_MS, &prompt).as_bytes())?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let mut said = head.header("x-weight-versions").to_owned();
    let (text, is_ended) = read_chunks(&mut stream, buffer);
    let (mut pieces, mut other) = (0, 0);
    for line in text.lines() {
        if let Some(version) = line.strip_prefix("x-weight-versions:") {
            said = version.trim().to_owned();
        } else if let Some(piece) = line.strip_prefix("data: weights ") {
            pieces += 1;
            other += usize::from(piece.split(' ').next() != Some(said.as_str()));
        }
    }
    let is_whole = head.second_word() == "200" && is_ended && pieces == EVENTS;
    record.line(&format!("{id}: {}, X-Weight-Versions {}, {pieces} pieces, {other} of them made with other \
        weights, ended {}", head.second_word(), head.header("x-weight-versions"),
        if is_ended { "as complete" } else { "early" }));
    Ok(Answer { is_whole, is_joined: other > 0 })
}

/// The text of a chunked body, and whether its last chunk has come.
fn read_chunks(stream: &mut TcpStream, mut buffer: Vec<u8>) -> (String, bool) {
    let mut bytes = [0; 4_096];
    while !buffer.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut bytes) {
            Ok(read) if read > 0 => buffer.extend_from_slice(&bytes[..read]),
            _ => break,
        }
    }
    let is_ended = buffer.ends_with(b"\r\n0\r\n\r\n");
    let mut text = Vec::new();
    let mut rest = &buffer[..];
    while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).ok();
        let Some(size) = size.and_then(|size| usize::from_str_radix(size, 16).ok()) else { break };
        let from = end + 2;
        if size == 0 || rest.len() < from + size + 2 {
            break;
        }
        text.extend_from_slice(&rest[from..from + size]);
        rest = &rest[from + size + 2..];
    }
    (String::from_utf8_lossy(&text).into_owned(), is_ended)
}
