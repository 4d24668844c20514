//! The burn report of real daemons: it covers every daemon and names the missing ones.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_net::Spawner;
use comfreymast_proof::{Client, Fleet, FleetOptions};
use serde_json::Value;

const KEY: &str = "key-of-estudio-norte";
const CONTRACT: &str = r#"
organisation = "estudio-norte"

[[keys]]
name = "site"
# SHA-256 of "key-of-estudio-norte"
sha256 = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000

[work.service_level]
objective = 0.9
"#;
const TOKENS: u64 = 20;

/// The row of one indicator.
fn row<'a>(report: &'a Value, indicator: &str) -> &'a Value {
    let rows = report["rows"].as_array().unwrap();
    rows.iter().find(|row| row["indicator"] == indicator).unwrap_or(&Value::Null)
}

/// Bad and total counts of an indicator; both windows hold the same counts in a short run.
fn counts(report: &Value, indicator: &str) -> (u64, u64) {
    let row = row(report, indicator);
    assert_eq!(row["short"], row["long"]);
    (row["short"]["bad"].as_u64().unwrap(), row["short"]["total"].as_u64().unwrap())
}

fn report(fleet: &Fleet, index: usize, flags: &[&str]) -> (i32, Value) {
    let args = [&["report", "burn", "--format", "json"], flags].concat();
    let output = fleet.daemons[index].cli().run(&args).unwrap();
    (output.code, serde_json::from_str(&output.stdout).unwrap())
}

async fn stream(fleet: &Fleet, client: &Client, index: usize) {
    let prompt = format!("a room, tokens={TOKENS}");
    let daemon = fleet.daemons[index].callers();
    let mut reader = client.stream(daemon, "m", &prompt, &[]).await.unwrap();
    assert_eq!(reader.rest().await.last().unwrap().data, "[DONE]");
}

/// Waits until the report counts `requests` requests under the indicator `whole`.
async fn wait_for_request_count(fleet: &Fleet, requests: u64) {
    let counted = || {
        let (_, report) = report(fleet, 0, &[]);
        row(&report, "whole")["short"]["total"] == requests
    };
    fleet.wait_for("every request in the report", counted).await.unwrap();
}

#[test]
fn all_daemons_are_in_one_report() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let client = Client::new(&spawner, KEY);
        for index in [0, 1, 2, 2] {
            stream(&fleet, &client, index).await;
        }
        wait_for_request_count(&fleet, 4).await;
        for index in 0..3 {
            let (code, report) = report(&fleet, index, &[]);
            assert_eq!((code, report["missing"].as_array().unwrap().len()), (0, 0));
            assert_eq!(report["daemons"].as_array().unwrap().len(), 3);
            assert_eq!(counts(&report, "whole"), (0, 4));
            assert_eq!(counts(&report, "refused"), (0, 4));
            assert_eq!(counts(&report, "first_token").1, 4);
            assert_eq!(counts(&report, "between_tokens").1, 4 * (TOKENS - 1));
            assert_eq!(row(&report, "whole")["objective"], 0.9);
        }
        let path = fleet.path("burn.html");
        report(&fleet, 0, &["--html", &path.to_string_lossy()]);
        let page = fleet.read("burn.html");
        assert!(page.contains("<svg") && page.contains("estudio-norte"));
        let metrics = fleet.daemons[2].vm.operators_addr.unwrap();
        let operator = Client::new(&spawner, comfreymast_proof::OPERATOR_KEY);
        let metrics = operator.call(metrics, "GET", "/metrics", &[], "").await.unwrap();
        let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
        assert!(metrics.contains("comfreymast_first_token_seconds_count 2"), "{metrics}");
    });
}

#[test]
fn a_dead_daemon_is_named_as_missing_and_never_counted_as_good() {
    Spawner::run(2, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let client = Client::new(&spawner, KEY);
        for index in [0, 2] {
            stream(&fleet, &client, index).await;
        }
        wait_for_request_count(&fleet, 2).await;
        fleet.daemons[2].process.kill();
        let (code, report) = report(&fleet, 0, &[]);
        assert_eq!(code, 4);
        assert_eq!(report["missing"], serde_json::json!(["d2"]));
        assert_eq!(report["daemons"], serde_json::json!(["d0", "d1"]));
        assert_eq!(counts(&report, "whole"), (0, 1));
    });
}

#[test]
fn a_frozen_daemon_is_named_as_missing_until_it_resumes() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        fleet.daemons[1].process.signal("STOP").unwrap();
        let (code, frozen) = report(&fleet, 0, &[]);
        fleet.daemons[1].process.signal("CONT").unwrap();
        assert_eq!((code, &frozen["missing"]), (4, &serde_json::json!(["d1"])));
        let resumed = || report(&fleet, 0, &[]).0 == 0;
        fleet.wait_for("a complete report", resumed).await.unwrap();
    });
}

#[test]
fn refusals_burn_the_error_budget() {
    Spawner::run(2, |spawner| async move {
        let options = FleetOptions { engines: 1, ..FleetOptions::default() };
        let fleet = Fleet::start(&spawner, options).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let refuse = EngineFaults { refuse: true, ..EngineFaults::default() };
        fleet.set_faults(&fleet.engines[0].process, &refuse).await.unwrap();
        let client = Client::new(&spawner, KEY);
        let daemon = fleet.daemons[0].callers();
        let refused = client.complete(daemon, "m", "a room", &[]).await.unwrap();
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not_run"));
        // An error of the caller does not count against the service.
        let not_allowed = client.complete(daemon, "other", "a room", &[]).await.unwrap();
        assert_eq!(not_allowed.status, 403);
        let seen = || {
            let (_, report) = report(&fleet, 2, &[]);
            row(&report, "refused")["short"]["total"] == 1
        };
        fleet.wait_for("the refusal", seen).await.unwrap();
        let (_, report) = report(&fleet, 2, &[]);
        assert_eq!(counts(&report, "refused"), (1, 1));
        assert_eq!(row(&report, "refused")["long"]["rate"].as_f64().unwrap().round(), 10.0);
        assert!(row(&report, "whole").is_null());
    });
}

#[test]
fn errors_of_the_caller_do_not_count_against_the_service() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let client = Client::new(&spawner, KEY);
        let daemon = fleet.daemons[0].callers();
        let key = [("idempotency-key", "one-key")];
        let first = client.complete(daemon, "m", "a room", &key).await.unwrap();
        let other = client.complete(daemon, "m", "another room", &key).await.unwrap();
        assert_eq!((first.status, other.status), (200, 422), "{other:?}");
        // Samples keep their order: once a later request is in the report, all earlier ones are.
        stream(&fleet, &client, 0).await;
        wait_for_request_count(&fleet, 2).await;
        let (_, report) = report(&fleet, 0, &[]);
        assert_eq!(counts(&report, "refused"), (0, 2));
        assert_eq!(counts(&report, "whole"), (0, 2));
    });
}
