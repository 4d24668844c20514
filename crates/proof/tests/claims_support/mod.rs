//! A fleet with one organisation, and the checks that every test of claims ends with.
#![allow(dead_code, clippy::unwrap_used)]

use comfreymast_fakes::history::Line;
use comfreymast_net::Spawner;
use comfreymast_platform::LogClient;
use comfreymast_proof::checks::{claims, outcomes, parse};
use comfreymast_proof::{Fleet, FleetOptions, RecordedClient};
use comfreymast_wire::log::{Record, record};
use prost::Message;

const LOG_TIMEOUT_MS: u64 = 5_000;

/// The bearer key of the organisation.
pub(crate) const KEY: &str = "key-of-estudio-norte";

/// POSTs under `/boards` and work of kind `report` are not repeatable; POSTs under `/swatches` and
/// work of kind `draft` are.
pub(crate) const CONTRACT: &str = r#"
organisation = "estudio-norte"

[limits]
concurrent_requests = 10000
requests_per_s = 10000
tokens_per_s = 1000000

[[keys]]
name = "site"
sha256 = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000

[[work]]
kind = "draft"
model = "m"
priority = 5
max_output_tokens = 20000
repeatable = true

[[routes]]
prefix = "/boards"
service = "s"
methods = ["POST"]

[[routes]]
prefix = "/swatches"
service = "s"
methods = ["POST"]
repeatable = true
"#;

/// Starts a fleet in which the contract is in force.
pub(crate) async fn start(spawner: &Spawner, options: FleetOptions) -> (Fleet, RecordedClient) {
    let fleet = Fleet::start(spawner, options).await.unwrap();
    let put = fleet.put_contract(0, CONTRACT, &[]).unwrap();
    assert_eq!(put.code, 0, "{put:?}");
    let client = RecordedClient::new(spawner, KEY, &fleet.path("history")).unwrap();
    (fleet, client)
}

/// The lines of the fleet's history so far.
pub(crate) fn lines(fleet: &Fleet) -> Vec<Line> {
    parse(&fleet.read("history"))
}

/// Waits until an upstream has started `what`.
pub(crate) async fn wait_for_run(fleet: &Fleet, what: &str) {
    fleet.wait_for("a run", || claims::runs(&lines(fleet), what) > 0).await.unwrap();
}

/// Waits until the log service's counter `stat` exceeds `count`.
pub(crate) async fn wait_for_log(fleet: &Fleet, stat: &str, count: u64) {
    while fleet.page(&fleet.log, "/stats").await[stat].as_u64().unwrap_or(0) <= count {
        comfreymast_net::sleep_ms(2).await;
    }
}

/// The value of the log service's counter `stat`.
pub(crate) async fn log_stat(fleet: &Fleet, stat: &str) -> u64 {
    fleet.page(&fleet.log, "/stats").await[stat].as_u64().unwrap_or(0)
}

/// The daemons whose claims are on the log, in log order, whether or not a claim won.
pub(crate) async fn claimants_on_log(spawner: &Spawner, fleet: &Fleet) -> Vec<String> {
    let addr = fleet.log.listening().parse().unwrap();
    let log = LogClient::new(spawner.clone(), addr, LOG_TIMEOUT_MS);
    let reply = log.read(0, u32::MAX, 0).await.unwrap();
    let records = reply.entries.into_iter().map(|entry| Record::decode(entry.record).unwrap());
    let claimants = records.filter_map(|record| match record.body {
        Some(record::Body::Claim(claim)) => Some(claim.daemon),
        _ => None,
    });
    claimants.collect()
}

/// Checks the whole history for at-most-once runs, linearizability and truthful outcomes.
pub(crate) fn check(fleet: &Fleet) {
    let lines = lines(fleet);
    assert_eq!(claims::at_most_once(&lines), Ok(()));
    assert_eq!(claims::linearizable(&lines), Ok(()));
    assert_eq!(outcomes::truthful(&lines), Ok(()));
}
