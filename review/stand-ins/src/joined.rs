//! A new software version is tried out at one server and taken back while a part of the store is
//! down, and all daemons lose power. Clients take up the streams that broke off.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::daemon::{Fleet, loopback};
use crate::http::{Head, read_body, read_chunk, read_head, response};
use crate::record::Recorder;
use crate::store::Store;

const ZONES: [&str; 3] = ["bog-salitre", "bog-usaquen", "bog-fontibon"];
const CLIENTS: usize = 16;
/// `timeoutMs` of the route, and what clients wait: as of `surface-verdict` in the site file.
const DEADLINE_MS: u64 = 6_000;
const EVENTS: u64 = 20;
const EVENT_INTERVAL_MS: u64 = 100;
/// Until the daemons have served for longer than a stream may last.
const WARM_UP_MS: u64 = 14_000;
/// How long a part of the store is down, as in the site file.
const STORE_DOWN_MS: u64 = 4_500;
/// When, after the store's failure, the new server joins, clients come, the server says that it
/// leaves, all daemons lose power, the server ends (2 s after its notice and a little longer), and
/// the daemons come back.
const JOIN_MS: u64 = 200;
const CLIENTS_MS: u64 = 600;
const NOTICE_MS: u64 = 800;
const POWER_OFF_MS: u64 = 2_000;
const END_MS: u64 = 2_900;
const POWER_ON_MS: u64 = 3_200;

/// A server of streams, of one software version.
#[derive(Clone)]
struct Engine {
    name: String,
    version: &'static str,
    zone: &'static str,
    addr: SocketAddr,
    recorder: Arc<Recorder>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Engine {
    fn start(
        name: &str,
        version: &'static str,
        zone: &'static str,
        store: &Store,
        recorder: &Arc<Recorder>,
    ) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Self {
            name: name.to_owned(),
            version,
            zone,
            addr: listener.local_addr()?,
            recorder: recorder.clone(),
            connections: Arc::default(),
            has_ended: Arc::default(),
        };
        let started = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if started.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(connection) = stream.try_clone() {
                    let mut open =
                        started.connections.lock().unwrap_or_else(PoisonError::into_inner);
                    open.push(connection);
                }
                let engine = started.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine.register(store, "ready");
        Ok(engine)
    }

    fn register(&self, store: &Store, state: &str) {
        let Self { name, version, zone, addr, .. } = self;
        let entry = format!(
            "{{\"service\":\"verdicts\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":48,\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"sequence\":1}}"
        );
        store.put("keyed.servers", name, &entry);
    }

