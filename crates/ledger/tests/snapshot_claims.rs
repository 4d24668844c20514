//! Snapshots include claims and quarantines. Without them, a daemon that starts from a snapshot
//! could run a non-repeatable request a second time.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_base::{OperationId, Organisation};
use comfreymast_ledger::{Applied, ClaimKey, Ledger};
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome, Quarantine, Record, record};
use prost::Message;

const KEYS: u8 = 6;

fn operation(number: u8) -> OperationId {
    OperationId::from_bytes([number; 16])
}

fn encoded(id: u8, body: record::Body) -> Vec<u8> {
    Record { operation_id: operation(id).to_vec().into(), body: Some(body) }.encode_to_vec()
}

fn claim(id: u8, key: u8) -> Vec<u8> {
    let claim = Claim {
        organisation: "estudio-norte".to_owned(),
        key_hash: vec![key; 32].into(),
        request_hash: vec![7; 32].into(),
        daemon: "d0".to_owned(),
        incarnation: 1,
        claimed_unix_ms: 1_000 + u64::from(id),
    };
    encoded(id, record::Body::Claim(claim))
}

fn outcome(id: u8, key: u8, end: ClaimEnd, status: u32) -> Vec<u8> {
    let outcome = ClaimOutcome {
        organisation: "estudio-norte".to_owned(),
        key_hash: vec![key; 32].into(),
        claim_operation_id: operation(key).to_vec().into(),
        end: end.into(),
        status,
        content_type: "application/json".to_owned(),
        body: vec![b'x'; 10].into(),
    };
    encoded(id, record::Body::ClaimOutcome(outcome))
}

fn quarantine(id: u8) -> Vec<u8> {
    let quarantine = Quarantine {
        fingerprint: vec![9; 32].into(),
        active: true,
        deaths: 2,
        daemon: "d1".to_owned(),
        declared_unix_ms: 5,
    };
    encoded(id, record::Body::Quarantine(quarantine))
}

/// A ledger with unfinished claims, claims of every outcome and a quarantine. A claim's operation
/// and its key have the same number.
fn ledger() -> Ledger {
    let mut records: Vec<_> = (1..=KEYS).map(|key| claim(key, key)).collect();
    records.push(outcome(20, 2, ClaimEnd::Done, 200));
    records.push(outcome(21, 3, ClaimEnd::Done, 0));
    records.push(outcome(22, 4, ClaimEnd::NotRun, 0));
    records.push(outcome(23, 5, ClaimEnd::Unknown, 0));
    records.push(quarantine(24));
    let mut ledger = Ledger::default();
    for (record, offset) in records.iter().zip(0..) {
        ledger.apply(offset, record);
    }
    ledger
}

#[test]
fn restore_reproduces_claims_and_quarantines() {
    let ledger = ledger();
    let restored = Ledger::restore(&ledger.snapshot(1)).unwrap();
    assert_eq!(restored.claims(), ledger.claims());
    assert_eq!(restored.claims().len(), usize::from(KEYS));
    assert_eq!(restored.quarantines(), ledger.quarantines());
    assert!(restored.quarantines().get(&[9; 32]).is_some());
}

#[test]
fn a_restored_claim_keeps_its_key_unless_its_request_was_not_run() {
    let mut restored = Ledger::restore(&ledger().snapshot(1)).unwrap();
    for key in 1..=KEYS {
        let applied = restored.apply(restored.next_offset(), &claim(100 + key, key));
        // Key 4 is free again, because its request was not run.
        assert_eq!(applied, Applied::Claim { won: key == 4 }, "key {key}");
    }
}

#[test]
fn an_outcome_after_restore_ends_a_restored_claim() {
    let mut restored = Ledger::restore(&ledger().snapshot(1)).unwrap();
    let offset = restored.next_offset();
    assert_eq!(restored.apply(offset, &outcome(200, 6, ClaimEnd::Done, 200)), Applied::ClaimEnded);
    let key = ClaimKey { organisation: Organisation::from("estudio-norte"), key_hash: [6; 32] };
    assert!(restored.claims().get(&key).unwrap().end.is_some());
}
