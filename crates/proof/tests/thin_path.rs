//! End-to-end test with real processes: publishes a contract, streams a generation, does a lookup.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_net::Spawner;
use comfreymast_proof::{Client, Fleet, FleetOptions};

const CONTRACT: &str = r#"
organisation = "estudio-norte"

[[keys]]
name = "site"
# SHA-256 of "key-of-estudio-norte"
sha256 = "HASH"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000
repeatable = true

[[routes]]
prefix = "/drawings"
service = "s"
methods = ["GET"]
repeatable = true
"#;

#[test]
fn a_request_is_served_end_to_end() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        let contract = CONTRACT
            .replace("HASH", "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713");
        let put = fleet.put_contract(0, &contract, &[]).unwrap();
        assert_eq!(put.code, 0, "{put:?}");

        let client = Client::new(&spawner, "key-of-estudio-norte");
        for daemon in &fleet.daemons {
            let mut reader =
                client.stream(daemon.callers(), "m", "a room, tokens=40", &[]).await.unwrap();
            assert_eq!(reader.status, 200);
            let events = reader.rest().await;
            assert_eq!(events.last().map(|event| event.data.as_str()), Some("[DONE]"));
            let texts: Vec<_> = events.iter().map(|event| event.text()).collect();
            let mark = texts[0].split_once('.').unwrap().0.to_owned();
            let expected: Vec<_> = (0..40).map(|index| format!("{mark}.{index} ")).collect();
            assert_eq!(texts[..40], expected);

            let answer =
                client.call(daemon.callers(), "GET", "/drawings/7", &[], "").await.unwrap();
            assert_eq!((answer.status, answer.outcome.as_str()), (200, "done"));
            assert_eq!(answer.json()["call"], "GET /drawings/7");
        }
        let unauthorized = Client::new(&spawner, "no such key");
        let answer =
            unauthorized.complete(fleet.daemons[0].callers(), "m", "x", &[]).await.unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (401, "not_run"));
    });
}
