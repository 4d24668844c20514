//! A graceful shutdown interrupts no request in flight.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_net::{DialError, dial, empty, request};
use comfreymast_proof::{FleetOptions, Http2, Process, ResumeMethod, StreamEnd};
use common::{Fixture, KEY, daemon_flags, run};
use hyper::header::{AUTHORIZATION, CONNECTION};

fn options(flags: &[&str]) -> FleetOptions {
    FleetOptions { engines: 2, daemon_flags: daemon_flags(flags), ..FleetOptions::default() }
}

/// Waits for the end of a process and returns its exit code.
async fn exit_code(fixture: &mut Fixture, daemon: usize) -> Option<i32> {
    const POLL_MS: u64 = 10;
    const POLLS: usize = 3_000;
    for _ in 0..POLLS {
        let process: &mut Process = &mut fixture.fleet.daemons[daemon].process;
        if let Ok(Some(code)) = process.exit_code() {
            return Some(code);
        }
        comfreymast_net::sleep_ms(POLL_MS).await;
    }
    None
}

async fn wait_until_not_ready(fixture: &Fixture, daemon: usize) {
    while fixture.fleet.answers_ok(&fixture.fleet.daemons[daemon], "/readyz").await {
        comfreymast_net::sleep_ms(10).await;
    }
}

#[test]
fn every_stream_is_finished_before_the_daemon_exits() {
    run(|spawner| async move {
        for by_command in [false, true] {
            let mut fixture = Fixture::new(&spawner, options(&[])).await;
            let addr = fixture.fleet.daemons[0].callers();
            let mut readings = Vec::new();
            for request in 0..4 {
                let kind = if request % 2 == 0 { "report" } else { "study" };
                let prompt = format!("{kind} {request}, tokens=600");
                let mut reading = fixture.read(0, request, kind, &prompt).await;
                assert_eq!(reading.read(5).await, None);
                readings.push(reading);
            }
            let mut http2 = Http2::connect(&spawner, addr, KEY).await.unwrap();
            let body = r#"{"model": "m", "prompt": "http2, tokens=600", "stream": true}"#;
            let mut over_http2 =
                http2.open("POST", "/v1/completions", body.to_owned()).await.unwrap();
            assert!(over_http2.next().await.is_some());

            if by_command {
                let drained = fixture.fleet.daemons[0].cli().run(&["drain"]).unwrap();
                assert_eq!(drained.code, 0, "{drained:?}");
            } else {
                fixture.fleet.daemons[0].process.signal("TERM").unwrap();
            }
            wait_until_not_ready(&fixture, 0).await;
            for reading in &mut readings {
                assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
            }
            let events = over_http2.rest().await;
            assert_eq!(events.last().map(|event| event.data.as_str()), Some("[DONE]"));
            assert_eq!(events.iter().filter(|event| !event.text().is_empty()).count(), 599);
            assert_eq!(exit_code(&mut fixture, 0).await, Some(0), "{}", fixture.log_of(0));
            fixture.assert_tokens_valid();
        }
    });
}

#[test]
fn new_work_is_served_in_the_grace_period_on_new_and_existing_connections() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&["--drain-grace-ms", "5000"])).await;
        let addr = fixture.fleet.daemons[0].callers();
        let lookup = || {
            let mut lookup = request(addr, "GET", "/drawings/1", empty());
            let key = format!("Bearer {KEY}").parse().unwrap();
            lookup.headers_mut().insert(AUTHORIZATION, key);
            lookup
        };
        let mut existing = dial(&spawner, addr, 1_000).await.unwrap();
        let answer = existing.send(lookup()).await.unwrap();
        assert_eq!(answer.headers().get(CONNECTION), None);
        comfreymast_net::collect(answer.into_body(), 4_096).await.unwrap();

        fixture.fleet.daemons[0].process.signal("TERM").unwrap();
        wait_until_not_ready(&fixture, 0).await;
        // The next answer on the existing connection asks the client to close it.
        let answer = existing.send(lookup()).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers().get(CONNECTION).unwrap(), "close");
        let mut reading = fixture.read(0, 1, "report", "report, tokens=60").await;
        assert_eq!(reading.rest().await, StreamEnd::Done);
        assert_eq!(exit_code(&mut fixture, 0).await, Some(0), "{}", fixture.log_of(0));
        assert!(matches!(dial(&spawner, addr, 1_000).await, Err(DialError::Connect { .. })));
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_open_at_the_drain_limit_are_handed_over_and_lose_nothing() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&["--drain-limit-ms", "300"])).await;
        let mut readings = Vec::new();
        for (request, kind) in (0..).zip(["report", "study"]) {
            let prompt = format!("{kind}, tokens=20000");
            let mut reading = fixture.read(0, request, kind, &prompt).await;
            assert_eq!(reading.read(5).await, None);
            readings.push(reading);
        }
        fixture.fleet.daemons[0].process.signal("TERM").unwrap();
        let addr = fixture.fleet.daemons[1].callers();
        for reading in &mut readings {
            assert_eq!(reading.rest().await, StreamEnd::Error("handed_over".to_owned()));
            assert_eq!(reading.resume(addr, ResumeMethod::Get).await.unwrap(), 200);
            assert_eq!(reading.read_more(100).await, None);
        }
        assert_eq!(exit_code(&mut fixture, 0).await, Some(0), "{}", fixture.log_of(0));
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_rolling_restart_of_all_daemons_loses_no_tokens() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(&["--drain-limit-ms", "200"])).await;
        let mut readings = Vec::new();
        for (request, kind) in (0..).zip(["report", "study", "report"]) {
            let prompt = format!("{kind} {request}, tokens=20000");
            let daemon = request as usize % 3;
            let mut reading = fixture.read(daemon, request, kind, &prompt).await;
            assert_eq!(reading.read(5).await, None);
            readings.push((reading, daemon));
        }
        for daemon in 0..3 {
            fixture.fleet.daemons[daemon].process.signal("TERM").unwrap();
            let next = (daemon + 1) % 3;
            let addr = fixture.fleet.daemons[next].callers();
            for (reading, current_daemon) in
                readings.iter_mut().filter(|(_, current_daemon)| *current_daemon == daemon)
            {
                assert_eq!(reading.rest().await, StreamEnd::Error("handed_over".to_owned()));
                assert_eq!(reading.resume(addr, ResumeMethod::Post).await.unwrap(), 200);
                *current_daemon = next;
            }
            assert_eq!(
                exit_code(&mut fixture, daemon).await,
                Some(0),
                "{}",
                fixture.log_of(daemon)
            );
            let name = format!("d{daemon}");
            fixture.fleet.daemons[daemon] = fixture.fleet.start_daemon(&name).unwrap();
            fixture.fleet.publish_vms().await.unwrap();
            fixture.fleet.wait_until_settled().await.unwrap();
        }
        for (reading, _) in &mut readings {
            assert_eq!(reading.read_more(100).await, None);
        }
        fixture.assert_tokens_valid();
    });
}
