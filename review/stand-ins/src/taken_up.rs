//! Streams that their callers take up at other machines, after their own machine was killed.

use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::caller::{End, Event, call};
use crate::cases::{Route, configuration};
use crate::daemon::{Fleet, loopback};
use crate::record::Recorder;
use crate::server::{Server, Spec, free_addr};
use crate::store::Store;
use crate::{Outcome, setting};

/// What is played.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The route is split between three services with one software version each.
    SplitRoute,
    /// One service, whose events have ids of 61 bits.
    LongIds,
}

const MACHINES: u8 = 9;
const EVENTS: u64 = 24;
const EVENT_MS: u64 = 100;
/// When the machine is killed, after the first stream.
const KILL_MS: u64 = 1_000;
/// How long the streams are apart, so that they break off at different events.
const SPACING_MS: u64 = 10;
/// How long the platform takes to start a machine again.
const RESTART_MS: u64 = 1_000;
/// The pause before a caller takes its stream up, which it does once.
const TAKE_UP_PAUSE_MS: u64 = 300;
/// The rule LOST asks for so many streams that are taken up.
const FEWEST_TAKEN_UP: usize = 12;

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
            "\"trafficSplit\":[{\"service\":\"blue\",\"weight\":30},\
             {\"service\":\"green\",\"weight\":30},{\"service\":\"red\",\"weight\":30}]",
            &["blue", "green", "red"],
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
                version: version_of(service).to_owned(),
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

    let count = setting("STREAMS", 72);
    let fronts: Vec<_> = machines.iter().map(|machine| machine.front).collect();
    let start = |numbers: std::ops::Range<usize>| -> Vec<_> {
        let start = |number: usize| {
            let (recorder, fronts) = (recorder.clone(), fronts.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 % 72 * SPACING_MS));
                ask(&recorder, number, &fronts)
            })
        };
        numbers.map(start).collect()
    };
    let mut callers = start(0..count);
    thread::sleep(Duration::from_millis(KILL_MS));
    if has_trouble {
        recorder.say("front-1 is killed");
        machines[0].kill();
    }
    // New streams begin at the other machines at the same time as others are taken up there.
    callers.extend(start(count..2 * count));
    thread::sleep(Duration::from_millis(RESTART_MS));
    if has_trouble {
        machines[0].start()?;
        recorder.say("front-1 is started again");
    }
    let callers: Vec<Caller> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let (taken, new) = callers.split_at(count.min(callers.len()));
    Ok(match kind {
        Kind::SplitRoute => judge_shares(recorder, taken, new),
        Kind::LongIds => judge_order(recorder, &spec, taken),
    })
}

fn version_of(service: &str) -> &'static str {
    match service {
        "green" => "v2",
        "red" => "v3",
        _ => "v1",
    }
}

/// The machine at which a caller asks first: the first for the streams that break off, the others for
/// new ones.
fn first_machine(number: usize, machines: usize) -> usize {
    if number < setting("STREAMS", 72) { 0 } else { 1 + number % (machines - 1) }
}

/// Asks for a stream, and takes it up once at another machine if it breaks off.
fn ask(recorder: &Recorder, number: usize, fronts: &[std::net::SocketAddr]) -> Caller {
    const DEADLINE: &str = "X-Deadline-Ms: 6000\r\n";
    let path = format!("/stream/{number}");
    let first_id = format!("c{number:03}a");
    let machine = first_machine(number, fronts.len());
    let first = call(fronts[machine], &path, &first_id, DEADLINE);
    let events = first.events();
    let (status, end) = (first.status, first.end);
    recorder.line(&format!("answer   {first_id}: {status} {end:?}, {} events", events.len()));
    let mut caller = Caller { number, events, taken_up_after: None, status, end };
    let Some(last) = caller.events.last().filter(|_| end == End::BrokenOff) else { return caller };
    thread::sleep(Duration::from_millis(TAKE_UP_PAUSE_MS));
    let other = 1 + number % (fronts.len() - 1);
    let id = format!("c{number:03}b");
    recorder.line(&format!(
        "take-up  {id} at front-{}: Last-Event-Id {}, Resumes {first_id}",
        other + 1,
        last.id
    ));
    let headers = format!("{DEADLINE}Last-Event-Id: {}\r\nResumes: {first_id}\r\n", last.id);
    let next = call(fronts[other], &path, &id, &headers);
    let rest = next.events();
    let (status, end) = (next.status, next.end);
    recorder.line(&format!("answer   {id}: {status} {end:?}, {} events", rest.len()));
    caller.taken_up_after = Some(caller.events.len());
    (caller.status, caller.end) = (status, end);
    caller.events.extend(rest);
    caller
}

/// The rule LOST on streams that are taken up: the share of them that goes on is not under half of the
/// share of new streams that begin.
fn judge_shares(recorder: &Recorder, taken: &[Caller], new: &[Caller]) -> Outcome {
    let taken: Vec<_> = taken.iter().filter(|caller| caller.taken_up_after.is_some()).collect();
    let goes_on = taken.iter().filter(|caller| caller.status == 200).count();
    let refused = taken.iter().filter(|caller| caller.status == 503).count();
    let begun = new.iter().filter(|caller| caller.status == 200).count();
    recorder.say(&format!(
        "{goes_on} of {} streams that were taken up go on, {refused} are refused; {begun} of {} new \
         streams begin",
        taken.len(),
        new.len()
    ));
    // goes_on / taken < begun / new / 2
    let is_under_half = 2 * goes_on * new.len() < begun * taken.len();
    if taken.len() >= FEWEST_TAKEN_UP && is_under_half { Outcome::Broken } else { Outcome::Held }
}

/// The rule ORDER: a stream that ends as complete has each event once, in order.
fn judge_order(recorder: &Recorder, spec: &Spec, callers: &[Caller]) -> Outcome {
    let expected: Vec<_> = (1..=spec.events).map(|number| spec.id(number)).collect();
    let (mut whole, mut broken_off, mut disordered) = (0, 0, 0);
    for caller in callers {
        let Caller { number, events, taken_up_after, status, end } = caller;
        if *end != End::Complete || *status != 200 {
            broken_off += 1;
            continue;
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        if ids == expected {
            whole += 1;
            continue;
        }
        disordered += 1;
        let place =
            taken_up_after.map_or(String::new(), |after| format!(", taken up after {after}"));
        let pieces: Vec<_> =
            events.iter().filter_map(|event| event.data.split(' ').nth(2)).collect();
        recorder.line(&format!("stream {number:03}{place}: pieces {}", pieces.join(" ")));
    }
    recorder.say(&format!(
        "{whole} streams whole, {broken_off} refused or broken off, {disordered} with pieces missing or \
         twice"
    ));
    if disordered > 0 { Outcome::Broken } else { Outcome::Held }
}
