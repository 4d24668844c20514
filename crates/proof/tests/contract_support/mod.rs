//! Helpers shared by the tests of contracts.
#![allow(dead_code, reason = "each test uses a part")]

use comfreymast_base::OperationId;
use comfreymast_proof::{Change, DaemonProcess, Fleet, FleetOptions, Operator};

/// The organisation of [`contract`].
pub(crate) const ORGANISATION: &str = "estudio-norte";
/// Its bearer key.
pub(crate) const KEY: &str = "key-of-estudio-norte";

/// A contract that lets the holder of [`KEY`] `GET` paths under `/drawings` if `enabled` is true.
pub(crate) fn contract(enabled: bool) -> String {
    format!(
        r#"
organisation = "{ORGANISATION}"
enabled = {enabled}

[limits]
requests_per_s = 1000

[[keys]]
name = "site"
sha256 = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713"

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
"#
    )
}

/// A change of [`ORGANISATION`]'s contract.
pub(crate) fn change(base: u64, enabled: bool) -> Change {
    Change {
        organisation: ORGANISATION.to_owned(),
        base,
        document: contract(enabled),
        operation: OperationId::random(),
    }
}

/// A change of another organisation's contract, to add records to the log.
pub(crate) fn filler(organisation: &str, base: u64) -> Change {
    Change {
        organisation: organisation.to_owned(),
        base,
        document: format!("organisation = \"{organisation}\"\n"),
        operation: OperationId::random(),
    }
}

/// A fleet without engines whose daemons write a snapshot often.
pub(crate) fn options() -> FleetOptions {
    let mut options = FleetOptions { engines: 0, ..FleetOptions::default() };
    let snapshots = ["--snapshot-records", "10", "--snapshot-interval-ms", "1000"];
    options.daemon_flags.extend(snapshots.map(str::to_owned));
    options
}

/// Publishes a change through one daemon, checks that every daemon has it in force, and returns its
/// revision.
pub(crate) async fn publish_accepted(
    operator: &Operator,
    daemon: &DaemonProcess,
    change: &Change,
) -> u64 {
    let answer = operator.put(daemon.operators(), change, true).await.expect("an answer");
    let body = answer.json();
    assert_eq!(answer.status, 200, "{body}");
    body["revision"].as_u64().expect("a revision")
}

/// Every contract on a daemon, with its history.
pub(crate) async fn contracts(
    operator: &Operator,
    daemon: &DaemonProcess,
) -> Vec<serde_json::Value> {
    let list = operator.get(daemon.operators(), "/contracts").await;
    let list = list.map(|answer| answer.json()).unwrap_or_default();
    let mut views = Vec::new();
    for summary in list.as_array().cloned().unwrap_or_default() {
        let path = format!("/contracts/{}", summary["organisation"].as_str().unwrap_or_default());
        let view = operator.get(daemon.operators(), &path).await;
        views.push(view.map(|answer| answer.json()).unwrap_or_default());
    }
    views
}

/// Waits until `text`, such as the code of an event, is in a daemon's log.
pub(crate) async fn wait_until_logged(fleet: &Fleet, daemon: &str, text: &str) {
    let file = format!("{daemon}.err");
    fleet.wait_for(text, || fleet.read(&file).contains(text)).await.expect("the text");
}
