use bytes::Bytes;
use comfreymast_wire::log::{Claim, ClaimOutcome, Record, record};
use comfreymast_wire::peer::{Heartbeat, LimitReport, LimitUse};
use prost::Message;

use crate::bench_fleet::contract_record;

const HASH_BYTES: usize = 32;
const ID_BYTES: usize = 16;
const UNIX_MS: u64 = 1_800_000_000_000;
const DAEMON: &str = "entry-vm-0123";
const ORGANISATION: &str = "organisation-0123";

/// Prints the encoded sizes of log records and of messages between daemons.
pub(super) fn run() {
    let hash = || Bytes::from(vec![7; HASH_BYTES]);
    let claim = Claim {
        organisation: ORGANISATION.to_owned(),
        key_hash: hash(),
        request_hash: hash(),
        daemon: DAEMON.to_owned(),
        incarnation: UNIX_MS,
        claimed_unix_ms: UNIX_MS,
    };
    let outcome = ClaimOutcome {
        organisation: ORGANISATION.to_owned(),
        key_hash: hash(),
        claim_operation_id: Bytes::from(vec![7; ID_BYTES]),
        end: 1,
        status: 200,
        content_type: "application/json".to_owned(),
        ..ClaimOutcome::default()
    };
    let heartbeat = Heartbeat {
        daemon: DAEMON.to_owned(),
        incarnation: UNIX_MS,
        sequence: 1_000_000,
        next_offset: 1_000_000,
        echo_incarnation: UNIX_MS,
        echo_sequence: 1_000_000,
        current: true,
        ..Heartbeat::default()
    };
    let limit_use =
        LimitUse { organisation: ORGANISATION.to_owned(), slots_held: 9, ..LimitUse::default() };
    let report = LimitReport { uses: vec![limit_use], ..LimitReport::default() };
    println!("contract record: {} bytes", contract_record(0).len());
    println!("claim record: {} bytes", record_bytes(record::Body::Claim(claim)));
    println!(
        "claim outcome without its body: {} bytes",
        record_bytes(record::Body::ClaimOutcome(outcome))
    );
    println!("heartbeat: {} bytes", heartbeat.encoded_len());
    println!("limit report, each organisation: {} bytes", report.encoded_len());
}

fn record_bytes(body: record::Body) -> usize {
    let operation_id = Bytes::from(vec![7; ID_BYTES]);
    Record { operation_id, body: Some(body) }.encoded_len()
}
