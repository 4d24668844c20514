//! Tests that an evacuated data centre gets no requests, however daemons hear of the evacuation, and that what
//! runs there moves or ends in its own time.

mod support;

use std::net::SocketAddr;

use comfreymast_base::Clock;
use comfreymast_fakes::log_service::{LogFaults, StoreCopy};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{Spawner, sleep_ms};
use futures_lite::future::zip;
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, event_ids, generation, generation_of, run_test, wait_for};

const EVENTS: u64 = 100;
/// The time after which all daemons are to have stopped.
const IN_FORCE_MS: u64 = 500;
const ROUND: usize = 30;
const ANSWER_MS: u64 = 20;
const CALL_LIMIT_MS: u64 = 10_000;
const MAX_BODY_BYTES: usize = 1_024;
/// Longer than a reader's wait at the store, which answers reads that wait when it falls silent.
const LAST_READ_MS: u64 = 1_200;

/// Plain upstreams and engines, one of each in each data centre.
struct Site {
    env: TestEnv,
    plain: Vec<PlatformUpstream>,
    engines: Vec<PlatformUpstream>,
}

async fn site(spawner: &Spawner, data_centres: &[&str]) -> Site {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |_| ());
    let (mut plain, mut engines) = (Vec::new(), Vec::new());
    for name in data_centres {
        let upstream = env.upstream_in(name, &format!("plain-{name}"), "plain").await;
        upstream.update_behaviour(|behaviour| behaviour.answer_ms = ANSWER_MS);
        plain.push(upstream);
        let engine = env.upstream_in(name, &format!("engine-{name}"), "engines").await;
        engine.update_behaviour(|behaviour| behaviour.events = EVENTS);
        engines.push(engine);
    }
    Site { env, plain, engines }
}

impl Site {
    async fn gateway(&self, name: &str) -> Gateway {
        let gateway = self.env.gateway(name).await;
        self.wait_ready(&gateway).await;
        gateway
    }

    async fn wait_ready(&self, gateway: &Gateway) {
        gateway.wait_ready(&self.env.spawner).await;
        wait_for("answers", async || status(&self.env, gateway, "ready").await == StatusCode::OK)
            .await;
    }

    /// A daemon that reaches only its peer.
    async fn gateway_without_store(&self, name: &str, peer: &Gateway) -> Gateway {
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let options = GatewayOptions::default();
        let gateway = self.env.gateway_at(name, unreachable, options, &[peer]).await;
        self.wait_ready(&gateway).await;
        gateway
    }

    /// How many of a round of requests that `gateway` serves run in the data centre with this number. They are
    /// sent together, since single ones may all go to one upstream that was faster before.
    async fn runs_in(&self, gateway: &Gateway, number: usize) -> usize {
        let before = self.plain[number].runs().len();
        let spawner = &self.env.spawner;
        let answers: Vec<_> = (0..ROUND)
            .map(|round| {
                let (inner, addr) = (spawner.clone(), gateway.addresses.callers);
                let request = call("GET", "/safe/x", &format!("round-{round}"));
                spawner.spawn(async move {
                    comfreymast_net::call(&inner, addr, request, CALL_LIMIT_MS, MAX_BODY_BYTES)
                        .await
                })
            })
            .collect();
        for answer in answers {
            assert_eq!(answer.await.expect("an answer").status(), StatusCode::OK);
        }
        self.plain[number].runs().len() - before
    }

    async fn wait_evacuated(&self, gateway: &Gateway, number: usize) {
        wait_for("evacuation", async || self.runs_in(gateway, number).await == 0).await;
    }

    async fn wait_used(&self, gateway: &Gateway, number: usize) {
        wait_for("use", async || self.runs_in(gateway, number).await > 0).await;
    }

    /// The store is away for a moment and comes back from `copy`.
    async fn return_from(&self, copy: &StoreCopy) {
        const AWAY_MS: u64 = 300;
        self.env.set_faults(LogFaults { down: true, ..LogFaults::default() });
        sleep_ms(AWAY_MS).await;
        self.env.store.restore(copy);
        self.env.set_faults(LogFaults::default());
    }

    /// Waits until an engine runs the generation `id`, and returns its number.
    async fn engine_of(&self, id: &str) -> usize {
        let runs = |engine: &PlatformUpstream| engine.running().iter().any(|running| running == id);
        wait_for("run", async || self.engines.iter().any(runs)).await;
        self.engines.iter().position(runs).expect("an engine")
    }

    /// The engines that have run the generation `id`, by number.
    fn engines_of(&self, id: &str) -> Vec<usize> {
        let engines = self.engines.iter().enumerate();
        let ran = engines.filter(|(_, engine)| engine.runs().iter().any(|run| run.id == id));
        ran.map(|(number, _)| number).collect()
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.engines.iter().flat_map(PlatformUpstream::runs);
        runs.filter(|run| run.id == id).count()
    }
}

