//! Readers get every token once, in order, from one generation, while engines and connections fail.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_fakes::history::Event;
use comfreymast_platform::VmState;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{FleetOptions, StreamEnd};
use common::{Fixture, daemon_flags, run};

fn options(engines: usize) -> FleetOptions {
    FleetOptions { engines, servers: 0, daemon_flags: daemon_flags(&[]), ..FleetOptions::default() }
}

#[test]
fn streams_continue_when_their_engine_is_killed() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(3)).await;
        let mut readings = Vec::new();
        for request in 0..6 {
            let tokens = if request == 0 { 20_000 } else { 400 };
            let prompt = format!("report {request}, tokens={tokens}");
            readings.push(fixture.read((request % 3) as usize, request, "report", &prompt).await);
        }
        for reading in &mut readings {
            assert_eq!(reading.read(5).await, None);
        }
        // Kills the engine of the first stream, then the engine that the stream moved to.
        for starts in 2..=3 {
            let engine = fixture.engine_of("report 0, tokens=20000").await;
            fixture.fleet.engines[engine].process.kill();
            // Waits for the continuation, because tokens in flight arrive before the stream moves.
            let has_moved =
                || starts_of(&fixture.fleet.lines(), "report 0, tokens=20000") == starts;
            fixture.fleet.wait_for("a continuation", has_moved).await.unwrap();
            assert_eq!(readings[0].read_more(100).await, None, "{}", fixture.log_of(0));
        }
        assert_eq!(readings[0].read_more(100).await, None);
        for reading in &mut readings[1..] {
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
        }
        assert_eq!(starts_of(&fixture.fleet.lines(), "report 0, tokens=20000"), 3);
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_continue_when_their_engine_is_reclaimed() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(2)).await;
        let mut reading = fixture.read(0, 1, "report", "report, tokens=300").await;
        assert_eq!(reading.read(5).await, None);
        let engine = fixture.engine_of("report, tokens=300").await;
        fixture.fleet.engines[engine].vm.state = VmState::Leaving;
        fixture.fleet.publish_vms().await.unwrap();
        assert_eq!(reading.read(20).await, None);
        fixture.fleet.engines[engine].process.kill();
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_study_that_is_not_repeatable_is_never_restarted() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(2)).await;
        let prompt = "study, tokens=20000";
        let mut reading = fixture.read(0, 1, "study", prompt).await;
        assert_eq!(reading.read(5).await, None);
        let engine = fixture.engine_of(prompt).await;
        fixture.fleet.engines[engine].process.kill();
        assert_eq!(reading.rest().await, StreamEnd::Error("generation_lost".to_owned()));
        assert_eq!(starts_of(&fixture.fleet.lines(), prompt), 1);
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_that_close_early_are_reattached() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(1)).await;
        for (request, kind) in (0..).zip(["report", "study"]) {
            let prompt = format!("{kind}, tokens=300");
            let mut reading = fixture.read(0, request, kind, &prompt).await;
            assert_eq!(reading.read(5).await, None);
            let faults = EngineFaults { close_streams: true, ..EngineFaults::default() };
            fixture.fleet.set_faults(&fixture.fleet.engines[0].process, &faults).await.unwrap();
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
            assert_eq!(starts_of(&fixture.fleet.lines(), &prompt), 1);
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_stalled_generation_moves_to_another_engine_and_is_cancelled_on_the_first() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(2)).await;
        let prompt = "report, tokens=600";
        let mut reading = fixture.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(5).await, None);
        let engine = fixture.engine_of(prompt).await;
        // The engine still answers but produces no tokens, as three new connections show.
        let faults = EngineFaults { stall: true, ..EngineFaults::default() };
        fixture.fleet.set_faults(&fixture.fleet.engines[engine].process, &faults).await.unwrap();
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
        let name = fixture.fleet.engines[engine].vm.name.clone();
        let cancelled = || {
            fixture.fleet.lines().iter().any(|line| {
                *line.source == *name
                    && matches!(line.event, Event::GenerationEnd { whole: false, .. })
            })
        };
        fixture.fleet.wait_for("the cancelled attempt", cancelled).await.unwrap();
        fixture.assert_tokens_valid();
    });
}

