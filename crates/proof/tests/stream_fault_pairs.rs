//! Two faults at once: every token still once, in order, from one generation.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::process::EngineFaults;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{FleetOptions, ResumeMethod, StreamEnd};
use common::{Stage, daemon_flags, run};

fn options(engines: usize, engine_flags: &[&str]) -> FleetOptions {
    let mut options = FleetOptions {
        engines,
        servers: 0,
        daemon_flags: daemon_flags(&[]),
        ..FleetOptions::default()
    };
    options.engine_flags.extend(engine_flags.iter().map(|flag| (*flag).to_owned()));
    options
}

#[test]
fn a_daemon_wakes_after_the_engine_was_killed_and_the_reader_moved() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let mut stage = Stage::new(&spawner, options(3, flags)).await;
            let prompt = "report, tokens=900";
            let mut reading = stage.read(0, 1, "report", prompt).await;
            assert_eq!(reading.read(10).await, None);
            stage.fleet.daemons[0].process.signal("STOP").unwrap();
            let addr = stage.fleet.daemons[1].callers();
            let mut back = reading.fork(addr, ResumeMethod::Post, 2).await.unwrap();
            assert_eq!(back.read_more(20).await, None);
            let engine = stage.engine_of(prompt).await;
            stage.fleet.engines[engine].process.kill();
            assert_eq!(back.read_more(20).await, None, "{}", stage.log_of(1));
            // Its own stream is broken, its reader's connection is open: it may try to go on.
            stage.fleet.daemons[0].process.signal("CONT").unwrap();
            assert_eq!(back.rest().await, StreamEnd::Done, "{}", stage.log_of(1));
            stage.assert_tokens_hold();
        }
    });
}

#[test]
fn a_reader_is_carried_to_an_engine_where_its_old_daemon_has_gone_on() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let mut stage = Stage::new(&spawner, options(3, flags)).await;
            let prompt = "report, tokens=20000";
            let mut reading = stage.read(0, 1, "report", prompt).await;
            assert_eq!(reading.read(10).await, None);
            stage.fleet.daemons[0].process.signal("STOP").unwrap();
            let addr = stage.fleet.daemons[1].callers();
            let mut back = reading.fork(addr, ResumeMethod::Post, 2).await.unwrap();
            assert_eq!(back.read_more(20).await, None);
            let first = stage.engine_of(prompt).await;
            stage.fleet.engines[first].process.kill();
            assert_eq!(back.read_more(20).await, None, "{}", stage.log_of(1));
            stage.wait_for_starts(prompt, 2).await;
            let second = stage.engine_of(prompt).await;
            stage.fleet.daemons[0].process.signal("CONT").unwrap();
            // What the old daemon does now is its reader's to see: it goes on alone, or is told.
            let _ = reading.read_more(200).await;
            let faults = EngineFaults { stall: true, ..EngineFaults::default() };
            let stalled = &stage.fleet.engines[second].process;
            stage.fleet.set_faults(stalled, &faults).await.unwrap();
            assert_eq!(back.read_more(1_000).await, None, "{}", stage.log_of(1));
            stage.assert_tokens_hold();
        }
    });
}

#[test]
fn a_study_stays_one_run_when_its_daemon_wakes_after_the_engine_was_killed() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let mut stage = Stage::new(&spawner, options(3, flags)).await;
            let prompt = "study, tokens=20000";
            let mut reading = stage.read(0, 1, "study", prompt).await;
            assert_eq!(reading.read(10).await, None);
            stage.fleet.daemons[0].process.signal("STOP").unwrap();
            let addr = stage.fleet.daemons[1].callers();
            let mut back = reading.fork(addr, ResumeMethod::Post, 2).await.unwrap();
            assert_eq!(back.read_more(20).await, None);
            let engine = stage.engine_of(prompt).await;
            stage.fleet.engines[engine].process.kill();
            stage.fleet.daemons[0].process.signal("CONT").unwrap();
            let lost = StreamEnd::Error("generation_lost".to_owned());
            assert_eq!(back.rest().await, lost, "{}", stage.log_of(1));
            let _ = reading.rest().await;
            assert_eq!(starts_of(&stage.fleet.lines(), prompt), 1);
            stage.assert_tokens_hold();
        }
    });
}

#[test]
fn a_reader_comes_back_to_an_engine_whose_connections_fell_silent() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(1, &[])).await;
        for (request, kind) in [(1, "report"), (2, "study")] {
            let prompt = format!("{kind}, tokens=900");
            let mut reading = stage.read(0, request, kind, &prompt).await;
            assert_eq!(reading.read(10).await, None);
            let addr = stage.fleet.daemons[1].callers();
            let engine = &stage.fleet.engines[0].process;
            let faults = EngineFaults { silence_open_streams: true, ..EngineFaults::default() };
            stage.fleet.set_faults(engine, &faults).await.unwrap();
            stage.fleet.daemons[0].process.kill();
            let _ = reading.rest().await;
            assert_eq!(reading.resume(addr, ResumeMethod::Get).await.unwrap(), 200);
            stage.fleet.set_faults(engine, &faults).await.unwrap();
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(1));
            assert_eq!(starts_of(&stage.fleet.lines(), &prompt), 1);
            stage.fleet.daemons[0] = stage.fleet.start_daemon("d0").unwrap();
            stage.fleet.publish_vms().await.unwrap();
            stage.fleet.wait_until_settled().await.unwrap();
        }
        stage.assert_tokens_hold();
    });
}

#[test]
fn streams_survive_a_killed_engine_while_the_next_one_crosses_tokens() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(2, &[])).await;
        let prompt = "report, tokens=900";
        let mut reading = stage.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(10).await, None);
        let engine = stage.engine_of(prompt).await;
        let faults = EngineFaults { cross_tokens: 2, repeat_tokens: 2, ..EngineFaults::default() };
        stage.fleet.set_faults(&stage.fleet.engines[1 - engine].process, &faults).await.unwrap();
        stage.fleet.engines[engine].process.kill();
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(0));
        stage.assert_tokens_hold();
    });
}

#[test]
fn a_reader_comes_back_while_the_log_and_the_vm_list_are_down() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(2, &[])).await;
        let prompt = "report, tokens=900";
        let mut reading = stage.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(10).await, None);
        stage.fleet.log.kill();
        stage.fleet.vms.kill();
        stage.fleet.daemons[0].process.kill();
        let _ = reading.rest().await;
        let addr = stage.fleet.daemons[1].callers();
        assert_eq!(reading.resume(addr, ResumeMethod::Post).await.unwrap(), 200);
        assert_eq!(reading.read_more(20).await, None);
        let engine = stage.engine_of(prompt).await;
        stage.fleet.engines[engine].process.kill();
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(1));
        stage.assert_tokens_hold();
    });
}
