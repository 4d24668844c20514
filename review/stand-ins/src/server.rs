//! A stand-in of a sound model server, in a process of its own. It registers itself in the store and
//! writes there again at each heartbeat, echoes the identifier, signs its answers, refuses requests for
//! another instance, goes on after `Last-Event-Id`, and prints what it runs.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head, response};
use crate::process::signal;
use crate::record::Recorder;

const HEARTBEAT_MS: u64 = 1_200;

/// The answers that this process has begun.
static ANSWERS: AtomicU64 = AtomicU64::new(0);

/// What a server is. A start under the name of an earlier one knows nothing of before.
#[derive(Clone)]
pub struct Spec {
    pub name: String,
    pub service: String,
    pub zone: String,
    /// The version of its software, which it writes into each event.
    pub version: String,
    pub addr: SocketAddr,
    pub store: SocketAddr,
    /// The number of events of a stream, and of parts of a plain answer.
    pub events: u64,
    pub event_ms: u64,
    /// The id of an event is this plus a multiple of `id_step`.
    pub id_base: u64,
    pub id_step: u64,
    /// The first answer of so many has neither length nor chunks and ends with its connection; 0 for none.
    pub unframed_one_in: u64,
}

impl Spec {
    fn arguments(&self) -> Vec<String> {
        let Self { name, service, zone, version, addr, store, .. } = self;
        let fields = [
            ("name", name.clone()),
            ("service", service.clone()),
            ("zone", zone.clone()),
            ("version", version.clone()),
            ("addr", addr.to_string()),
            ("store", store.to_string()),
            ("events", self.events.to_string()),
            ("event_ms", self.event_ms.to_string()),
            ("id_base", self.id_base.to_string()),
            ("id_step", self.id_step.to_string()),
            ("unframed", self.unframed_one_in.to_string()),
        ];
        fields.into_iter().map(|(name, value)| format!("{name}={value}")).collect()
    }

    fn parse(arguments: &[String]) -> Option<Self> {
        let fields: HashMap<&str, &str> =
            arguments.iter().filter_map(|argument| argument.split_once('=')).collect();
        let text = |name: &str| fields.get(name).map(|value| (*value).to_owned());
        let number = |name: &str| fields.get(name)?.parse().ok();
        Some(Self {
            name: text("name")?,
            service: text("service")?,
            zone: text("zone")?,
            version: text("version")?,
            addr: fields.get("addr")?.parse().ok()?,
            store: fields.get("store")?.parse().ok()?,
            events: number("events")?,
            event_ms: number("event_ms")?,
            id_base: number("id_base")?,
            id_step: number("id_step")?,
            unframed_one_in: number("unframed")?,
        })
    }

    /// The id of the event `number`, counted from 1.
    pub fn id(&self, number: u64) -> u64 {
        self.id_base + number * self.id_step
    }

    /// The part `number` of a plain answer.
    pub fn part(&self, number: u64) -> String {
        format!("{number:03};")
    }
}

/// The process of a server, which is killed when this is dropped.
pub struct Server {
    pub spec: Spec,
    process: Child,
}

impl Server {
    /// Starts the process and waits until it listens.
    pub fn start(spec: Spec, recorder: &Arc<Recorder>) -> Result<Self> {
        let mut process = Command::new(std::env::current_exe()?)
            .arg("server")
            .args(spec.arguments())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = process.stdout.take().ok_or(Error::from(ErrorKind::BrokenPipe))?;
        let mut lines = BufReader::new(stdout).lines();
        let first = lines.next().transpose()?;
        if first.as_deref() != Some("listening") {
            return Err(Error::other(format!("server {} did not start", spec.name)));
        }
        let (name, recorder) = (format!("{} ({})", spec.name, spec.version), recorder.clone());
        recorder.line(&format!("server   {name} started at {}", spec.addr));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                recorder.line(&format!("server   {name}: {line}"));
            }
        });
        Ok(Self { spec, process })
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> Result<()> {
        signal(&self.process, "KILL")?;
        self.process.wait().map(|_| ())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// An address on the loopback interface with a port that is free.
pub fn free_addr() -> Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Runs a server until the process is killed.
pub fn run(arguments: &[String]) -> ExitCode {
    let Some(spec) = Spec::parse(arguments) else { return ExitCode::from(2) };
    let listener = match TcpListener::bind(spec.addr) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("{}: {error}", Path::new(&spec.name).display());
            return ExitCode::from(2);
        }
    };
    println!("listening");
    let registered = spec.clone();
    thread::spawn(move || register(&registered));
    for stream in listener.incoming().flatten() {
        let spec = spec.clone();
        thread::spawn(move || serve(&spec, stream));
    }
    ExitCode::SUCCESS
}