async fn status(env: &TestEnv, gateway: &Gateway, id: &str) -> StatusCode {
    gateway.call(&env.spawner, call("GET", "/safe/x", id)).await.status
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

#[test]
fn requests_and_streams_leave_an_evacuated_data_centre_at_once_and_return_gradually() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let gateway = site.gateway("d0").await;
        site.wait_used(&gateway, 0).await;
        let before = site.runs_in(&gateway, 0).await;
        site.env.evacuate("z1");
        sleep_ms(IN_FORCE_MS).await;
        assert_eq!(site.runs_in(&gateway, 0).await, 0);
        for number in 0..4 {
            let id = format!("stream-{number}");
            let answer = gateway.call(&spawner, generation("/report/x", &id)).await;
            assert_eq!(event_ids(&answer.body), all_events());
            assert_eq!(site.engines_of(&id), [1]);
        }
        site.env.end_evacuation("z1");
        sleep_ms(100).await;
        let at_first = site.runs_in(&gateway, 0).await;
        assert!(at_first < before, "{at_first} at first, {before} before");
        wait_for("whole share", async || site.runs_in(&gateway, 0).await >= before / 2).await;
    });
}

#[test]
fn a_daemon_that_cannot_reach_the_store_hears_of_begin_and_end_from_a_peer() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let first = site.gateway("d0").await;
        let second = site.gateway_without_store("d1", &first).await;
        site.wait_used(&second, 0).await;
        site.env.evacuate("z1");
        site.wait_evacuated(&second, 0).await;
        sleep_ms(IN_FORCE_MS).await;
        assert_eq!(site.runs_in(&second, 0).await, 0);
        site.env.end_evacuation("z1");
        site.wait_used(&second, 0).await;
    });
}

#[test]
fn a_daemon_that_starts_during_an_evacuation_sends_nothing_there() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        site.env.evacuate("z1");
        let first = site.gateway("d0").await;
        assert_eq!(site.runs_in(&first, 0).await, 0);
        site.env.set_faults(LogFaults { down: true, ..LogFaults::default() });
        let second = site.gateway_without_store("d1", &first).await;
        assert_eq!(site.runs_in(&second, 0).await, 0);
        assert!(site.plain[0].runs().is_empty(), "not even its first requests");
    });
}

#[test]
fn a_record_that_is_written_and_removed_while_the_store_is_silent_takes_effect_afterwards() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let gateway = site.gateway("d0").await;
        let down = LogFaults { down: true, ..LogFaults::default() };
        site.env.set_faults(down.clone());
        sleep_ms(LAST_READ_MS).await;
        site.env.evacuate("z1");
        site.env.set_faults(LogFaults::default());
        site.wait_evacuated(&gateway, 0).await;
        site.env.set_faults(down);
        sleep_ms(LAST_READ_MS).await;
        site.env.end_evacuation("z1");
        sleep_ms(IN_FORCE_MS).await;
        assert_eq!(site.runs_in(&gateway, 0).await, 0, "what is not known does not end it");
        // The records are gone; only the newest of each key is left.
        site.env.set_faults(LogFaults { retention_records: 1, ..LogFaults::default() });
        site.wait_used(&gateway, 0).await;
    });
}

#[test]
fn several_data_centres_are_evacuated_at_once_and_all_of_them_reject_at_once() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES).await;
        let gateway = site.gateway("d0").await;
        site.env.evacuate("z1");
        site.env.evacuate("z2");
        site.env.evacuate("z1");
        sleep_ms(IN_FORCE_MS).await;
        assert_eq!(site.runs_in(&gateway, 0).await, 0);
        assert_eq!(site.runs_in(&gateway, 1).await, 0);
        site.env.evacuate("z3");
        sleep_ms(IN_FORCE_MS).await;
        let clock = Clock::system();
        for request in [call("POST", "/plain/x", "all"), generation("/report/x", "all")] {
            let started_ms = clock.now_ms();
            let answer = gateway.call(&spawner, request).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.headers.contains_key("retry-after"));
            let took_ms = clock.now_ms() - started_ms;
            // A stream without room would wait for 1.2 s.
            assert!(took_ms < 600, "{took_ms} ms");
        }
        assert_eq!(site.runs_of("all"), 0);
        site.env.end_evacuation("z2");
        site.wait_ready(&gateway).await;
        site.wait_used(&gateway, 1).await;
        assert_eq!(site.runs_in(&gateway, 0).await, 0);
    });
}

#[test]
fn an_unknown_data_centre_changes_nothing() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let gateway = site.gateway("d0").await;
        site.env.evacuate("nowhere");
        site.env.evacuate("");
        sleep_ms(IN_FORCE_MS).await;
        assert!(site.runs_in(&gateway, 0).await + site.runs_in(&gateway, 1).await > 0);
        site.wait_used(&gateway, 0).await;
    });
}

