//! Snapshots of a ledger: appended to the log before older records expire, and sent to peers.

use std::collections::HashSet;
use std::sync::Arc;

use comfreymast_base::{OperationId, Organisation, ParseIdError};
use comfreymast_contract::{Contract, ContractError};
use comfreymast_wire::log::{
    ContractState, OperationEnd, OperationState, RevisionState, Snapshot, SnapshotState,
};
use derive_more::{Display, Error, From};
use prost::Message;
use sha2::{Digest, Sha256};

use crate::chain::Chain;
use crate::operations::Operations;
use crate::{
    Applied, AppliedOperation, Claims, ContractEntry, Contracts, Ledger, Quarantines,
    RequestDigest, Revision, SkipReason,
};

/// Why a snapshot cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum SnapshotError {
    /// The digest does not match the encoded state.
    #[display("the snapshot's digest does not match its bytes")]
    Digest,
    /// The state does not decode.
    #[display("the snapshot does not decode: {_0}")]
    Decode(prost::DecodeError),
    /// The state holds an invalid contract document.
    #[display("the snapshot holds a bad contract: {_0}")]
    Contract(ContractError),
    /// The state holds an invalid claim or quarantine.
    #[display("the snapshot holds a bad claim or quarantine: {_0}")]
    Claim(SkipReason),
    /// The state holds an invalid operation id or request digest.
    #[display("the snapshot holds a bad operation id: {_0}")]
    Operation(ParseIdError),
    /// The chain digest is not 32 bytes long, or the offsets in the snapshot and its state differ.
    #[display("the snapshot's head does not match its state")]
    Head,
}

/// True when the digest of `snapshot` matches its encoded state.
#[must_use]
pub fn is_intact(snapshot: &Snapshot) -> bool {
    Sha256::digest(&snapshot.state)[..] == snapshot.digest[..]
}

impl Ledger {
    /// A snapshot of the current state, dated `taken_unix_ms`.
    #[must_use]
    pub fn snapshot(&self, taken_unix_ms: u64) -> Snapshot {
        let state = SnapshotState {
            next_offset: self.next_offset,
            skipped_records: self.skipped_records,
            contracts: self.contracts.iter().map(|(_, entry)| contract_state(entry)).collect(),
            operations: self
                .contract_operations
                .iter()
                .filter_map(|(id, operation)| operation_state(id, operation))
                .collect(),
            other_operation_ids: self
                .other_operations
                .iter()
                .map(|(id, _)| id.to_vec().into())
                .collect(),
            claims: self.claims.states(),
            forgotten_claims: self.claims.evicted_states(),
            quarantines: self.quarantines.states(),
        };
        let state = state.encode_to_vec();
        Snapshot {
            upto_offset: self.next_offset,
            digest: Sha256::digest(&state).to_vec().into(),
            state: state.into(),
            chain: self.chain.head().to_vec().into(),
            taken_unix_ms,
        }
    }

    /// Rebuilds the ledger from `snapshot`.
    ///
    /// # Errors
    ///
    /// A [`SnapshotError`] if the digest does not match or the state is invalid.
    pub fn restore(snapshot: &Snapshot) -> Result<Self, SnapshotError> {
        if !is_intact(snapshot) {
            return Err(SnapshotError::Digest);
        }
        let state = SnapshotState::decode(snapshot.state.clone())?;
        let head = snapshot.chain[..].try_into().map_err(|_| SnapshotError::Head)?;
        if state.next_offset != snapshot.upto_offset {
            return Err(SnapshotError::Head);
        }
        let other_operations = other_operations(&state)?;
        let mut contracts = Contracts::default();
        for contract in state.contracts {
            contracts.insert(contract_entry(contract)?);
        }
        let claims = Claims::restore(state.claims, state.forgotten_claims)?;
        let quarantines = Quarantines::restore(state.quarantines)?;
        let mut operations = Operations::default();
        for operation in state.operations {
            let id = OperationId::try_from(&operation.operation_id[..])?;
            operations.insert(id, applied_operation(operation)?);
        }
        Ok(Self {
            next_offset: state.next_offset,
            skipped_records: state.skipped_records,
            contracts,
            claims,
            quarantines,
            contract_operations: operations,
            other_operations,
            chain: Chain::from_head(head),
            snapshot_offset: snapshot.upto_offset,
            snapshot_taken_unix_ms: snapshot.taken_unix_ms,
        })
    }
}

