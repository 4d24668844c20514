//! Connections that go silent for good while new ones work.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use comfreymast_fakes::engine::process::EngineFaults;
use comfreymast_proof::checks::tokens::starts_of;
use comfreymast_proof::{Direction, FleetOptions, Link, StreamEnd};
use common::{Stage, daemon_flags, run};

/// One engine: whatever goes wrong, the stream must go on there.
fn options(engines: usize) -> FleetOptions {
    FleetOptions { engines, servers: 0, daemon_flags: daemon_flags(&[]), ..FleetOptions::default() }
}

#[test]
fn streams_whose_connection_falls_silent_go_on_with_a_new_one() {
    run(|spawner| async move {
        let stage = Stage::new(&spawner, options(1)).await;
        let mut readings = Vec::new();
        for (request, kind) in (0..).zip(["report", "study", "report", "study"]) {
            let prompt = format!("{kind} {request}, tokens=600");
            let mut reading = stage.read(request as usize % 3, request, kind, &prompt).await;
            assert_eq!(reading.read(5).await, None);
            readings.push((reading, prompt));
        }
        let faults = EngineFaults { silence_open_streams: true, ..EngineFaults::default() };
        stage.fleet.set_faults(&stage.fleet.engines[0].process, &faults).await.unwrap();
        for (reading, prompt) in &mut readings {
            assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(0));
            assert_eq!(starts_of(&stage.fleet.lines(), prompt), 1);
        }
        let log = stage.log_of(0);
        assert!(log.contains("E0603") && !log.contains("E0601"), "{log}");
        stage.assert_tokens_hold();
    });
}

#[test]
fn streams_go_on_when_their_link_stalls_one_way_or_is_cut() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(0)).await;
        let mut engine = stage.fleet.start_engine("e0").unwrap();
        let link = Link::start(&spawner, engine.vm.addr).await.unwrap();
        engine.vm.addr = link.addr;
        stage.fleet.engines.push(engine);
        stage.fleet.publish_vms().await.unwrap();
        stage.fleet.wait_until_settled().await.unwrap();
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
                let mut reading = stage.read(0, request, kind, &prompt).await;
                assert_eq!(reading.read(5).await, None);
                fault(&link);
                assert_eq!(reading.rest().await, StreamEnd::Done, "{}", stage.log_of(0));
                assert_eq!(starts_of(&stage.fleet.lines(), &prompt), 1);
            }
        }
        stage.assert_tokens_hold();
    });
}

#[test]
fn streams_go_on_elsewhere_when_nothing_reaches_their_engine() {
    run(|spawner| async move {
        let mut stage = Stage::new(&spawner, options(0)).await;
        let mut engine = stage.fleet.start_engine("e0").unwrap();
        let link = Link::start(&spawner, engine.vm.addr).await.unwrap();
        engine.vm.addr = link.addr;
        stage.fleet.engines.push(engine);
        stage.fleet.publish_vms().await.unwrap();
        stage.fleet.wait_until_settled().await.unwrap();
        let prompts = ["report, tokens=20000", "study, tokens=20000"];
        let mut report = stage.read(0, 1, "report", prompts[0]).await;
        let mut study = stage.read(0, 2, "study", prompts[1]).await;
        assert_eq!(report.read(5).await, None);
        assert_eq!(study.read(5).await, None);
        let other = stage.fleet.start_engine("e1").unwrap();
        stage.fleet.engines.push(other);
        stage.fleet.publish_vms().await.unwrap();
        stage.fleet.wait_until_settled().await.unwrap();
        // The engine itself lives and goes on; the daemons cannot know that.
        link.silence_all(Direction::FromTarget);
        stage.wait_for_starts(prompts[0], 2).await;
        assert_eq!(report.read_more(1_000).await, None, "{}", stage.log_of(0));
        assert_eq!(study.rest().await, StreamEnd::Error("generation_lost".to_owned()));
        assert_eq!(starts_of(&stage.fleet.lines(), prompts[0]), 2);
        assert_eq!(starts_of(&stage.fleet.lines(), prompts[1]), 1);
        stage.assert_tokens_hold();
    });
}
