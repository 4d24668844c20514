//! Applies records of claims and their outcomes.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::HashMap;

use bytes::Bytes;
use comfreymast_base::{OperationId, Organisation};
use comfreymast_ledger::{Applied, ClaimKey, ClaimResult, Ledger};
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome, Record, record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

const MAX_CLAIMS_PER_ORGANISATION: u64 = 8_192;
const MAX_CLAIMS: usize = 32_768;

fn operation(number: u64) -> OperationId {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    OperationId::from_bytes(bytes)
}

fn key(organisation: &str, number: u64) -> ClaimKey {
    let mut key_hash = [0; 32];
    key_hash[..8].copy_from_slice(&number.to_be_bytes());
    ClaimKey { organisation: Organisation::from(organisation), key_hash }
}

fn encoded(id: u64, body: record::Body) -> Vec<u8> {
    Record { operation_id: operation(id).to_vec().into(), body: Some(body) }.encode_to_vec()
}

fn claim(id: u64, key: &ClaimKey) -> Vec<u8> {
    let claim = Claim {
        organisation: key.organisation.to_string(),
        key_hash: key.key_hash.to_vec().into(),
        request_hash: vec![7; 32].into(),
        daemon: "d0".to_owned(),
        incarnation: 1,
        claimed_unix_ms: 1_000 + id,
    };
    encoded(id, record::Body::Claim(claim))
}

fn outcome(id: u64, key: &ClaimKey, claim_id: u64, end: ClaimEnd, body: &'static [u8]) -> Vec<u8> {
    let outcome = ClaimOutcome {
        organisation: key.organisation.to_string(),
        key_hash: key.key_hash.to_vec().into(),
        claim_operation_id: operation(claim_id).to_vec().into(),
        end: end.into(),
        status: u32::from(!body.is_empty()) * 200,
        content_type: String::new(),
        body: Bytes::from_static(body),
    };
    encoded(id, record::Body::ClaimOutcome(outcome))
}

fn apply_all(records: &[Vec<u8>]) -> (Ledger, Vec<Applied>) {
    let mut ledger = Ledger::default();
    let applied = records.iter().zip(0..).map(|(record, offset)| ledger.apply(offset, record));
    let applied = applied.collect();
    (ledger, applied)
}

fn won(won: bool) -> Applied {
    Applied::Claim { won }
}

#[test]
fn the_claim_with_the_lowest_offset_holds_its_key() {
    let key = key("a", 1);
    let (ledger, applied) = apply_all(&[
        claim(1, &key),
        claim(2, &key),
        outcome(3, &key, 2, ClaimEnd::NotRun, b""),
        claim(4, &key),
    ]);
    assert_eq!(applied, [won(true), won(false), Applied::Ignored, won(false)]);
    let entry = ledger.claims().get(&key).unwrap();
    assert_eq!((entry.operation, &entry.end), (operation(1), &None));
}

#[test]
fn an_outcome_is_final_unless_the_request_was_not_run() {
    let key = key("a", 1);
    let (ledger, applied) = apply_all(&[
        claim(1, &key),
        outcome(2, &key, 1, ClaimEnd::NotRun, b""),
        claim(3, &key),
        // The first claim has already ended, so this outcome is ignored.
        outcome(4, &key, 1, ClaimEnd::Unknown, b""),
        outcome(5, &key, 3, ClaimEnd::Done, b"answer"),
        outcome(6, &key, 3, ClaimEnd::NotRun, b""),
        claim(7, &key),
    ]);
    assert_eq!(applied[2], won(true));
    assert_eq!((&applied[3], &applied[5]), (&Applied::Ignored, &Applied::Ignored));
    assert_eq!(applied[6], won(false));
    let Some(ClaimResult::Done(Some(response))) = &ledger.claims().get(&key).unwrap().end else {
        panic!("no response was kept");
    };
    assert_eq!((response.status, &response.body[..]), (200, &b"answer"[..]));
}

#[test]
fn a_repeated_claim_record_is_a_duplicate() {
    let key = key("a", 1);
    let (_, applied) = apply_all(&[claim(1, &key), claim(1, &key)]);
    assert_eq!(applied, [won(true), Applied::Duplicate]);
}

#[test]
fn invalid_claim_records_are_skipped_and_counted() {
    let good = key("a", 1);
    let short = Claim { key_hash: vec![1].into(), ..Claim::default() };
    let without_end = outcome(3, &good, 1, ClaimEnd::Unspecified, b"");
    let (ledger, _) = apply_all(&[encoded(1, record::Body::Claim(short)), without_end]);
    assert_eq!(ledger.skipped_records(), 2);
    assert!(ledger.claims().is_empty());
}

