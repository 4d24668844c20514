//! Readers who come back through another daemon with the cursor of their last event.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::process::EngineFaults;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{Client, FleetOptions, ResumeMethod, StreamEnd};
use common::{OTHER_KEY, Stage, daemon_flags, run};

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
fn a_reader_misses_and_doubles_nothing_when_its_daemon_is_killed() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(&[])).await;
        let mut readings = Vec::new();
        let kinds = ["report", "study"];
        let ways = [ResumeMethod::Get, ResumeMethod::Post, ResumeMethod::PostTokens];
        for (request, (kind, way)) in
            (0..).zip(kinds.iter().flat_map(|kind| ways.map(|way| (kind, way))))
        {
            let prompt = format!("{kind} {request}, tokens=600");
            let mut reading = stage.read(0, request, kind, &prompt).await;
            assert_eq!(reading.read(5 + request as usize * 7).await, None);
            readings.push((reading, way, prompt));
        }
        stage.fleet.daemons[0].process.kill();
        for (reading, _, _) in &mut readings {
            assert_eq!(reading.rest().await, StreamEnd::Broken);
        }
        let addr = stage.fleet.daemons[1].callers();
        for (reading, way, prompt) in &mut readings {
            assert_eq!(reading.resume(addr, *way).await.unwrap(), 200, "{}", stage.log_of(1));
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(1));
            assert_eq!(starts_of(&stage.fleet.lines(), prompt), 1);
        }
        stage.assert_tokens_hold();
    });
}

#[test]
fn a_daemon_that_wakes_does_not_disturb_the_reader_who_left_it() {
    run(|spawner| async move {
        for flags in [&[][..], &["--ignore-fences"]] {
            let stage = Stage::new(&spawner, options(flags)).await;
            for (request, kind) in [(1, "report"), (3, "study")] {
                let prompt = format!("{kind}, tokens=900");
                let mut reading = stage.read(0, request, kind, &prompt).await;
                assert_eq!(reading.read(10).await, None);
                let frozen = &stage.fleet.daemons[0].process;
                frozen.signal("STOP").unwrap();
                let addr = stage.fleet.daemons[1].callers();
                let mut back = reading.fork(addr, ResumeMethod::Post, request + 1).await.unwrap();
                assert_eq!(back.read(30).await, None);
                // The connection of the first reader is still open when its daemon wakes.
                frozen.signal("CONT").unwrap();
                assert_eq!(back.rest().await, StreamEnd::Done, "{}", stage.log_of(1));
                assert_eq!(reading.rest().await, StreamEnd::Error("superseded".to_owned()));
                assert_eq!(starts_of(&stage.fleet.lines(), &prompt), 1);
            }
            stage.assert_tokens_hold();
        }
    });
}

#[test]
fn a_reader_goes_on_when_daemon_and_engine_are_killed_and_it_gives_back_what_it_read() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(&[])).await;
        let prompt = "report, tokens=300";
        let mut reading = stage.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(20).await, None);
        let engine = stage.engine_of(prompt).await;
        stage.fleet.daemons[0].process.kill();
        stage.fleet.engines[engine].process.kill();
        let _ = reading.rest().await;
        let addr = stage.fleet.daemons[1].callers();
        // Without the tokens nobody can go on, and the reader is told so.
        assert_eq!(reading.resume(addr, ResumeMethod::Get).await.unwrap(), 410);
        assert_eq!(reading.resume(addr, ResumeMethod::Post).await.unwrap(), 410);
        assert_eq!(reading.resume(addr, ResumeMethod::PostTokens).await.unwrap(), 200);
        assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(1));
        stage.assert_tokens_hold();
    });
}

#[test]
fn a_study_whose_engine_is_gone_is_not_begun_again_for_its_reader() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(&[])).await;
        let prompt = "study, tokens=20000";
        let mut reading = stage.read(0, 1, "study", prompt).await;
        assert_eq!(reading.read(20).await, None);
        let engine = stage.engine_of(prompt).await;
        stage.fleet.daemons[0].process.kill();
        stage.fleet.engines[engine].process.kill();
        let _ = reading.rest().await;
        let addr = stage.fleet.daemons[1].callers();
        assert_eq!(reading.resume(addr, ResumeMethod::PostTokens).await.unwrap(), 410);
        assert_eq!(starts_of(&stage.fleet.lines(), prompt), 1);
        stage.assert_tokens_hold();
    });
}

