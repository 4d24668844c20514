//! Tests that streams are complete although engines leave, fail in the middle of a stream or are
//! full.

mod support;

use comfreymast_fakes::platform_documents::UPSTREAMS_TOPIC;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_net::Spawner;
use hyper::StatusCode;
use support::{Gateway, TestEnv, event_ids, generation, generation_of, run_test, wait_for};

const EVENTS: u64 = 60;
/// Makes a stream last much longer than one of [`EVENTS`].
const LONG_EVENTS: u64 = 400;

struct Streams {
    env: TestEnv,
    gateway: Gateway,
    engines: Vec<PlatformUpstream>,
}

/// A gateway and engines whose streams last long enough for a test to act while they run.
async fn streams(spawner: &Spawner, engines: usize) -> Streams {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |_| ());
    let gateway = env.gateway("d0").await;
    gateway.wait_ready(spawner).await;
    let mut started = Vec::new();
    for number in 0..engines {
        let engine = env.upstream(&format!("e{number}"), "engines").await;
        engine.update_behaviour(|behaviour| behaviour.events = EVENTS);
        started.push(engine);
    }
    wait_for("engines", async || {
        let answer = gateway.call(spawner, generation("/caption/x", "probe")).await;
        answer.status == StatusCode::OK
    })
    .await;
    Streams { env, gateway, engines: started }
}

impl Streams {
    /// Waits until an engine has started to run the generation `id`, and returns that engine.
    async fn engine_of(&self, id: &str) -> PlatformUpstream {
        let ran = |engine: &&PlatformUpstream| engine.runs().iter().any(|run| run.id == id);
        wait_for("run", async || self.engines.iter().any(|engine| ran(&engine))).await;
        self.engines.iter().find(ran).cloned().expect("an engine")
    }
}

impl Streams {
    /// How often engines started or continued the generation `id`.
    fn runs_of(&self, id: &str) -> usize {
        let runs = self.engines.iter().flat_map(|engine| engine.runs());
        runs.filter(|run| run.id == id).count()
    }
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

#[test]
fn a_generation_moves_off_an_engine_that_leaves() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 3).await;
        let leaving = async {
            let engine = streams.engine_of("id-1").await;
            streams.env.announce(&engine, "engines", "draining");
            engine
        };
        let answer = streams.gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, engine) = futures_lite::future::zip(answer, leaving).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.headers["x-server-signature"], format!("signed-by-{}", engine.name));
        assert_eq!(event_ids(&answer.body), all_events());
        let others = streams.engines.iter().filter(|other| other.name != engine.name);
        let runs: Vec<_> = others.flat_map(|other| other.runs()).collect();
        let moved = runs.iter().find(|run| run.id == "id-1").expect("a run elsewhere");
        let origin = format!("{}/copy-id-1", engine.addr);
        assert_eq!(moved.origin.as_deref(), Some(origin.as_str()));
        assert!(moved.after_event.is_some());
    });
}

#[test]
fn a_generation_moves_off_an_engine_whose_entry_is_removed() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        let leaving = async {
            let engine = streams.engine_of("id-1").await;
            streams.env.write(UPSTREAMS_TOPIC, &engine.name, b"");
        };
        let answer = streams.gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, ()) = futures_lite::future::zip(answer, leaving).await;
        assert_eq!(event_ids(&answer.body), all_events());
        assert_eq!(streams.runs_of("id-1"), 2);
    });
}

#[test]
fn a_generation_moves_even_if_the_answer_to_a_copy_is_lost() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        for engine in &streams.engines {
            engine.update_behaviour(|behaviour| behaviour.lost_copy_answers = 1);
        }
        let leaving = async {
            let engine = streams.engine_of("id-1").await;
            streams.env.announce(&engine, "engines", "draining");
        };
        let answer = streams.gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, ()) = futures_lite::future::zip(answer, leaving).await;
        assert_eq!(event_ids(&answer.body), all_events());
        assert_eq!(streams.runs_of("id-1"), 2, "it moved");
    });
}

