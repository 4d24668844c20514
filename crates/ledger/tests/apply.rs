//! The ledger accepts arbitrary bytes as records and reaches the same state on every daemon.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_base::OperationId;
use comfreymast_ledger::{Applied, Ledger, SkipReason, is_intact};
use comfreymast_wire::log::{
    Claim, ClaimEnd, ClaimOutcome, ContractChange, Quarantine, Record, Snapshot, record,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

const SEED: u64 = 7;
const ORGANISATIONS: [&str; 3] = ["taller-sur", "atelier-syd", "estudio-norte"];

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn record(operation: u8, body: record::Body) -> Vec<u8> {
    let operation_id = OperationId::from_bytes([operation; 16]).to_vec().into();
    Record { operation_id, body: Some(body) }.encode_to_vec()
}

fn change(operation: u8, organisation: usize, base: u64, limit: u32) -> Vec<u8> {
    let organisation = ORGANISATIONS[organisation % ORGANISATIONS.len()].to_owned();
    // A limit of 0 makes the contract invalid.
    let document =
        format!("organisation = \"{organisation}\"\n[limits]\nrequests_per_s = {limit}\n");
    let change = ContractChange {
        organisation,
        base_revision: base,
        document,
        author: "operator".to_owned(),
        published_unix_ms: 5,
    };
    record(operation, record::Body::Contract(change))
}

fn claim(operation: u8, key: u8) -> Vec<u8> {
    let claim = Claim {
        organisation: ORGANISATIONS[0].to_owned(),
        key_hash: vec![key; 32].into(),
        request_hash: vec![key; 32].into(),
        daemon: "d0".to_owned(),
        incarnation: 1,
        claimed_unix_ms: 1_000,
    };
    record(operation, record::Body::Claim(claim))
}

fn outcome(operation: u8, key: u8, claim_operation: u8) -> Vec<u8> {
    let outcome = ClaimOutcome {
        organisation: ORGANISATIONS[0].to_owned(),
        key_hash: vec![key; 32].into(),
        claim_operation_id: vec![claim_operation; 16].into(),
        end: ClaimEnd::Done.into(),
        status: 200,
        ..ClaimOutcome::default()
    };
    record(operation, record::Body::ClaimOutcome(outcome))
}

fn quarantine(operation: u8, fingerprint: u8, active: bool) -> Vec<u8> {
    let quarantine = Quarantine {
        fingerprint: vec![fingerprint; 32].into(),
        active,
        deaths: 2,
        daemon: "d0".to_owned(),
        declared_unix_ms: 1,
    };
    record(operation, record::Body::Quarantine(quarantine))
}

/// Valid and invalid records, repeated operation ids and random bytes.
fn any_record() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        6 => (0..24_u8, 0..3_usize, 0..4_u64, 0..3_u32)
            .prop_map(|(operation, organisation, base, limit)| {
                change(operation, organisation, base, limit)
            }),
        2 => (0..24_u8, 0..4_u8).prop_map(|(operation, key)| claim(operation, key)),
        2 => (0..24_u8, 0..4_u8, 0..24_u8)
            .prop_map(|(operation, key, claim_operation)| outcome(operation, key, claim_operation)),
        1 => (0..24_u8, 0..3_u8, any::<bool>())
            .prop_map(|(operation, fingerprint, active)| {
                quarantine(operation, fingerprint, active)
            }),
        1 => prop::collection::vec(any::<u8>(), 0..64),
    ]
}

fn any_log() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(any_record(), 1..60)
}

fn apply_all(records: &[Vec<u8>]) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, record) in (0..).zip(records) {
        ledger.apply(offset, record);
    }
    ledger
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn state_is_independent_of_rereads_gaps_and_snapshots(
        log in any_log(),
        snapshot_index in 0..60_usize,
        repeats in prop::collection::vec(0..60_usize, 0..20),
    ) {
        let in_order = apply_all(&log);
        // One ledger also gets records that it already applied, and records after a gap.
        let mut repeated = Ledger::default();
        let mut repeats = repeats.into_iter().cycle().take(log.len() * 2);
        for (offset, record) in (0..).zip(&log) {
            if let Some(other) = repeats.next()
                && let Some(bytes) = log.get(other)
                && other as u64 != offset
            {
                let before = repeated.snapshot(0);
                let applied = repeated.apply(other as u64, bytes);
                let expected = other as u64 > offset;
                prop_assert_eq!(matches!(applied, Applied::Gap { .. }), expected);
                prop_assert_eq!(before, repeated.snapshot(0));
            }
            repeated.apply(offset, record);
        }
        // Another ledger starts from a snapshot.
        let snapshot_index = snapshot_index.min(log.len());
        let mut restored = Ledger::restore(&apply_all(&log[..snapshot_index]).snapshot(9)).unwrap();
        for (offset, record) in (0..).zip(&log).skip(snapshot_index) {
            restored.apply(offset, record);
        }
        prop_assert_eq!(in_order.snapshot(0), repeated.snapshot(0));
        prop_assert_eq!(in_order.snapshot(0), restored.snapshot(0));
    }

    #[test]
    fn accepted_contracts_are_never_lost_or_reverted(log in any_log()) {
        let mut ledger = Ledger::default();
        for (offset, record) in (0..).zip(&log) {
            let before = ledger.contracts().clone();
            let applied = ledger.apply(offset, record);
            for (organisation, old) in before.iter() {
                let new = ledger.contracts().get(organisation.as_str()).unwrap();
                let changed = matches!(
                    &applied,
                    Applied::Contract { organisation: changed, .. } if changed == organisation
                );
                prop_assert_eq!(new.revision, old.revision + u64::from(changed));
                prop_assert_eq!(changed || new.document == old.document, true);
            }
        }
    }

    #[test]
    fn restoring_a_damaged_snapshot_returns_an_error(
        log in any_log(),
        state in prop::collection::vec(any::<u8>(), 0..64),
        flipped in any::<prop::sample::Index>(),
    ) {
        let good = apply_all(&log).snapshot(0);
        let garbage = Snapshot { state: state.into(), ..good.clone() };
        prop_assert!(Ledger::restore(&garbage).is_err());
        let mut bytes = good.state.to_vec();
        let flipped = flipped.index(bytes.len());
        bytes[flipped] ^= 1;
        let damaged = Snapshot { state: bytes.into(), ..good };
        prop_assert!(!is_intact(&damaged));
        prop_assert!(Ledger::restore(&damaged).is_err());
    }
}

#[test]
fn a_repeated_operation_keeps_its_first_effect() {
    let log = [change(1, 0, 0, 5), change(2, 0, 0, 6), change(1, 0, 1, 7), change(2, 0, 1, 6)];
    let ledger = apply_all(&log);
    let entry = ledger.contracts().get(ORGANISATIONS[0]).unwrap();
    assert_eq!(entry.revision, 1);
    let second = ledger.operation(OperationId::from_bytes([2; 16])).unwrap();
    let conflict = SkipReason::Conflict { base_revision: 0, revision: 1 };
    assert_eq!(second.applied, Applied::Skipped(conflict));
}
