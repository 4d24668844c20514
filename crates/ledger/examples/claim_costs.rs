//! Prints the cost of claims in a full ledger: bytes on the log, memory and time to apply.
//!
//! `cargo run --release -p comfreymast-ledger --example claim_costs`

use std::time::Instant;

use bytes::Bytes;
use comfreymast_base::OperationId;
use comfreymast_ledger::Ledger;
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome, Record, record};
use prost::Message;

const CLAIMS: u64 = 32_768;
const ORGANISATIONS: u64 = 8_700;
const RESPONSE_BODY_BYTES: usize = 100;
const KIB: u64 = 1_024;

fn main() {
    let before_kib = resident_kib();
    let mut ledger = Ledger::default();
    let started = Instant::now();
    let (mut claim_bytes, mut outcome_bytes) = (0, 0);
    for number in 0..CLAIMS {
        let operation = OperationId::random();
        let claim = encoded(operation, record::Body::Claim(claim(number)));
        let outcome =
            encoded(OperationId::random(), record::Body::ClaimOutcome(outcome(number, operation)));
        claim_bytes += claim.len() as u64;
        outcome_bytes += outcome.len() as u64;
        ledger.apply(number * 2, &claim);
        ledger.apply(number * 2 + 1, &outcome);
    }
    let elapsed_us = started.elapsed().as_micros();
    let memory_bytes = (resident_kib() - before_kib) * KIB;
    println!("claims kept: {}", ledger.claims().len());
    println!("a claim: {} bytes on the log", claim_bytes / CLAIMS);
    println!(
        "an outcome with a response body of {RESPONSE_BODY_BYTES} bytes: {} bytes on the log",
        outcome_bytes / CLAIMS
    );
    println!(
        "memory: {} bytes per claim, {} MiB in total",
        memory_bytes / CLAIMS,
        memory_bytes >> 20
    );
    println!(
        "encoding and applying both records: {} us per claim",
        elapsed_us / u128::from(CLAIMS)
    );
}

fn encoded(operation: OperationId, body: record::Body) -> Vec<u8> {
    Record { operation_id: operation.to_vec().into(), body: Some(body) }.encode_to_vec()
}

fn organisation(number: u64) -> String {
    format!("organisation-{}", number % ORGANISATIONS)
}

fn key_hash(number: u64) -> Bytes {
    let mut hash = vec![0; 32];
    hash[..8].copy_from_slice(&number.to_be_bytes());
    Bytes::from(hash)
}

fn claim(number: u64) -> Claim {
    Claim {
        organisation: organisation(number),
        key_hash: key_hash(number),
        request_hash: key_hash(number),
        daemon: "entry-7".to_owned(),
        incarnation: 1_780_000_000_000,
        claimed_unix_ms: 1_780_000_000_000,
    }
}

fn outcome(number: u64, operation: OperationId) -> ClaimOutcome {
    ClaimOutcome {
        organisation: organisation(number),
        key_hash: key_hash(number),
        claim_operation_id: operation.to_vec().into(),
        end: ClaimEnd::Done.into(),
        status: 200,
        content_type: "application/json".to_owned(),
        body: Bytes::from(vec![b'x'; RESPONSE_BODY_BYTES]),
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
}