/// The other operations, by id. Of their effects, only won claims are needed again, which are
/// restored from the claims in the snapshot.
fn other_operations(state: &SnapshotState) -> Result<Operations, SnapshotError> {
    let holders: HashSet<_> = state.claims.iter().map(|claim| &claim.operation_id).collect();
    let mut operations = Operations::default();
    for id in &state.other_operation_ids {
        let applied = match holders.contains(id) {
            true => Applied::Claim { won: true },
            false => Applied::Ignored,
        };
        let operation =
            AppliedOperation { offset: 0, applied, request_digest: RequestDigest::default() };
        operations.insert(OperationId::try_from(&id[..])?, operation);
    }
    Ok(operations)
}

fn contract_state(entry: &ContractEntry) -> ContractState {
    ContractState {
        revision: entry.revision,
        document: entry.document.to_string(),
        history: entry.history.iter().map(revision_state).collect(),
    }
}

fn revision_state(revision: &Revision) -> RevisionState {
    RevisionState {
        revision: revision.revision,
        operation_id: revision.operation.to_vec().into(),
        offset: revision.offset,
        author: revision.author.to_string(),
        published_unix_ms: revision.published_unix_ms,
    }
}

fn contract_entry(state: ContractState) -> Result<ContractEntry, SnapshotError> {
    let contract = Contract::parse(&state.document)?;
    let history = state.history.into_iter().map(|revision| {
        Ok(Revision {
            revision: revision.revision,
            operation: OperationId::try_from(&revision.operation_id[..])?,
            offset: revision.offset,
            author: Arc::from(revision.author),
            published_unix_ms: revision.published_unix_ms,
        })
    });
    Ok(ContractEntry {
        revision: state.revision,
        document: Arc::from(state.document),
        contract: Arc::new(contract),
        history: history.collect::<Result<_, SnapshotError>>()?,
    })
}

fn operation_state(id: OperationId, operation: &AppliedOperation) -> Option<OperationState> {
    let mut state = OperationState {
        operation_id: id.to_vec().into(),
        offset: operation.offset,
        request_digest: operation.request_digest.to_vec().into(),
        ..OperationState::default()
    };
    match &operation.applied {
        Applied::Contract { organisation, revision } => {
            state.set_end(OperationEnd::InForce);
            state.organisation = organisation.to_string();
            state.revision = *revision;
        }
        Applied::Skipped(SkipReason::Conflict { base_revision, revision }) => {
            state.set_end(OperationEnd::Conflict);
            state.base_revision = *base_revision;
            state.revision = *revision;
        }
        Applied::Skipped(SkipReason::Invalid { reason }) => {
            state.set_end(OperationEnd::Invalid);
            state.reason = reason.clone();
        }
        _ => return None,
    }
    Some(state)
}

fn applied_operation(state: OperationState) -> Result<AppliedOperation, SnapshotError> {
    let applied = match state.end() {
        OperationEnd::InForce => Applied::Contract {
            organisation: Organisation::from(state.organisation.as_str()),
            revision: state.revision,
        },
        OperationEnd::Conflict => Applied::Skipped(SkipReason::Conflict {
            base_revision: state.base_revision,
            revision: state.revision,
        }),
        OperationEnd::Invalid | OperationEnd::Unspecified => {
            Applied::Skipped(SkipReason::Invalid { reason: state.reason.clone() })
        }
    };
    let request_digest = state.request_digest[..].try_into().map_err(|_| ParseIdError)?;
    Ok(AppliedOperation { offset: state.offset, applied, request_digest })
}