/// Writes the entry at once, and again at each heartbeat. A write that is refused is repeated at the next.
fn register(spec: &Spec) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
    let mut had_written = None;
    for sequence in 1_u64.. {
        let Spec { service, addr, zone, version, name, .. } = spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        let has_written = append(spec.store, name, &entry).unwrap_or(false);
        if had_written.replace(has_written) != Some(has_written) {
            println!(
                "{}",
                if has_written { "entry written" } else { "the store refuses the entry" }
            );
        }
        thread::sleep(Duration::from_millis(HEARTBEAT_MS));
    }
}

/// Appends an entry. True if the store has acknowledged it.
fn append(store: SocketAddr, key: &str, value: &str) -> Result<bool> {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let mut record = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    record.push(key.len() as u8);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    let mut stream = TcpStream::connect_timeout(&store, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let head = format!(
        "POST /-/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n\
         Content-Length: {}\r\n\r\n",
        record.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&record)?;
    let head = read_head(&mut BufReader::new(stream))?;
    Ok(head.is_some_and(|head| head.status() == 200))
}

fn serve(spec: &Spec, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        if read_body(&mut reader, &head).is_err() {
            return;
        }
        match answer(spec, &head, &mut writer) {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => {
                println!("dropped {}", head.get("x-attempt-id").unwrap_or("-"));
                return;
            }
        }
    }
}

/// Answers a request. False if the connection ends with the answer.
fn answer(spec: &Spec, head: &Head, writer: &mut TcpStream) -> Result<bool> {
    let Spec { name, .. } = spec;
    let Some(id) = head.get("x-attempt-id") else {
        writer.write_all(&response(200, &format!("X-Instance-Id: {name}\r\n"), b"{}"))?;
        return Ok(true);
    };
    let echo = format!("X-Attempt-Id: {id}\r\n");
    if head.get("x-expect-instance").is_some_and(|expected| expected != name) {
        writer.write_all(&response(421, &format!("{echo}X-Not-Executed: 1\r\n"), b""))?;
        return Ok(true);
    }
    let after: u64 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let is_stream = head.target().starts_with("/stream/");
    let before = ANSWERS.fetch_add(1, Ordering::SeqCst);
    let is_unframed = spec.unframed_one_in > 0 && before % spec.unframed_one_in == 0;
    let framing =
        if is_unframed { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
    let (last, unframed) = (
        head.get("last-event-id").unwrap_or("-"),
        if is_unframed { ", without a length" } else { "" },
    );
    println!("runs {id}, Last-Event-Id {last}{unframed}");
    let kind = if is_stream { "Content-Type: text/event-stream\r\n" } else { "" };
    let signature = format!("X-Server-Signature: {name}.{id}\r\n");
    writer
        .write_all(format!("HTTP/1.1 200 OK\r\n{echo}{signature}{kind}{framing}\r\n").as_bytes())?;
    for number in 1..=spec.events {
        if is_stream && spec.id(number) <= after {
            continue;
        }
        let part = if is_stream {
            format!("id: {}\ndata: {name} {} {number}\n\n", spec.id(number), spec.version)
        } else {
            spec.part(number)
        };
        if is_unframed {
            writer.write_all(part.as_bytes())?;
        } else {
            writer.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())?;
        }
        thread::sleep(Duration::from_millis(spec.event_ms));
    }
    if !is_unframed {
        writer.write_all(b"0\r\n\r\n")?;
    }
    println!("whole answer to {id}");
    Ok(!is_unframed)
}
