//! Claims as part of a snapshot.

use bytes::Bytes;
use comfreymast_base::{DaemonName, OperationId, Organisation};
use comfreymast_wire::log::{Claim, ClaimEnd, ClaimOutcome, ClaimState, ForgottenClaims};

use crate::claims::{answer, hash};
use crate::{ClaimEntry, ClaimKey, ClaimResult, Claims, Skip, SnapshotError};

impl Claims {
    /// Every claim kept, in the order of the log.
    pub(crate) fn states(&self) -> Vec<ClaimState> {
        self.iter().map(|(key, entry)| claim_state(key, entry)).collect()
    }

    /// What is known of claims that were forgotten.
    pub(crate) fn forgotten_states(&self) -> Vec<ForgottenClaims> {
        let forgotten = self.forgotten().map(|(organisation, claimed_unix_ms)| ForgottenClaims {
            organisation: organisation.to_string(),
            claimed_unix_ms,
        });
        forgotten.collect()
    }

    /// The claims that the states were made of.
    pub(crate) fn restore(
        states: Vec<ClaimState>,
        forgotten: Vec<ForgottenClaims>,
    ) -> Result<Self, SnapshotError> {
        let mut claims = Self::default();
        for state in states {
            let (key, entry) = claim_entry(state)?;
            claims.insert(key, entry);
        }
        for past in forgotten {
            claims.note_forgotten(Organisation::from(past.organisation), past.claimed_unix_ms);
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

/// How a claim ended. Key and operation are those of the claim beside it.
fn outcome(end: &ClaimResult) -> ClaimOutcome {
    let mut outcome = ClaimOutcome::default();
    match end {
        ClaimResult::Done(kept) => {
            outcome.set_end(ClaimEnd::Done);
            if let Some(kept) = kept {
                outcome.status = u32::from(kept.status);
                outcome.content_type = kept.content_type.to_string();
                outcome.body = kept.body.clone();
            }
        }
        ClaimResult::NotRun => outcome.set_end(ClaimEnd::NotRun),
        ClaimResult::Unknown => outcome.set_end(ClaimEnd::Unknown),
    }
    outcome
}

fn claim_entry(state: ClaimState) -> Result<(ClaimKey, ClaimEntry), SnapshotError> {
    let claim = state.claim.ok_or(Skip::Undecodable)?;
    let key = ClaimKey {
        organisation: Organisation::from(claim.organisation),
        key_hash: hash(&claim.key_hash)?,
    };
    let entry = ClaimEntry {
        operation: OperationId::try_from(&state.operation_id[..])?,
        offset: state.offset,
        request_hash: hash(&claim.request_hash)?,
        daemon: DaemonName::from(claim.daemon),
        incarnation: claim.incarnation,
        claimed_unix_ms: claim.claimed_unix_ms,
        end: state.outcome.map(claim_result).transpose()?,
    };
    Ok((key, entry))
}

fn claim_result(outcome: ClaimOutcome) -> Result<ClaimResult, Skip> {
    match outcome.end() {
        ClaimEnd::Done => {
            // A copy: a slice would keep the whole snapshot in memory.
            let body = Bytes::copy_from_slice(&outcome.body);
            Ok(ClaimResult::Done(answer(outcome.status, &outcome.content_type, body)?))
        }
        ClaimEnd::NotRun => Ok(ClaimResult::NotRun),
        ClaimEnd::Unknown => Ok(ClaimResult::Unknown),
        ClaimEnd::Unspecified => Err(Skip::Undecodable),
    }
}
