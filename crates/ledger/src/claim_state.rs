//! Conversion of claims to and from snapshot state.

use bytes::Bytes;
use comfreymast_base::{DaemonName, OperationId, Organisation};
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome, ClaimState, ForgottenClaims};

use crate::claims::{parse_hash, parse_response};
use crate::{ClaimEntry, ClaimKey, ClaimResult, Claims, SkipReason, SnapshotError};

impl Claims {
    /// The snapshot state of every claim, in log order.
    pub(crate) fn states(&self) -> Vec<ClaimState> {
        self.iter().map(|(key, entry)| claim_state(key, entry)).collect()
    }

    /// The snapshot state of evictions: the latest time of an evicted claim by organisation.
    pub(crate) fn evicted_states(&self) -> Vec<ForgottenClaims> {
        let evicted = self.evicted().map(|(organisation, claimed_unix_ms)| ForgottenClaims {
            organisation: organisation.to_string(),
            claimed_unix_ms,
        });
        evicted.collect()
    }

    /// Rebuilds the claims from their snapshot state.
    pub(crate) fn restore(
        states: Vec<ClaimState>,
        evicted: Vec<ForgottenClaims>,
    ) -> Result<Self, SnapshotError> {
        let mut claims = Self::default();
        for state in states {
            let (key, entry) = claim_entry(state)?;
            claims.insert(key, entry);
        }
        for eviction in evicted {
            claims.record_eviction(
                Organisation::from(eviction.organisation),
                eviction.claimed_unix_ms,
            );
        }
        Ok(claims)
    }
}

fn claim_state(key: &ClaimKey, entry: &ClaimEntry) -> ClaimState {
    let claim = Claim {
        organisation: key.organisation.to_string(),
        key_hash: key.key_hash.to_vec().into(),
        request_hash: entry.request_hash.to_vec().into(),
        daemon: entry.daemon.to_string(),
        incarnation: entry.incarnation,
        claimed_unix_ms: entry.claimed_unix_ms,
    };
    ClaimState {
        claim: Some(claim),
        operation_id: entry.operation.to_vec().into(),
        offset: entry.offset,
        outcome: entry.end.as_ref().map(outcome),
    }
}

/// How a claim ended. Key and operation stay empty: the [`ClaimState`] around it has them.
fn outcome(end: &ClaimResult) -> ClaimOutcome {
    let mut outcome = ClaimOutcome::default();
    match end {
        ClaimResult::Done(response) => {
            outcome.set_end(ClaimEnd::Done);
            if let Some(response) = response {
                outcome.status = u32::from(response.status);
                outcome.content_type = response.content_type.to_string();
                outcome.body = response.body.clone();
            }
        }
        ClaimResult::NotRun => outcome.set_end(ClaimEnd::NotRun),
        ClaimResult::Unknown => outcome.set_end(ClaimEnd::Unknown),
    }
    outcome
}

fn claim_entry(state: ClaimState) -> Result<(ClaimKey, ClaimEntry), SnapshotError> {
    let claim = state.claim.ok_or(SkipReason::Undecodable)?;
    let key = ClaimKey {
        organisation: Organisation::from(claim.organisation),
        key_hash: parse_hash(&claim.key_hash)?,
    };
    let entry = ClaimEntry {
        operation: OperationId::try_from(&state.operation_id[..])?,
        offset: state.offset,
        request_hash: parse_hash(&claim.request_hash)?,
        daemon: DaemonName::from(claim.daemon),
        incarnation: claim.incarnation,
        claimed_unix_ms: claim.claimed_unix_ms,
        end: state.outcome.map(claim_result).transpose()?,
    };
    Ok((key, entry))
}

fn claim_result(outcome: ClaimOutcome) -> Result<ClaimResult, SkipReason> {
    match outcome.end() {
        ClaimEnd::Done => {
            // Copied, because a slice would keep the whole snapshot in memory.
            let body = Bytes::copy_from_slice(&outcome.body);
            Ok(ClaimResult::Done(parse_response(outcome.status, &outcome.content_type, body)?))
        }
        ClaimEnd::NotRun => Ok(ClaimResult::NotRun),
        ClaimEnd::Unknown => Ok(ClaimResult::Unknown),
        ClaimEnd::Unspecified => Err(SkipReason::Undecodable),
    }
}
