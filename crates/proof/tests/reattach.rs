//! Readers that reconnect through another daemon with the cursor of their last event.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{Client, FleetOptions, ResumeMethod, StreamEnd};
use common::{Fixture, OTHER_KEY, daemon_flags, run};

fn options(engine_flags: &[&str]) -> FleetOptions {
    let mut options = FleetOptions {
        engines: 2,
        servers: 0,
        daemon_flags: daemon_flags(&[]),
        ..FleetOptions::default()
    };
    options.engine_flags.extend(engine_flags.iter().map(|flag| (*flag).to_owned()));
    options
}

#[test]
fn a_reader_misses_and_repeats_nothing_when_its_daemon_is_killed() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&[])).await;
        let mut readings = Vec::new();
        let kinds = ["report", "study"];
        let methods = [ResumeMethod::Get, ResumeMethod::Post, ResumeMethod::PostTokens];
        for (request, (kind, method)) in
            (0..).zip(kinds.iter().flat_map(|kind| methods.map(|method| (kind, method))))
        {
            let prompt = format!("{kind} {request}, tokens=600");
            let mut reading = fixture.read(0, request, kind, &prompt).await;
            assert_eq!(reading.read(5 + request as usize * 7).await, None);
            readings.push((reading, method, prompt));
        }
        fixture.fleet.daemons[0].process.kill();
        for (reading, _, _) in &mut readings {
            assert_eq!(reading.rest().await, StreamEnd::Broken);
        }
        let addr = fixture.fleet.daemons[1].callers();
        for (reading, method, prompt) in &mut readings {
            assert_eq!(reading.resume(addr, *method).await.unwrap(), 200, "{}", fixture.log_of(1));
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(1));
            assert_eq!(starts_of(&fixture.fleet.lines(), prompt), 1);
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_resumed_daemon_does_not_disturb_the_reader_that_left_it() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let fixture = Fixture::new(&spawner, options(flags)).await;
            for (request, kind) in [(1, "report"), (3, "study")] {
                let prompt = format!("{kind}, tokens=900");
                let mut reading = fixture.read(0, request, kind, &prompt).await;
                assert_eq!(reading.read(10).await, None);
                let frozen = &fixture.fleet.daemons[0].process;
                frozen.signal("STOP").unwrap();
                let addr = fixture.fleet.daemons[1].callers();
                let mut reconnected =
                    reading.fork(addr, ResumeMethod::Post, request + 1).await.unwrap();
                assert_eq!(reconnected.read(30).await, None);
                // The connection of the first reader is still open when its daemon resumes.
                frozen.signal("CONT").unwrap();
                assert_eq!(reconnected.rest().await, StreamEnd::Done, "{}", fixture.log_of(1));
                assert_eq!(reading.rest().await, StreamEnd::Error("superseded".to_owned()));
                assert_eq!(starts_of(&fixture.fleet.lines(), &prompt), 1);
            }
            fixture.assert_tokens_valid();
        }
    });
}

#[test]
fn a_reader_continues_after_daemon_and_engine_are_killed_if_it_sends_the_tokens_it_read() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&[])).await;
        let prompt = "report, tokens=300";
        let mut reading = fixture.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(20).await, None);
        let engine = fixture.engine_of(prompt).await;
        fixture.fleet.daemons[0].process.kill();
        fixture.fleet.engines[engine].process.kill();
        let _ = reading.rest().await;
        let addr = fixture.fleet.daemons[1].callers();
        // Without the tokens the generation cannot be continued, and the answer says so.
        assert_eq!(reading.resume(addr, ResumeMethod::Get).await.unwrap(), 410);
        assert_eq!(reading.resume(addr, ResumeMethod::Post).await.unwrap(), 410);
        assert_eq!(reading.resume(addr, ResumeMethod::PostTokens).await.unwrap(), 200);
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(1));
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_study_whose_engine_is_gone_is_not_restarted_for_its_reader() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&[])).await;
        let prompt = "study, tokens=20000";
        let mut reading = fixture.read(0, 1, "study", prompt).await;
        assert_eq!(reading.read(20).await, None);
        let engine = fixture.engine_of(prompt).await;
        fixture.fleet.daemons[0].process.kill();
        fixture.fleet.engines[engine].process.kill();
        let _ = reading.rest().await;
        let addr = fixture.fleet.daemons[1].callers();
        assert_eq!(reading.resume(addr, ResumeMethod::PostTokens).await.unwrap(), 410);
        assert_eq!(starts_of(&fixture.fleet.lines(), prompt), 1);
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_reconnected_reader_is_moved_to_another_engine() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&[])).await;
        let prompt = "report, tokens=900";
        let mut reading = fixture.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(20).await, None);
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