#[test]
fn a_generation_moves_once_another_engine_has_room() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        let holding =
            streams.gateway.call(&spawner, generation_of("/caption/x", "id-0", (7_000, 80)));
        let moving = async {
            let _holding_engine = streams.engine_of("id-0").await;
            for engine in &streams.engines {
                engine.update_behaviour(|behaviour| behaviour.events = LONG_EVENTS);
            }
            let call = generation_of("/report/x", "id-1", (7_000, 1_600));
            streams.gateway.call(&spawner, call).await
        };
        let leaving = async {
            let engine = streams.engine_of("id-1").await;
            streams.env.announce(&engine, "engines", "draining");
        };
        let calls = futures_lite::future::zip(holding, moving);
        let ((_, answer), ()) = futures_lite::future::zip(calls, leaving).await;
        assert_eq!(event_ids(&answer.body).len() as u64, LONG_EVENTS);
        assert_eq!(streams.runs_of("id-1"), 2, "it moved");
    });
}

#[test]
fn a_generation_stays_if_no_other_engine_has_room() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        for engine in &streams.engines {
            engine.update_behaviour(|behaviour| behaviour.is_full = true);
        }
        let leaving = async {
            let engine = streams.engine_of("id-1").await;
            streams.env.announce(&engine, "engines", "draining");
        };
        let answer = streams.gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, ()) = futures_lite::future::zip(answer, leaving).await;
        assert_eq!(event_ids(&answer.body), all_events());
        assert_eq!(streams.runs_of("id-1"), 1);
    });
}

#[test]
fn a_resumable_stream_continues_after_its_last_complete_event() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        streams.engines[0].update_behaviour(|behaviour| behaviour.breaks_after = Some(7));
        for number in 0..6 {
            let id = format!("id-{number}");
            let answer = streams.gateway.call(&spawner, generation("/caption/x", &id)).await;
            assert_eq!(event_ids(&answer.body), all_events());
        }
    });
}

#[test]
fn an_interrupted_stream_that_may_run_once_is_aborted_and_never_looks_complete() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        for engine in &streams.engines {
            engine.update_behaviour(|behaviour| behaviour.breaks_after = Some(7));
        }
        let (_connection, response) =
            streams.gateway.open(&spawner, generation("/report/x", "id-1")).await;
        let body = comfreymast_net::collect(response.into_body(), 1 << 20).await;
        assert!(body.is_err(), "the stream was cut");
        assert_eq!(streams.runs_of("id-1"), 1);
    });
}

#[test]
fn a_generation_ends_when_its_caller_disconnects() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 1).await;
        streams.engines[0].update_behaviour(|behaviour| behaviour.events = 100_000);
        let (connection, response) =
            streams.gateway.open(&spawner, generation("/report/x", "id-1")).await;
        assert_eq!(streams.engines[0].open_streams(), 1);
        drop((connection, response));
        wait_for("end of the generation", async || streams.engines[0].open_streams() == 0).await;
    });
}

#[test]
fn engines_are_polled_for_leaving_while_the_store_is_down() {
    run_test(async |spawner| {
        let streams = streams(&spawner, 2).await;
        streams.env.set_faults(comfreymast_fakes::log_service::LogFaults {
            down: true,
            ..Default::default()
        });
        for engine in &streams.engines {
            engine.update_behaviour(|behaviour| behaviour.events = 1_500);
        }
        let leaving = async {
            let engine = streams.engine_of("id-1").await;
            engine.update_behaviour(|behaviour| behaviour.is_leaving = true);
        };
        let answer = streams.gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, ()) = futures_lite::future::zip(answer, leaving).await;
        assert_eq!(event_ids(&answer.body).len(), 1_500);
        assert_eq!(streams.runs_of("id-1"), 2);
    });
}