#[test]
fn foreign_and_repeated_tokens_never_reach_a_reader() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(1)).await;
        let mut request = 0;
        for kind in ["report", "study"] {
            for faults in [
                EngineFaults { cross_tokens: 3, ..EngineFaults::default() },
                EngineFaults { repeat_tokens: 3, ..EngineFaults::default() },
            ] {
                request += 1;
                let prompt = format!("{kind} {request}, tokens=300");
                let mut reading = fixture.read(0, request, kind, &prompt).await;
                assert_eq!(reading.read(5).await, None);
                fixture.fleet.set_faults(&fixture.fleet.engines[0].process, &faults).await.unwrap();
                assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
                assert_eq!(starts_of(&fixture.fleet.lines(), &prompt), 1);
            }
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn non_streaming_answers_are_complete_when_tokens_cross_and_engines_die() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(2)).await;
        let faults = EngineFaults { cross_tokens: 2, repeat_tokens: 2, ..EngineFaults::default() };
        for engine in &fixture.fleet.engines {
            fixture.fleet.set_faults(&engine.process, &faults).await.unwrap();
        }
        let addr = fixture.fleet.daemons[0].callers();
        let mut answers = Vec::new();
        for request in 0..4u64 {
            let (client, history) = (fixture.client.clone(), fixture.history.clone());
            answers.push(spawner.spawn(async move {
                let prompt = format!("verdict {request}, tokens=300");
                history.record(Event::Sent { request, what: prompt.clone() });
                let answer = client.complete(addr, "m", &prompt, &[]).await.unwrap();
                let text = answer.json()["choices"][0]["text"].as_str().unwrap_or("").to_owned();
                for token in text.split_inclusive(' ') {
                    let text = token.to_owned();
                    history.record(Event::TokenRead { request, text });
                }
                let (status, outcome) = (answer.status, answer.outcome);
                let body = String::new();
                history.record(Event::Answered { request, status, outcome, body });
                status
            }));
        }
        let engine = fixture.engine_of("verdict 0, tokens=300").await;
        fixture.fleet.engines[engine].process.kill();
        for answer in answers {
            assert_eq!(answer.await, 200, "{}", fixture.log_of(0));
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn new_work_avoids_unreachable_engines() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(6)).await;
        for engine in &mut fixture.fleet.engines[1..] {
            engine.process.kill();
        }
        // The VM list still contains all of them.
        for request in 0..20 {
            let prompt = format!("report {request}, tokens=3");
            let mut reading = fixture.read(0, request, "report", &prompt).await;
            assert_eq!(reading.status(), 200, "{}", fixture.log_of(0));
            assert_eq!(reading.rest().await, StreamEnd::Done);
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_continue_when_their_engine_freezes_and_resumes() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(2)).await;
        let mut report = fixture.read(0, 1, "report", "report, tokens=20000").await;
        assert_eq!(report.read(10).await, None);
        let engine =
            &fixture.fleet.engines[fixture.engine_of("report, tokens=20000").await].process;
        engine.signal("STOP").unwrap();
        fixture.wait_for_starts("report, tokens=20000", 2).await;
        // It still has the old attempt and the pending request to cancel it.
        engine.signal("CONT").unwrap();
        assert_eq!(report.read_more(1_000).await, None, "{}", fixture.log_of(0));
        assert_eq!(starts_of(&fixture.fleet.lines(), "report, tokens=20000"), 2);
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_request_sent_to_a_frozen_engine_moves_to_another() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(2)).await;
        let frozen = &fixture.fleet.engines[0].process;
        frozen.signal("STOP").unwrap();
        let mut readings = Vec::new();
        for request in 0..4 {
            let prompt = format!("report {request}, tokens=100");
            readings.push(fixture.read(0, request, "report", &prompt).await);
        }
        for reading in &mut readings {
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
        }
        frozen.signal("CONT").unwrap();
        assert!(fixture.fleet.page(frozen, "/load").await.is_object());
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_study_that_frozen_engines_may_have_received_starts_at_most_once() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(2)).await;
        for engine in &fixture.fleet.engines {
            engine.process.signal("STOP").unwrap();
        }
        let mut reading = fixture.read(0, 1, "study", "study, tokens=100").await;
        let lost = StreamEnd::Error("generation_lost".to_owned());
        assert_eq!(reading.rest().await, lost, "{}", fixture.log_of(0));
        for engine in &fixture.fleet.engines {
            engine.process.signal("CONT").unwrap();
        }
        // The engines may now run what they received while they were frozen.
        for engine in &fixture.fleet.engines {
            assert!(fixture.fleet.page(&engine.process, "/load").await.is_object());
        }
        assert!(starts_of(&fixture.fleet.lines(), "study, tokens=100") <= 1);
        fixture.assert_tokens_valid();
    });
}