#[test]
fn foreign_cursors_altered_cursors_and_other_bodies_are_refused() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(&[])).await;
        let mut reading = fixture.read(0, 1, "report", "report, tokens=2000").await;
        assert_eq!(reading.read(10).await, None);
        let addr = fixture.fleet.daemons[1].callers();
        let ask = async |key: &str, cursor: &str, body: &str| {
            let client = Client::new(&spawner, key);
            let headers = [("last-event-id", cursor)];
            client.call(addr, "POST", "/v1/completions", &headers, body).await.unwrap()
        };
        let body = r#"{"model": "m", "prompt": "report, tokens=2000", "stream": true}"#;
        let other_body = r#"{"model": "m", "prompt": "another, tokens=2000", "stream": true}"#;
        let cursor = reading.cursor().to_owned();
        let middle = cursor.len() / 2;
        let altered_letter = if cursor.as_bytes()[middle] == b'A' { "B" } else { "A" };
        let mut altered = cursor.clone();
        altered.replace_range(middle..=middle, altered_letter);

        let cases = [
            (ask(OTHER_KEY, &cursor, body).await, "cursor_refused"),
            (ask(common::KEY, &altered, body).await, "cursor_refused"),
            (ask(common::KEY, "7", body).await, "cursor_refused"),
            (ask(common::KEY, &cursor, other_body).await, "cursor_mismatch"),
        ];
        for (answer, code) in cases {
            assert_eq!(answer.status, 400);
            assert_eq!(answer.outcome, "unknown");
            assert_eq!(answer.json()["error"]["code"], code);
        }
        // Tokens other than those the cursor was issued for must not start on another engine.
        let faults = EngineFaults { forget_generations: true, ..EngineFaults::default() };
        let engine = fixture.engine_of("report, tokens=2000").await;
        fixture.fleet.daemons[0].process.signal("STOP").unwrap();
        fixture.fleet.set_faults(&fixture.fleet.engines[engine].process, &faults).await.unwrap();
        let forged: Vec<_> = (0..10).map(|index| format!(r#""a.{index} ""#)).collect();
        let forged = format!(
            r#"{{"model": "m", "prompt": "report, tokens=2000", "read_tokens": [{}]}}"#,
            forged.join(",")
        );
        let answer = ask(common::KEY, &cursor, &forged).await;
        assert_eq!(
            (answer.status, answer.json()["error"]["code"].as_str()),
            (400, Some("cursor_mismatch"))
        );
        fixture.assert_tokens_valid();
    });
}

#[test]
fn readers_with_the_same_cursor_are_never_mixed() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(&[])).await;
        let prompt = "report, tokens=20000";
        let mut first = fixture.read(0, 1, "report", prompt).await;
        assert_eq!(first.read(10).await, None);
        let addr = |daemon: usize| fixture.fleet.daemons[daemon].callers();
        let mut second = first.fork(addr(1), ResumeMethod::Post, 2).await.unwrap();
        // Reads on first, so that the third reader is the newer one by the clock as well.
        assert_eq!(second.read_more(20).await, None);
        let mut third = first.fork(addr(2), ResumeMethod::Post, 3).await.unwrap();
        // The newest reader continues; the others get an error.
        assert_eq!(third.read_more(500).await, None, "{}", fixture.log_of(2));
        let superseded = StreamEnd::Error("superseded".to_owned());
        assert_eq!([first.rest().await, second.rest().await], [superseded.clone(), superseded]);
        fixture.assert_tokens_valid();
    });
}
