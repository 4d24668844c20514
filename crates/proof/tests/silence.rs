//! Connections that go silent permanently while new ones work.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{Direction, FleetOptions, Link, StreamEnd};
use common::{Fixture, daemon_flags, run};

/// With a single engine, a stream must continue on that engine whatever fails.
fn options(engines: usize) -> FleetOptions {
    FleetOptions { engines, servers: 0, daemon_flags: daemon_flags(&[]), ..FleetOptions::default() }
}

#[test]
fn streams_on_a_silent_connection_continue_on_a_new_one() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(1)).await;
        let mut readings = Vec::new();
        for (request, kind) in (0..).zip(["report", "study", "report", "study"]) {
            let prompt = format!("{kind} {request}, tokens=600");
            let mut reading = fixture.read(request as usize % 3, request, kind, &prompt).await;
            assert_eq!(reading.read(5).await, None);
            readings.push((reading, prompt));
        }
        let faults = EngineFaults { silence_open_streams: true, ..EngineFaults::default() };
        fixture.fleet.set_faults(&fixture.fleet.engines[0].process, &faults).await.unwrap();
        for (reading, prompt) in &mut readings {
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
            assert_eq!(starts_of(&fixture.fleet.lines(), prompt), 1);
        }
        let log = fixture.log_of(0);
        assert!(log.contains("E0603") && !log.contains("E0601"), "{log}");
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_continue_when_their_link_stalls_one_way_or_is_cut() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(0)).await;
        let mut engine = fixture.fleet.start_engine("e0").unwrap();
        let link = Link::start(&spawner, engine.vm.addr).await.unwrap();
        engine.vm.addr = link.addr;
        fixture.fleet.engines.push(engine);
        fixture.fleet.publish_vms().await.unwrap();
        fixture.fleet.wait_until_settled().await.unwrap();
        let faults: [fn(&Link); 3] = [
            |link| link.silence_open(Direction::FromTarget),
            |link| link.silence_open(Direction::ToTarget),
            Link::cut_open,
        ];
        let mut request = 0;
        for fault in faults {
            for kind in ["report", "study"] {
                request += 1;
                let prompt = format!("{kind} {request}, tokens=400");
                let mut reading = fixture.read(0, request, kind, &prompt).await;
                assert_eq!(reading.read(5).await, None);
                fault(&link);
                assert_eq!(reading.rest().await, StreamEnd::Done, "{}", fixture.log_of(0));
                assert_eq!(starts_of(&fixture.fleet.lines(), &prompt), 1);
            }
        }
        fixture.assert_tokens_valid();
    });
}

#[test]
fn streams_leave_an_engine_whose_link_is_silent() {
    run(|spawner| async move {
        let mut fixture = Fixture::new(&spawner, options(0)).await;
        let mut engine = fixture.fleet.start_engine("e0").unwrap();
        let link = Link::start(&spawner, engine.vm.addr).await.unwrap();
        engine.vm.addr = link.addr;
        fixture.fleet.engines.push(engine);
        fixture.fleet.publish_vms().await.unwrap();
        fixture.fleet.wait_until_settled().await.unwrap();
        let prompts = ["report, tokens=20000", "study, tokens=20000"];
        let mut report = fixture.read(0, 1, "report", prompts[0]).await;
        let mut study = fixture.read(0, 2, "study", prompts[1]).await;
        assert_eq!(report.read(5).await, None);
        assert_eq!(study.read(5).await, None);
        let other = fixture.fleet.start_engine("e1").unwrap();
        fixture.fleet.engines.push(other);
        fixture.fleet.publish_vms().await.unwrap();
        fixture.fleet.wait_until_settled().await.unwrap();
        // The engine itself keeps running, which the daemons cannot know.
        link.silence_all(Direction::FromTarget);
        fixture.wait_for_starts(prompts[0], 2).await;
        assert_eq!(report.read_more(1_000).await, None, "{}", fixture.log_of(0));
        assert_eq!(study.rest().await, StreamEnd::Error("generation_lost".to_owned()));
        assert_eq!(starts_of(&fixture.fleet.lines(), prompts[0]), 2);
        assert_eq!(starts_of(&fixture.fleet.lines(), prompts[1]), 1);
        fixture.assert_tokens_valid();
    });
}
