//! Streams that their callers take up at other machines, after their own machine was killed.

use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::{Route, configuration};
use crate::client::{End, Event, call};
use crate::daemon::{Fleet, loopback};
use crate::record::Recorder;
use crate::server::{Server, Spec, free_addr};
use crate::store::Store;
use crate::{Outcome, setting};

/// What is played.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The route is split between two services with one software version each.
    SplitRoute,
    /// One service, whose events have ids of 61 bits.
    LongIds,
}

const MACHINES: u8 = 3;
const EVENTS: u64 = 24;
const EVENT_MS: u64 = 100;
/// When the machine is killed, after the first stream.
const KILL_MS: u64 = 1_000;
/// How long the streams are apart, so that they break off at different events.
const SPACING_MS: u64 = 25;
/// How long the platform takes to start the machine again.
const RESTART_MS: u64 = 1_000;

/// What a caller has of its stream.
struct Caller {
    number: usize,
    events: Vec<Event>,
    /// The number of events that it had when it took the stream up, if it did.
    taken_up_after: Option<usize>,
    status: u16,
    end: End,
}

/// Plays the case.
pub fn play(recorder: &Arc<Recorder>, kind: Kind, has_trouble: bool) -> Result<Outcome> {
    let store = Store::default();
    let (targets, services): (&str, &[&str]) = match kind {
        Kind::SplitRoute => (
            "\"trafficSplit\":[{\"service\":\"blue\",\"weight\":50},\
             {\"service\":\"green\",\"weight\":50}]",
            &["blue", "green"],
        ),
        Kind::LongIds => ("\"service\":\"pool\"", &["pool"]),
    };
    let route = Route {
        prefix: "/stream/",
        kind: "streaming",
        is_resumable: true,
        timeout_ms: 6_000,
        targets,
    };
    store.put("keyed.op", "config", &configuration(&[route], services));
    let mut servers = Vec::new();
    for service in services {
        for number in 1..=2 {
            let spec = Spec {
                name: format!("i-{service}-{number}"),
                service: (*service).to_owned(),
                zone: "z1".to_owned(),
                version: if *service == "green" { "v2" } else { "v1" }.to_owned(),
                addr: free_addr()?,
                store: store.open()?.addr,
                events: EVENTS,
                event_ms: EVENT_MS,
                // A time in milliseconds and a count below it, as distributed counters have them.
                id_base: if kind == Kind::LongIds { 1_796_452_300_347 << 20 } else { 0 },
                id_step: if kind == Kind::LongIds { 37 } else { 1 },
                unframed_one_in: 0,
            };
            servers.push(Server::start(spec, recorder)?);
        }
    }
    let spec = servers[0].spec.clone();
    let mut fleet = Fleet::new(&["z1"])?;
    fleet.seeds = (1..=MACHINES).map(|number| format!("{}:1", loopback(0, number))).collect();
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        let ip = loopback(0, number);
        machines.push(fleet.start(&format!("front-{number}"), "z1", ip, store.open()?.addr)?);
    }
    machines.iter().try_for_each(|machine| machine.wait_ready())?;
    thread::sleep(Duration::from_secs(2));
    recorder.say("all machines are ready");

    let count = setting("STREAMS", 24);
    let fronts: Vec<_> = machines.iter().map(|machine| machine.front).collect();
    let callers: Vec<_> = (0..count)
        .map(|number| {
            let (recorder, fronts) = (recorder.clone(), fronts.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 * SPACING_MS));
                ask(&recorder, number, &fronts)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(KILL_MS));
    if has_trouble {
        recorder.say("front-1 is killed");
        machines[0].kill();
        thread::sleep(Duration::from_millis(RESTART_MS));
        machines[0].start()?;
        recorder.say("front-1 is started again");
    }
    let callers = callers.into_iter().filter_map(|caller| caller.join().ok());
    let callers: Vec<Caller> = callers.collect();
    Ok(judge(recorder, &spec, &callers))
}

/// Asks for a stream at the first machine, and takes it up once at another if it breaks off.
fn ask(recorder: &Recorder, number: usize, fronts: &[std::net::SocketAddr]) -> Caller {
    const DEADLINE: &str = "X-Deadline-Ms: 6000\r\n";
    let path = format!("/stream/{number}");
    let id = format!("c{number:02}a");
    let first = call(fronts[0], &path, &id, DEADLINE);
    let events = first.events();
    recorder.line(&format!(
        "answer   {id}: {} {:?}, {} events",
        first.status,
        first.end,
        events.len()
    ));
    let mut caller =
        Caller { number, events, taken_up_after: None, status: first.status, end: first.end };
    if first.end == End::Complete {
        return caller;
    }
    let other = 1 + number % (fronts.len() - 1);
    let id = format!("c{number:02}b");
    let last = caller.events.last().map(|event| event.id);
    let last = last.map_or(String::new(), |id| format!("Last-Event-Id: {id}\r\n"));
    recorder.line(&format!("take-up  {id} at front-{}: {}", other + 1, last.trim()));
    let second = call(fronts[other], &path, &id, &format!("{DEADLINE}{last}"));
    let rest = second.events();
    recorder.line(&format!(
        "answer   {id}: {} {:?}, {} events",
        second.status,
        second.end,
        rest.len()
    ));
    caller.taken_up_after = Some(caller.events.len());
    caller.status = second.status;
    caller.end = second.end;
    caller.events.extend(rest);
    caller
}

/// The rule ORDER: a stream that ends as complete has each event once, in order, and all of one
/// software version.
fn judge(recorder: &Recorder, spec: &Spec, callers: &[Caller]) -> Outcome {
    let expected: Vec<_> = (1..=spec.events).map(|number| spec.id(number)).collect();
    let (mut whole, mut refused, mut disordered, mut joined) = (0, 0, 0, 0);
    for caller in callers {
        let Caller { number, events, taken_up_after, status, end } = caller;
        if *end != End::Complete || *status != 200 {
            refused += 1;
            continue;
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        let mut versions: Vec<_> =
            events.iter().filter_map(|event| event.data.split(' ').nth(1)).collect();
        versions.dedup();
        let place =
            taken_up_after.map_or(String::new(), |after| format!(", taken up after {after}"));
        if ids != expected {
            disordered += 1;
            let numbers: Vec<_> =
                events.iter().filter_map(|event| event.data.split(' ').nth(2)).collect();
            let numbers = numbers.join(" ");
            recorder.say(&format!("stream {number:02}{place}: pieces {numbers}"));
        } else if versions.len() > 1 {
            joined += 1;
            let versions = versions.join(" then ");
            recorder.say(&format!("stream {number:02}{place}: joined from {versions}"));
        } else {
            whole += 1;
        }
    }
    recorder.say(&format!(
        "{whole} streams whole, {refused} refused or broken off, {joined} joined from two versions, \
         {disordered} with pieces missing or twice"
    ));
    if joined + disordered > 0 { Outcome::Broken } else { Outcome::Held }
}