#[test]
fn a_reader_who_came_back_is_carried_to_another_engine() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(&[])).await;
        let prompt = "report, tokens=900";
        let mut reading = stage.read(0, 1, "report", prompt).await;
        assert_eq!(reading.read(20).await, None);
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

#[test]
fn cursors_of_others_changed_cursors_and_other_bodies_are_refused() {
    run(|spawner| async move {
        let stage = Stage::new(&spawner, options(&[])).await;
        let mut reading = stage.read(0, 1, "report", "report, tokens=2000").await;
        assert_eq!(reading.read(10).await, None);
        let addr = stage.fleet.daemons[1].callers();
        let ask = async |key: &str, cursor: &str, body: &str| {
            let client = Client::new(&spawner, key);
            let headers = [("last-event-id", cursor)];
            client.call(addr, "POST", "/v1/completions", &headers, body).await.unwrap()
        };
        let body = r#"{"model": "m", "prompt": "report, tokens=2000", "stream": true}"#;
        let other_body = r#"{"model": "m", "prompt": "another, tokens=2000", "stream": true}"#;
        let cursor = reading.cursor().to_owned();
        let middle = cursor.len() / 2;
        let changed_letter = if cursor.as_bytes()[middle] == b'A' { "B" } else { "A" };
        let mut changed = cursor.clone();
        changed.replace_range(middle..=middle, changed_letter);

        let cases = [
            (ask(OTHER_KEY, &cursor, body).await, "cursor_refused"),
            (ask(common::KEY, &changed, body).await, "cursor_refused"),
            (ask(common::KEY, "7", body).await, "cursor_refused"),
            (ask(common::KEY, &cursor, other_body).await, "cursor_mismatch"),
        ];
        for (answer, code) in cases {
            assert_eq!(answer.status, 400);
            assert_eq!(answer.outcome, "unknown");
            assert_eq!(answer.json()["error"]["code"], code);
        }
        // Tokens that are not those the cursor was made for are no way into another engine.
        let faults = EngineFaults { forget_generations: true, ..EngineFaults::default() };
        let engine = stage.engine_of("report, tokens=2000").await;
        stage.fleet.daemons[0].process.signal("STOP").unwrap();
        stage.fleet.set_faults(&stage.fleet.engines[engine].process, &faults).await.unwrap();
        let invented: Vec<_> = (0..10).map(|index| format!(r#""a.{index} ""#)).collect();
        let invented = format!(
            r#"{{"model": "m", "prompt": "report, tokens=2000", "read_tokens": [{}]}}"#,
            invented.join(",")
        );
        let answer = ask(common::KEY, &cursor, &invented).await;
        assert_eq!(
            (answer.status, answer.json()["error"]["code"].as_str()),
            (400, Some("cursor_mismatch"))
        );
        stage.assert_tokens_hold();
    });
}

#[test]
fn two_readers_with_one_cursor_are_never_mixed() {
    run(|spawner| async move {
        let stage = Stage::new(&spawner, options(&[])).await;
        let prompt = "report, tokens=20000";
        let mut first = stage.read(0, 1, "report", prompt).await;
        assert_eq!(first.read(10).await, None);
        let addr = |daemon: usize| stage.fleet.daemons[daemon].callers();
        let mut second = first.fork(addr(1), ResumeMethod::Post, 2).await.unwrap();
        // A token later, so that the third reader is the newer one by the clock as well.
        assert_eq!(second.read_more(20).await, None);
        let mut third = first.fork(addr(2), ResumeMethod::Post, 3).await.unwrap();
        // The newest goes on; the others are told.
        assert_eq!(third.read_more(500).await, None, "{}", stage.log_of(2));
        let told = StreamEnd::Error("superseded".to_owned());
        assert_eq!([first.rest().await, second.rest().await], [told.clone(), told]);
        stage.assert_tokens_hold();
    });
}
