//! A machine freezes while a server crashes and is started again at its address. Answers without a
//! length, which broke off meanwhile, must not look complete.

use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::caller::{Answer, End, call};
use crate::cases::{Route, configuration};
use crate::daemon::{Fleet, loopback};
use crate::record::Recorder;
use crate::server::{Server, Spec, free_addr};
use crate::store::Store;
use crate::{Outcome, setting};

const MACHINES: u8 = 9;
const SERVERS: usize = 6;
/// Of the answers of a server.
const UNFRAMED_ONE_IN: u64 = 20;
const EVENTS: u64 = 50;
const EVENT_MS: u64 = 100;
const FREEZE_AT_MS: u64 = 800;
const FREEZE_MS: u64 = 3_500;
/// When the server crashes, after the freeze began.
const CRASH_MS: u64 = 400;
/// How long the server is down.
const DOWN_MS: u64 = 1_500;

/// Plays the case. `FREEZE=0` or `CRASH=0` leaves one of the two disruptions out.
pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Result<Outcome> {
    let has_freeze = has_trouble && setting("FREEZE", 1) != 0;
    let has_crash = has_trouble && setting("CRASH", 1) != 0;
    let store = Store::default();
    let routes = [
        Route {
            prefix: "/stream/",
            kind: "streaming",
            is_resumable: false,
            timeout_ms: 20_000,
            targets: "\"service\":\"pool\"",
        },
        Route {
            prefix: "/plain/",
            kind: "unsafe",
            is_resumable: false,
            timeout_ms: 20_000,
            targets: "\"service\":\"pool\"",
        },
    ];
    store.put("keyed.op", "config", &configuration(&routes, &["pool"]));
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let spec = Spec {
            name: format!("i-pool-{number}"),
            service: "pool".to_owned(),
            zone: "z1".to_owned(),
            version: "v1".to_owned(),
            addr: free_addr()?,
            store: store.open()?.addr,
            events: EVENTS,
            event_ms: EVENT_MS,
            id_base: 0,
            id_step: 1,
            unframed_one_in: UNFRAMED_ONE_IN,
        };
        servers.push(Server::start(spec, recorder)?);
    }
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

    let front = machines[0].front;
    let callers: Vec<_> = (0..setting("REQUESTS", 120))
        .map(|number| {
            let recorder = recorder.clone();
            thread::spawn(move || {
                let is_stream = number % 2 == 0;
                let id = format!("c{number:02}");
                let path = if is_stream { "/stream/" } else { "/plain/" };
                let answer =
                    call(front, &format!("{path}{number}"), &id, "X-Deadline-Ms: 20000\r\n");
                let Answer { status, end, body } = &answer;
                recorder.line(&format!("answer   {id}: {status} {end:?}, {} B", body.len()));
                (id, is_stream, answer)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(FREEZE_AT_MS));
    if has_freeze {
        recorder.say("front-1 freezes");
        machines[0].signal("STOP")?;
    }
    thread::sleep(Duration::from_millis(CRASH_MS));
    if has_crash {
        recorder.say("i-pool-1 crashes");
        servers[0].kill()?;
        thread::sleep(Duration::from_millis(DOWN_MS));
        let spec = servers[0].spec.clone();
        servers[0] = Server::start(spec, recorder)?;
        recorder.say("i-pool-1 is started again");
    }
    if has_freeze {
        let frozen_ms = CRASH_MS + if has_crash { DOWN_MS } else { 0 };
        thread::sleep(Duration::from_millis(FREEZE_MS - frozen_ms));
        machines[0].signal("CONT")?;
        recorder.say("front-1 wakes");
    }
    let answers: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    Ok(judge(recorder, &servers[0].spec, &answers))
}

/// The rules MIXED and ORDER: an answer that ended early does not look complete.
fn judge(recorder: &Recorder, spec: &Spec, answers: &[(String, bool, Answer)]) -> Outcome {
    let plain: String = (1..=spec.events).map(|number| spec.part(number)).collect();
    let (mut whole, mut broken_off, mut cut) = (0, 0, 0);
    for (id, is_stream, answer) in answers {
        if answer.end != End::Complete || answer.status != 200 {
            broken_off += 1;
            continue;
        }
        let events = answer.events().len() as u64;
        let is_whole =
            if *is_stream { events == spec.events } else { answer.body == plain.as_bytes() };
        if is_whole {
            whole += 1;
            continue;
        }
        cut += 1;
        let extent = if *is_stream {
            format!("a stream with {events} of {} events", spec.events)
        } else {
            format!("an answer with {} of {} B", answer.body.len(), plain.len())
        };
        recorder.say(&format!("{id}: 200 and complete for its caller, {extent}"));
    }
    recorder.say(&format!(
        "{whole} answers whole, {broken_off} failed or broken off, {cut} cut and looking complete"
    ));
    if cut > 0 { Outcome::Broken } else { Outcome::Held }
}
