//! Two faults at once: readers still get every token once, in order, from one generation.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{FleetOptions, ResumeMethod, StreamEnd};
use common::{Fixture, daemon_flags, run};

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
fn a_daemon_resumes_after_the_engine_was_killed_and_the_reader_moved() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let mut fixture = Fixture::new(&spawner, options(3, flags)).await;
            let prompt = "report, tokens=900";
            let mut reading = fixture.read(0, 1, "report", prompt).await;
            assert_eq!(reading.read(10).await, None);
            fixture.fleet.daemons[0].process.signal("STOP").unwrap();
            let addr = fixture.fleet.daemons[1].callers();
            let mut reconnected = reading.fork(addr, ResumeMethod::Post, 2).await.unwrap();
            assert_eq!(reconnected.read_more(20).await, None);
            let engine = fixture.engine_of(prompt).await;
            fixture.fleet.engines[engine].process.kill();
            assert_eq!(reconnected.read_more(20).await, None, "{}", fixture.log_of(1));
            // The daemon's stream is broken but its reader is connected, so it may try to continue.
            fixture.fleet.daemons[0].process.signal("CONT").unwrap();
            assert_eq!(reconnected.rest().await, StreamEnd::Done, "{}", fixture.log_of(1));
            fixture.assert_tokens_valid();
        }
    });
}

#[test]
fn a_reader_moves_to_an_engine_where_its_old_daemon_has_continued() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let mut fixture = Fixture::new(&spawner, options(3, flags)).await;
            let prompt = "report, tokens=20000";
            let mut reading = fixture.read(0, 1, "report", prompt).await;
            assert_eq!(reading.read(10).await, None);
            fixture.fleet.daemons[0].process.signal("STOP").unwrap();
            let addr = fixture.fleet.daemons[1].callers();
            let mut reconnected = reading.fork(addr, ResumeMethod::Post, 2).await.unwrap();
            assert_eq!(reconnected.read_more(20).await, None);
            let first = fixture.engine_of(prompt).await;
            fixture.fleet.engines[first].process.kill();
            assert_eq!(reconnected.read_more(20).await, None, "{}", fixture.log_of(1));
            fixture.wait_for_starts(prompt, 2).await;
            let second = fixture.engine_of(prompt).await;
            fixture.fleet.daemons[0].process.signal("CONT").unwrap();
            // The old daemon may continue alone or be told to stop; only the first reader sees it.
            let _ = reading.read_more(200).await;
            let faults = EngineFaults { stall: true, ..EngineFaults::default() };
            let stalled = &fixture.fleet.engines[second].process;
            fixture.fleet.set_faults(stalled, &faults).await.unwrap();
            assert_eq!(reconnected.read_more(1_000).await, None, "{}", fixture.log_of(1));
            fixture.assert_tokens_valid();
        }
    });
}

#[test]
fn a_study_runs_once_when_its_daemon_resumes_after_the_engine_was_killed() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let mut fixture = Fixture::new(&spawner, options(3, flags)).await;
            let prompt = "study, tokens=20000";
            let mut reading = fixture.read(0, 1, "study", prompt).await;
            assert_eq!(reading.read(10).await, None);
            fixture.fleet.daemons[0].process.signal("STOP").unwrap();
            let addr = fixture.fleet.daemons[1].callers();
            let mut reconnected = reading.fork(addr, ResumeMethod::Post, 2).await.unwrap();
            assert_eq!(reconnected.read_more(20).await, None);
            let engine = fixture.engine_of(prompt).await;
            fixture.fleet.engines[engine].process.kill();
            fixture.fleet.daemons[0].process.signal("CONT").unwrap();
            let lost = StreamEnd::Error("generation_lost".to_owned());
            assert_eq!(reconnected.rest().await, lost, "{}", fixture.log_of(1));
            let _ = reading.rest().await;
            assert_eq!(starts_of(&fixture.fleet.lines(), prompt), 1);
            fixture.assert_tokens_valid();
        }
    });
}

#[test]
fn a_reader_reconnects_to_an_engine_whose_connections_went_silent() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(1, &[])).await;
        for (request, kind) in [(1, "report"), (2, "study")] {
            let prompt = format!("{kind}, tokens=900");
            let mut reading = fixture.read(0, request, kind, &prompt).await;
            assert_eq!(reading.read(10).await, None);
            let addr = fixture.fleet.daemons[1].callers();
            let engine = &fixture.fleet.engines[0].process;
            let faults = EngineFaults { silence_open_streams: true, ..EngineFaults::default() };
            fixture.fleet.set_faults(engine, &faults).await.unwrap();
            fixture.fleet.daemons[0].process.kill();
            let _ = reading.rest().await;
            assert_eq!(reading.resume(addr, ResumeMethod::Get).await.unwrap(), 200);
            fixture.fleet.set_faults(engine, &faults).await.unwrap();
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(1));
            assert_eq!(starts_of(&fixture.fleet.lines(), &prompt), 1);
            fixture.fleet.daemons[0] = fixture.fleet.start_daemon("d0").unwrap();
            fixture.fleet.publish_vms().await.unwrap();
            fixture.fleet.wait_until_settled().await.unwrap();
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_survive_a_killed_engine_while_the_next_one_crosses_tokens() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(2, &[])).await;
        let prompt = "report, tokens=900";
        let mut reading = fixture.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(10).await, None);
        let engine = fixture.engine_of(prompt).await;
        let faults = EngineFaults { cross_tokens: 2, repeat_tokens: 2, ..EngineFaults::default() };
        fixture
            .fleet
            .set_faults(&fixture.fleet.engines[1 - engine].process, &faults)
            .await
            .unwrap();
        fixture.fleet.engines[engine].process.kill();
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_reader_reconnects_while_the_log_and_the_vm_list_are_down() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(2, &[])).await;
        let prompt = "report, tokens=900";
        let mut reading = fixture.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(10).await, None);
        fixture.fleet.log.kill();
        fixture.fleet.vms.kill();
        fixture.fleet.daemons[0].process.kill();
        let _ = reading.rest().await;
        let addr = fixture.fleet.daemons[1].callers();
        assert_eq!(reading.resume(addr, ResumeMethod::Post).await.unwrap(), 200);
        assert_eq!(reading.read_more(20).await, None);
        let engine = fixture.engine_of(prompt).await;
        fixture.fleet.engines[engine].process.kill();
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(1));
        fixture.assert_tokens_valid();
    });
}
