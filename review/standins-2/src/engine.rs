//! Engines that run streams of events in processes of their own, and clients that read such streams.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::daemon::request_head;
use crate::http::{Head, read_body, read_head};
use crate::record::Record;

const READ_LIMIT: Duration = Duration::from_secs(40);

/// What a start of an engine is.
#[derive(Clone, Debug)]
pub struct Build {
    pub name: String,
    /// The version of its weights.
    pub weights: u32,
    /// The version of its software.
    pub software: String,
    pub events: usize,
    pub interval_ms: u64,
}

impl Build {
    fn arguments(&self, listen: &str) -> Vec<String> {
        let Self { name, weights, software, events, interval_ms } = self.clone();
        let numbers = [weights.to_string(), events.to_string(), interval_ms.to_string()];
        [vec!["engine".to_owned(), listen.to_owned(), name, software], numbers.to_vec()].concat()
    }

    fn of(arguments: &[String]) -> Self {
        Self {
            name: arguments[3].clone(),
            software: arguments[4].clone(),
            weights: arguments[5].parse().unwrap(),
            events: arguments[6].parse().unwrap(),
            interval_ms: arguments[7].parse().unwrap(),
        }
    }
}

/// The process of an engine.
pub struct Engine {
    pub build: Build,
    pub addr: SocketAddr,
    process: Child,
}

impl Engine {
    /// Starts an engine at `listen`, in a process of this program.
    pub fn start(build: Build, listen: &str, record: &Arc<Record>) -> Result<Self> {
        let mut process = Command::new(std::env::current_exe()?)
            .args(build.arguments(listen))
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let addr = lines.next().unwrap()?.parse().unwrap();
        let record = record.clone();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| record.line(&line)));
        Ok(Self { build, addr, process })
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The engine itself. It prints its address, and each run that it begins.
pub fn run_engine(arguments: &[String]) -> ! {
    let build = Arc::new(Build::of(arguments));
    let listener = TcpListener::bind(&arguments[2]).unwrap();
    println!("{}", listener.local_addr().unwrap());
    let running = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let (build, running) = (build.clone(), running.clone());
        thread::spawn(move || serve(stream, &build, &running));
    }
}

fn serve(mut stream: TcpStream, build: &Build, running: &AtomicUsize) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let head = read_head(&mut stream, &mut buffer)?;
        read_body(&mut stream, &mut buffer, head.body_length())?;
        let (id, name, weights) = (head.header("x-attempt-id"), &build.name, build.weights);
        match head.second_word() {
            "/health" => write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\n\
                Content-Length: 0\r\n\r\n"
            )?,
            "/-/report" => {
                let running = running.load(Ordering::Acquire);
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\
                    \"version\":{weights},\"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"queued\":0,\
                    \"running\":{running},\"kvUsed\":0,\"kvTotal\":21948,\"handles\":0,\"state\":\"ready\",\
                    \"runs\":[]}}"
                );
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Content-Length: {}\r\n\r\n{report}",
                    report.len()
                )?;
            }
            _ if is_meant_for_another(&head, build) => {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                    X-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
                )?;
            }
            _ => {
                let last: usize = head.header("last-event-id").parse().unwrap_or(0);
                println!("{name} ({}) runs {id} after event {last}", build.software);
                running.fetch_add(1, Ordering::AcqRel);
                let ran = run(&mut stream, id, build, last);
                running.fetch_sub(1, Ordering::AcqRel);
                ran?;
            }
        }
    }
}

/// True if the request expects another engine, or other weights.
fn is_meant_for_another(head: &Head, build: &Build) -> bool {
    let expected = head.header("x-expect-version");
    head.header("x-expect-instance") != build.name
        || !expected.is_empty() && expected != build.weights.to_string()
}

/// Writes the events after the `last` one. Each says what made it.
fn run(stream: &mut TcpStream, id: &str, build: &Build, last: usize) -> Result<()> {
    let Build { name, weights, software, events, interval_ms } = build;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s.{name}.{id}\r\n\
        X-Weight-Versions: {weights}\r\nContent-Type: text/event-stream\r\n\
        Transfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in last + 1..=*events {
        thread::sleep(Duration::from_millis(*interval_ms));
        let event = format!("id: {number}\ndata: {weights} {software} piece {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// What a client got of a stream.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: String,
    pub pieces: usize,
    /// True if the end of the answer was marked.
    pub is_ended: bool,
    /// Pieces of other weights than the answer had said.
    pub other_weights: usize,
    /// The versions of the software that made its pieces, in their order.
    pub software: Vec<String>,
}

/// Sends a request for a stream and reads the answer to its end.
pub fn read_stream(addr: SocketAddr, id: &str, number: usize, deadline_ms: u64) -> Result<Answer> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    let prompt = format!(
        "X-Model: m\r\nX-Token-Counts: 200,160\r\nX-Prompt-Prefix: a1:150,b{number:x}:50\r\nContent-Length: 0"
    );
    stream.write_all(request_head("/draft/x", id, deadline_ms, &prompt).as_bytes())?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let mut said = head.header("x-weight-versions").to_owned();
    let (text, is_ended) = read_chunks(&mut stream, buffer);
    let mut answer =
        Answer { status: head.second_word().to_owned(), is_ended, ..Answer::default() };
    for line in text.lines() {
        if let Some(version) = line.strip_prefix("x-weight-versions:") {
            said = version.trim().to_owned();
        } else if let Some(piece) = line.strip_prefix("data: ") {
            let mut words = piece.split(' ');
            answer.pieces += 1;
            answer.other_weights += usize::from(words.next() != Some(said.as_str()));
            let software = words.next().unwrap_or("").to_owned();
            if answer.software.last() != Some(&software) {
                answer.software.push(software);
            }
        }
    }
    Ok(answer)
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