#[test]
fn a_generation_moves_out_and_a_resumable_stream_ends_where_it_runs() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let gateway = site.gateway("d0").await;
        let once = gateway.call(&spawner, generation("/report/x", "once"));
        let resumable = gateway.call(&spawner, generation("/caption/x", "resumable"));
        let evacuated = async {
            let engine = site.engine_of("once").await;
            site.env.evacuate(ZONES[engine]);
            let engine = site.engine_of("resumable").await;
            site.env.evacuate(ZONES[engine]);
            engine
        };
        // Both may be on one engine; then the other one takes what moves.
        let ((once, resumable), _) = zip(zip(once, resumable), evacuated).await;
        assert_eq!(event_ids(&once.body), all_events());
        assert_eq!(event_ids(&resumable.body), all_events());
        assert_eq!(site.runs_of("resumable"), 1, "it ends where it runs");
    });
}

#[test]
fn a_running_generation_moves_to_another_data_centre() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let gateway = site.gateway("d0").await;
        let answer = gateway.call(&spawner, generation("/report/x", "id-1"));
        let evacuated = async {
            let engine = site.engine_of("id-1").await;
            site.env.evacuate(ZONES[engine]);
            engine
        };
        let (answer, engine) = zip(answer, evacuated).await;
        assert_eq!(event_ids(&answer.body), all_events());
        assert_eq!(site.runs_of("id-1"), 2, "it moved");
        let moved = site.engines[1 - engine].runs().into_iter().find(|run| run.id == "id-1");
        let origin = format!("{}/copy-id-1", site.engines[engine].addr);
        assert_eq!(moved.expect("a run elsewhere").origin, Some(origin));
    });
}

#[test]
fn a_generation_stays_if_moving_is_turned_off() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let options = GatewayOptions::default().moves_evacuated(false);
        let gateway = site.env.gateway_at("d0", site.env.store_addr, options, &[]).await;
        site.wait_ready(&gateway).await;
        let answer = gateway.call(&spawner, generation("/report/x", "id-1"));
        let evacuated = async {
            let engine = site.engine_of("id-1").await;
            site.env.evacuate(ZONES[engine]);
        };
        let (answer, ()) = zip(answer, evacuated).await;
        assert_eq!(event_ids(&answer.body), all_events());
        assert_eq!(site.runs_of("id-1"), 1);
    });
}

#[test]
fn a_generation_without_room_elsewhere_ends_where_it_runs_without_a_delay() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let gateway = site.gateway("d0").await;
        let (holding, moving) = ((9_000, 80), (3_000, 80));
        site.engines.iter().for_each(|engine| {
            engine.update_behaviour(|behaviour| behaviour.events = 4 * EVENTS);
        });
        let held = gateway.call(&spawner, generation_of("/caption/x", "held", holding));
        let moved = async {
            let holder = site.engine_of("held").await;
            let other = &site.engines[1 - holder];
            other.update_behaviour(|behaviour| behaviour.events = EVENTS);
            let answer = gateway.call(&spawner, generation_of("/report/x", "id-1", moving));
            let evacuated = async {
                assert_eq!(site.engine_of("id-1").await, 1 - holder);
                site.env.evacuate(ZONES[1 - holder]);
            };
            zip(answer, evacuated).await.0
        };
        // The holder ends long after the other one, so a delayed end shows as a move.
        let (_, answer) = zip(held, moved).await;
        assert_eq!(event_ids(&answer.body), all_events());
        assert_eq!(site.runs_of("id-1"), 1);
    });
}

#[test]
fn generations_of_an_engine_are_copied_one_at_a_time() {
    run_test(async |spawner| {
        const COUNT: usize = 5;
        let site = site(&spawner, &ZONES[..1]).await;
        let gateway = site.gateway("d0").await;
        site.engines[0].update_behaviour(|behaviour| {
            behaviour.events = 5 * EVENTS;
            behaviour.copy_ms = 30;
        });
        let mut answers = Vec::new();
        for number in 0..COUNT {
            let call = generation(&format!("/report/{number}"), &format!("id-{number}"));
            answers.push(gateway.open(&spawner, call).await);
        }
        let target = site.env.upstream_in("z2", "engine-z2", "engines").await;
        target.update_behaviour(|behaviour| behaviour.events = 5 * EVENTS);
        sleep_ms(IN_FORCE_MS).await;
        site.env.evacuate("z1");
        wait_for("moves", async || target.running().len() == COUNT).await;
        assert_eq!(site.engines[0].max_running_copies(), 1);
        drop(answers);
    });
}