#[test]
fn an_organisation_above_its_bound_evicts_its_own_oldest_claims() {
    let mut ledger = Ledger::default();
    let quiet_key = key("quiet", 0);
    ledger.apply(0, &claim(0, &quiet_key));
    for number in 1..=MAX_CLAIMS_PER_ORGANISATION + 10 {
        ledger.apply(number, &claim(number, &key("busy", number)));
    }
    assert_eq!(ledger.claims().len() as u64, MAX_CLAIMS_PER_ORGANISATION + 1);
    assert!(ledger.claims().get(&quiet_key).is_some());
    assert!(ledger.claims().get(&key("busy", 10)).is_none());
    assert!(ledger.claims().get(&key("busy", 11)).is_some());
    assert_eq!(ledger.claims().evicted_unix_ms("busy"), 1_010);
    assert_eq!(ledger.claims().evicted_unix_ms("quiet"), 0);
}

#[test]
fn the_total_number_of_claims_is_bounded() {
    let mut ledger = Ledger::default();
    for number in 0..MAX_CLAIMS as u64 + 100 {
        let organisation = format!("o{}", number % 20);
        ledger.apply(number, &claim(number, &key(&organisation, number)));
    }
    assert_eq!(ledger.claims().len(), MAX_CLAIMS);
    assert_eq!(ledger.claims().iter().count(), MAX_CLAIMS);
}

#[test]
fn responses_above_the_byte_bound_are_dropped_but_their_claims_kept() {
    const BODY: &[u8] = &[b'x'; 4_096];
    const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;
    let mut ledger = Ledger::default();
    for number in 0..3_000 {
        let key = key("a", number);
        ledger.apply(number * 2, &claim(number, &key));
        ledger.apply(number * 2 + 1, &outcome(number + 10_000, &key, number, ClaimEnd::Done, BODY));
    }
    assert!(ledger.claims().response_bytes() <= MAX_RESPONSE_BYTES);
    let oldest = ledger.claims().get(&key("a", 0)).unwrap();
    assert_eq!(oldest.end, Some(ClaimResult::Done(None)));
    let latest = ledger.claims().get(&key("a", 2_999)).unwrap();
    assert!(matches!(latest.end, Some(ClaimResult::Done(Some(_)))));
}

// ------------------------------------------------------------------------------------------------
// Comparison with a reference model

/// One record: a claim on a key, or an outcome for the claim of the record at index `claim`.
#[derive(Clone, Debug)]
enum Step {
    Claim { key: u64 },
    End { claim: usize, end: ClaimEnd },
}

fn any_step() -> impl Strategy<Value = Step> {
    let ends = prop::sample::select(vec![ClaimEnd::Done, ClaimEnd::NotRun, ClaimEnd::Unknown]);
    prop_oneof![
        (0..3_u64).prop_map(|key| Step::Claim { key }),
        (0..40_usize, ends).prop_map(|(claim, end)| Step::End { claim, end }),
    ]
}

/// The claim that holds a key, and whether its request has ended for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    operation: u64,
    ended: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_has_one_holder_until_its_request_is_recorded_as_not_run(
        steps in prop::collection::vec(any_step(), 1..40),
    ) {
        let mut ledger = Ledger::default();
        let mut holders: HashMap<u64, Holder> = HashMap::new();
        let mut claimed_keys = HashMap::new();
        for (index, step) in steps.iter().enumerate() {
            let id = index as u64;
            match step {
                Step::Claim { key: number } => {
                    claimed_keys.insert(index, *number);
                    let is_free = !holders.contains_key(number);
                    let offset = ledger.next_offset();
                    let applied = ledger.apply(offset, &claim(id, &key("a", *number)));
                    prop_assert_eq!(applied, won(is_free));
                    holders.entry(*number).or_insert(Holder { operation: id, ended: false });
                }
                Step::End { claim, end: claim_end } => {
                    let Some(number) = claimed_keys.get(claim) else { continue };
                    let holder = holders.get(number).copied();
                    let holds_key =
                        holder == Some(Holder { operation: *claim as u64, ended: false });
                    let record = outcome(id, &key("a", *number), *claim as u64, *claim_end, b"");
                    let applied = ledger.apply(ledger.next_offset(), &record);
                    let expected = if holds_key { Applied::ClaimEnded } else { Applied::Ignored };
                    prop_assert_eq!(applied, expected);
                    match claim_end {
                        _ if !holds_key => {}
                        ClaimEnd::NotRun => {
                            holders.remove(number);
                        }
                        _ => {
                            let ended = Holder { operation: *claim as u64, ended: true };
                            holders.insert(*number, ended);
                        }
                    }
                }
            }
        }
    }
}
