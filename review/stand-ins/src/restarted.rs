//! A server starts again under its id with a newer version, while the store is down. A stream that
//! begins there and breaks off goes on at a server of the old version.

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
const EVENTS: u64 = 20;
const EVENT_MS: u64 = 100;
const DOWN_MS: u64 = 4_500;
/// ORDER allows so many streams with events of two versions.
const JOINED_ALLOWED: usize = 2;

/// Plays the case.
pub fn play(recorder: &Arc<Recorder>, has_trouble: bool) -> Result<Outcome> {
    let store = Store::default();
    let route = Route {
        prefix: "/stream/",
        kind: "streaming",
        is_resumable: true,
        timeout_ms: 6_000,
        targets: "\"service\":\"pool\"",
    };
    store.put("keyed.op", "config", &configuration(&[route], &["pool"]));
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
            unframed_one_in: 0,
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

    let wait = |ms| thread::sleep(Duration::from_millis(ms));
    if has_trouble {
        recorder.say("the store is down: it refuses all calls");
        store.set_all_down(true);
        let (store, recorder) = (store.clone(), recorder.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(DOWN_MS));
            store.set_all_down(false);
            recorder.say("the store is back");
        });
    }
    wait(300);
    if has_trouble {
        recorder.say("i-pool-1 ends");
        servers[0].kill()?;
    }
    wait(700);
    if has_trouble {
        let spec = Spec { version: "v2".to_owned(), ..servers[0].spec.clone() };
        servers[0] = Server::start(spec, recorder)?;
        recorder.say("i-pool-1 is started again, at version v2");
    }
    wait(500);
    let callers: Vec<_> = (0..setting("STREAMS", 48))
        .map(|number| {
            let recorder = recorder.clone();
            let front = machines[number % machines.len()].front;
            thread::spawn(move || {
                let id = format!("c{number:02}");
                let path = format!("/stream/{number}");
                let answer = call(front, &path, &id, "X-Deadline-Ms: 6000\r\n");
                let Answer { status, end, .. } = &answer;
                let events = answer.events().len();
                recorder.line(&format!("answer   {id}: {status} {end:?}, {events} events"));
                (id, answer)
            })
        })
        .collect();
    wait(1_000);
    if has_trouble {
        recorder.say("i-pool-1 crashes");
        servers[0].kill()?;
    }
    let answers: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    Ok(judge(recorder, &answers))
}

/// The rule ORDER: no more than two streams hold events from servers of two software versions of one
/// service.
fn judge(recorder: &Recorder, answers: &[(String, Answer)]) -> Outcome {
    let (mut whole, mut broken_off, mut joined) = (0, 0, 0);
    for (id, answer) in answers {
        if answer.end != End::Complete || answer.status != 200 {
            broken_off += 1;
            continue;
        }
        let events = answer.events();
        let mut versions: Vec<_> =
            events.iter().filter_map(|event| event.data.split(' ').nth(1)).collect();
        versions.dedup();
        if versions.len() == 1 && events.len() as u64 == EVENTS {
            whole += 1;
            continue;
        }
        joined += 1;
        recorder.say(&format!("{id}: 200 and complete, joined from {}", versions.join(" then ")));
    }
    recorder.say(&format!(
        "{whole} streams whole, {broken_off} failed or broken off, {joined} joined from two versions"
    ));
    if joined > JOINED_ALLOWED { Outcome::Broken } else { Outcome::Held }
}