#[test]
fn a_stopped_generation_never_returns_to_its_engine_after_the_bound() {
    run_test(async |spawner| {
        let mut site = site(&spawner, &ZONES).await;
        // Shorter than the margin, so that it holds at once.
        site.env.evacuation_ms = Some(1_000);
        let gateway = site.gateway("d0").await;
        for engine in &site.engines {
            engine.update_behaviour(|behaviour| behaviour.keeps_last_copy = true);
        }
        let answer = gateway.call(&spawner, generation("/report/x", "id-1"));
        let evacuated = async {
            let engine = site.engine_of("id-1").await;
            site.env.evacuate(ZONES[engine]);
            wait_for("stop", async || site.engines[engine].running().is_empty()).await;
            sleep_ms(200).await;
            site.engines[engine].update_behaviour(|behaviour| behaviour.keeps_last_copy = false);
            engine
        };
        let (answer, engine) = zip(answer, evacuated).await;
        assert_eq!(event_ids(&answer.body), all_events());
        let runs = site.engines[engine].runs();
        assert_eq!(runs.iter().filter(|run| run.id == "id-1").count(), 1, "it did not return");
        assert_eq!(site.runs_of("id-1"), 2);
    });
}

#[test]
fn an_interrupted_stream_is_not_resumed_in_an_evacuated_data_centre() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES).await;
        let gateway = site.gateway("d0").await;
        for engine in &site.engines {
            engine.update_behaviour(|behaviour| behaviour.breaks_after = Some(EVENTS / 2));
        }
        for round in 0..4 {
            let id = format!("id-{round}");
            let answer = gateway.call(&spawner, generation("/caption/x", &id));
            let evacuated = async {
                let running = site.engine_of(&id).await;
                let zone = (running + 1) % ZONES.len();
                site.env.evacuate(ZONES[zone]);
                zone
            };
            let (_, zone) = zip(answer, evacuated).await;
            assert!(!site.engines_of(&id).contains(&zone), "resumed in {zone}");
            site.env.end_evacuation(ZONES[zone]);
            sleep_ms(IN_FORCE_MS).await;
        }
    });
}

#[test]
fn an_evacuation_that_the_store_lost_stays_in_force_until_it_is_removed_again() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let first = site.gateway("d0").await;
        let second = site.gateway_without_store("d1", &first).await;
        let copy = site.env.store.copy();
        site.env.publish_with_route("/later/", 2);
        site.env.evacuate("z1");
        site.wait_evacuated(&second, 0).await;
        site.return_from(&copy).await;
        for upstream in &site.plain {
            let zone = upstream.name.strip_prefix("plain-").expect("a data centre");
            site.env.announce_in(zone, (&upstream.name, upstream.addr), "plain");
        }
        sleep_ms(IN_FORCE_MS).await;
        let third = site.gateway("d2").await;
        let fourth = site.gateway_without_store("d3", &first).await;
        for (name, gateway) in [("d0", &first), ("d1", &second), ("d3", &fourth)] {
            assert_eq!(site.runs_in(gateway, 0).await, 0, "{name}");
        }
        // It has only the copy, until a peer has told it what the store lost.
        drop(third);
        site.env.end_evacuation("z1");
        for gateway in [&first, &second, &fourth] {
            site.wait_used(gateway, 0).await;
        }
    });
}

#[test]
fn an_ended_evacuation_does_not_come_back_with_an_older_copy_and_a_new_one_holds() {
    run_test(async |spawner| {
        let site = site(&spawner, &ZONES[..2]).await;
        let first = site.gateway("d0").await;
        let second = site.gateway_without_store("d1", &first).await;
        site.env.evacuate("z1");
        site.wait_evacuated(&second, 0).await;
        let copy = site.env.store.copy();
        site.env.end_evacuation("z1");
        site.wait_used(&first, 0).await;
        site.wait_used(&second, 0).await;
        site.return_from(&copy).await;
        sleep_ms(2 * IN_FORCE_MS).await;
        for gateway in [&first, &second] {
            site.wait_used(gateway, 0).await;
        }
        // A daemon that starts now has the record from the store, and learns from a peer that it was removed.
        let options = GatewayOptions::default();
        let third = site.env.gateway_at("d2", site.env.store_addr, options, &[&first]).await;
        site.wait_ready(&third).await;
        site.wait_used(&third, 0).await;
        site.env.evacuate("z1");
        for gateway in [&first, &second, &third] {
            site.wait_evacuated(gateway, 0).await;
        }
        sleep_ms(IN_FORCE_MS).await;
        for gateway in [&first, &second, &third] {
            assert_eq!(site.runs_in(gateway, 0).await, 0);
        }
        site.env.end_evacuation("z1");
        for gateway in [&first, &second, &third] {
            site.wait_used(gateway, 0).await;
        }
    });
}