    /// Removes its entry and ends.
    fn end(&self, store: &Store) {
        self.has_ended.store(true, Ordering::SeqCst);
        store.put("keyed.servers", &self.name, "");
        let _ = TcpStream::connect(self.addr);
        let mut open = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in open.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() || self.answer(&head, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> Result<()> {
        let Some(id) = head.get("x-attempt-id") else {
            return writer.write_all(&response(200, "", b""));
        };
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if head.get("x-expect-instance").is_some_and(|expected| expected != self.name) {
            return writer.write_all(&response(421, &format!("{echo}X-Not-Executed: 1\r\n"), b""));
        }
        let last = head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        self.recorder.run(id, &self.name, &format!("{} after event {last}", self.version));
        let start = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Server-Signature: {}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        writer.write_all(start.as_bytes())?;
        for event in last + 1..=EVENTS {
            thread::sleep(Duration::from_millis(EVENT_INTERVAL_MS));
            let text = format!("id: {event}\ndata: word {event} of {}\n\n", self.version);
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// What a client has of its stream, over all its tries.
#[derive(Default)]
struct Received {
    last_event: u64,
    versions: BTreeSet<String>,
    is_whole: bool,
}

/// Plays the case.
pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Result<Outcome> {
    let store = Store::default();
    for (index, zone) in ZONES.into_iter().enumerate().take(2) {
        Engine::start(&format!("i-{index}"), "v1", zone, &store, recorder)?;
    }
    write_configuration(&store);
    let fleet = Fleet::new(&ZONES)?;
    let mut machines = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let addr = store.open()?.addr;
        machines.push(fleet.start(&format!("front-{zone}-1"), zone, loopback(index, 1), addr)?);
    }
    for machine in &machines {
        machine.wait_ready()?;
    }
    recorder.say(&format!("{} machines are ready", machines.len()));
    thread::sleep(Duration::from_millis(WARM_UP_MS));

    let start_ms = recorder.now_ms();
    let wait_until = |after_ms: u64| {
        let left_ms = (start_ms + after_ms).saturating_sub(recorder.now_ms());
        thread::sleep(Duration::from_millis(left_ms));
    };
    if has_trouble {
        store.set_down(&["keyed.versions"]);
        recorder.say("the store's partition of keyed.versions is down");
    }
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let received = thread::scope(|scope| -> Result<Vec<Received>> {
        let (wait_until, store) = (&wait_until, &store);
        scope.spawn(move || {
            wait_until(STORE_DOWN_MS);
            store.set_down(&[]);
            recorder.say("all of the store is up");
        });
        wait_until(JOIN_MS);
        let newer = Engine::start("i-newer", "v2", ZONES[2], store, recorder)?;
        recorder.say("a server of version v2 has joined");
        wait_until(CLIENTS_MS);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let fronts = &fronts;
                scope.spawn(move || take_stream(recorder, fronts, number))
            })
            .collect();
        wait_until(NOTICE_MS);
        newer.register(store, "draining");
        recorder.say("it is taken back: it says that it leaves");
        wait_until(POWER_OFF_MS);
        machines.iter_mut().for_each(|machine| machine.kill());
        recorder.say("all daemons have lost power");
        wait_until(END_MS);
        newer.end(store);
        recorder.say("the server of version v2 has ended");
        wait_until(POWER_ON_MS);
        for machine in &mut machines {
            machine.start()?;
        }
        recorder.say("the daemons start again");
        let received = clients.into_iter().map(|client| client.join().unwrap_or_default());
        Ok(received.collect())
    })?;
    let joined = received.iter().filter(|stream| stream.versions.len() > 1).count();
    let whole = received.iter().filter(|stream| stream.is_whole).count();
    recorder.say(&format!(
        "{joined} of {} streams hold events of both versions; {whole} ran to their end",
        received.len()
    ));
    Ok(if joined > 0 { Outcome::Broken } else { Outcome::Held })
}

fn write_configuration(store: &Store) {
    let configuration = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"case.example\",\
         \"pathPrefix\":\"/verdict/\",\"kind\":\"streaming\",\"service\":\"verdicts\",\
         \"timeoutMs\":{DEADLINE_MS},\"targetLatencyMs\":1500,\"priority\":0,\"maxAttempts\":2,\
         \"public\":true,\"sticky\":true,\"resumable\":true,\"gapAimMs\":180}}],\
         \"services\":[{{\"name\":\"verdicts\",\"maxConnections\":382,\
         \"healthPath\":\"/health\",\"engine\":{{\"slots\":48,\"kvCapacityTokens\":34443,\
         \"kvTokenBytes\":18432,\"linkMbps\":2700.0,\"moves\":false,\"stride\":4}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("keyed.op", "config", &configuration);
}

/// One client: asks for a stream, and takes it up after its last event until it is whole or the
/// client's time is over.
fn take_stream(recorder: &Recorder, fronts: &[SocketAddr], number: usize) -> Received {
    const PAUSE_MS: u64 = 200;
    let until_ms = recorder.now_ms() + DEADLINE_MS;
    let mut received = Received::default();
    let mut attempt = 0;
    while !received.is_whole && recorder.now_ms() < until_ms {
        let left_ms = until_ms - recorder.now_ms();
        let id = format!("{number:04x}{attempt:012x}");
        let front = fronts[(number + attempt) % fronts.len()];
        let last = received.last_event;
        recorder.line(&format!("sent     {id} after event {last} to {front}"));
        let ended = read_stream(front, &id, left_ms, &mut received);
        recorder.line(&format!(
            "answered {id} {}, events up to {} of {:?}",
            ended.unwrap_or_else(|error| error.to_string()),
            received.last_event,
            received.versions
        ));
        attempt += 1;
        thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    received
}

/// Reads one answer; returns how it ended.
fn read_stream(
    front: SocketAddr,
    id: &str,
    left_ms: u64,
    received: &mut Received,
) -> Result<String> {
    let mut writer = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    writer.set_nodelay(true)?;
    writer.set_read_timeout(Some(Duration::from_millis(left_ms)))?;
    let mut reader = BufReader::new(writer.try_clone()?);
    let resumption = match received.last_event {
        0 => String::new(),
        last => format!("Last-Event-Id: {last}\r\n"),
    };
    let head = format!(
        "POST /verdict/1 HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {left_ms}\r\nX-Model: m\r\nX-Token-Counts: 100,160\r\n\
         X-Prompt-Prefix: {id}:100\r\n{resumption}Content-Length: 2\r\n\r\nhi"
    );
    writer.write_all(head.as_bytes())?;
    let head = read_head(&mut reader)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
    if head.status() != 200 {
        return Ok(format!("{} {:?}", head.status(), head.get("retry-after")));
    }
    let mut text = Vec::new();
    loop {
        let chunk = read_chunk(&mut reader);
        if let Ok(Some(bytes)) = &chunk {
            text.extend_from_slice(bytes);
            take_events(&mut text, received);
            continue;
        }
        return chunk.map(|_| {
            received.is_whole = received.last_event == EVENTS;
            "200, complete".to_owned()
        });
    }
}

/// Takes the complete events from the beginning of `text`.
fn take_events(text: &mut Vec<u8>, received: &mut Received) {
    while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = text.drain(..end + 2).collect();
        for line in event.lines().map_while(std::result::Result::ok) {
            if let Some(id) = line.strip_prefix("id: ") {
                received.last_event = id.parse().unwrap_or(received.last_event);
            }
            if let Some((_, version)) = line.split_once(" of ") {
                received.versions.insert(version.to_owned());
            }
        }
    }
}
