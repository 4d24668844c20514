use std::sync::Arc;

use comfreymast_base::OperationId;
use comfreymast_contract::{Contract, ContractError};
use comfreymast_wire::log::{ContractChange, Record, Snapshot, record};
use prost::Message;
use sha2::{Digest, Sha256};

use crate::chain::Chain;
use crate::operations::Operations;
use crate::snapshot::is_intact;
use crate::{
    Applied, AppliedOperation, ChainDigest, Claims, ContractEntry, Contracts, Quarantines,
    RequestDigest, Revision, SkipReason, SnapshotCheck,
};

const MAX_HISTORY: usize = 16;

/// The state after applying all records below [`Ledger::next_offset`].
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub(crate) next_offset: u64,
    pub(crate) contracts: Contracts,
    pub(crate) claims: Claims,
    pub(crate) quarantines: Quarantines,
    pub(crate) skipped_records: u64,
    /// Kept apart from the far more numerous other operations, which would evict these.
    pub(crate) contract_operations: Operations,
    pub(crate) other_operations: Operations,
    pub(crate) chain: Chain,
    pub(crate) snapshot_offset: u64,
    pub(crate) snapshot_taken_unix_ms: u64,
}

impl Ledger {
    /// The first offset whose record is not applied yet.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The contracts in force.
    #[must_use]
    pub fn contracts(&self) -> &Contracts {
        &self.contracts
    }

    /// The claims of non-repeatable requests.
    #[must_use]
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The quarantined requests.
    #[must_use]
    pub fn quarantines(&self) -> &Quarantines {
        &self.quarantines
    }

    /// How many records were skipped as bad; conflicts are not counted.
    #[must_use]
    pub fn skipped_records(&self) -> u64 {
        self.skipped_records
    }

    /// The effect of one of the latest operations.
    #[must_use]
    pub fn operation(&self, operation: OperationId) -> Option<&AppliedOperation> {
        self.contract_operations.get(operation).or_else(|| self.other_operations.get(operation))
    }

    /// A digest of all records applied.
    #[must_use]
    pub fn chain(&self) -> ChainDigest {
        self.chain.head()
    }

    /// The first offset that the latest snapshot on the log does not cover; 0 for no snapshot.
    #[must_use]
    pub fn snapshot_offset(&self) -> u64 {
        self.snapshot_offset
    }

    /// When the latest snapshot on the log was taken, by its writer's clock.
    #[must_use]
    pub fn snapshot_taken_unix_ms(&self) -> u64 {
        self.snapshot_taken_unix_ms
    }

    /// Applies the record at `offset`.
    ///
    /// A record that was already applied is ignored, so that a late duplicate cannot revert newer
    /// state. A record after a gap is ignored too; [`Applied::Gap`] holds the first missing offset.
    pub fn apply(&mut self, offset: u64, record: &[u8]) -> Applied {
        if offset < self.next_offset {
            return Applied::Duplicate;
        }
        if offset > self.next_offset {
            return Applied::Gap { next_offset: self.next_offset };
        }
        // Applied before the chain is extended: a snapshot is compared with the chain below it.
        let applied = self.apply_record(offset, record).unwrap_or_else(Applied::Skipped);
        self.chain.push(offset, record);
        self.next_offset = offset + 1;
        if let Applied::Skipped(skip) = &applied
            && !matches!(skip, SkipReason::Conflict { .. })
        {
            self.skipped_records += 1;
        }
        applied
    }

    fn apply_record(&mut self, offset: u64, bytes: &[u8]) -> Result<Applied, SkipReason> {
        let record = Record::decode(bytes).map_err(|_| SkipReason::Undecodable)?;
        let operation =
            OperationId::try_from(&record.operation_id[..]).map_err(|_| SkipReason::NoOperation)?;
        if self.operation(operation).is_some() {
            return Ok(Applied::Duplicate);
        }
        let request_digest = match &record.body {
            Some(record::Body::Contract(change)) => Some(request_digest(change)),
            _ => None,
        };
        let result = self.apply_body(offset, operation, record.body);
        let applied = result.clone().unwrap_or_else(Applied::Skipped);
        let operations = match request_digest {
            Some(_) => &mut self.contract_operations,
            None => &mut self.other_operations,
        };
        let request_digest = request_digest.unwrap_or_default();
        operations.insert(operation, AppliedOperation { offset, applied, request_digest });
        result
    }

    fn apply_body(
        &mut self,
        offset: u64,
        operation: OperationId,
        body: Option<record::Body>,
    ) -> Result<Applied, SkipReason> {
        match body {
            Some(record::Body::Contract(change)) => self.change_contract(offset, operation, change),
            Some(record::Body::Snapshot(snapshot)) => self.apply_snapshot(&snapshot),
            Some(record::Body::Claim(claim)) => self.claims.claim(offset, operation, claim),
            Some(record::Body::ClaimOutcome(outcome)) => self.claims.record_outcome(outcome),
            Some(record::Body::Quarantine(record)) => self.quarantines.apply(offset, record),
            None => Err(SkipReason::Undecodable),
        }
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot) -> Result<Applied, SkipReason> {
        let upto_offset = snapshot.upto_offset;
        if !is_intact(snapshot) || upto_offset > self.next_offset {
            return Err(SkipReason::BadSnapshot);
        }
        let local_digest = if upto_offset == self.next_offset {
            Some(self.chain.head())
        } else {
            self.chain.digest_below(upto_offset)
        };
        let check = match local_digest {
            Some(local_digest) if local_digest[..] == snapshot.chain[..] => SnapshotCheck::Agrees,
            Some(_) => SnapshotCheck::Differs,
            None => SnapshotCheck::TooOld,
        };
        if check != SnapshotCheck::Differs && upto_offset > self.snapshot_offset {
            self.snapshot_offset = upto_offset;
            self.snapshot_taken_unix_ms = snapshot.taken_unix_ms;
        }
        Ok(Applied::Snapshot { upto_offset, check })
    }

    fn change_contract(
        &mut self,
        offset: u64,
        operation: OperationId,
        change: ContractChange,
    ) -> Result<Applied, SkipReason> {
        let current = self.contracts.get(&change.organisation);
        let revision = current.map_or(0, |entry| entry.revision);
        let mut history = current.map(|entry| entry.history.clone()).unwrap_or_default();
        if history.iter().any(|revision| revision.operation == operation) {
            return Ok(Applied::Duplicate);
        }
        let contract = self.validate(&change)?;
        if change.base_revision != revision {
            return Err(SkipReason::Conflict { base_revision: change.base_revision, revision });
        }
        let revision = revision + 1;
        history.push(Revision {
            revision,
            operation,
            offset,
            author: Arc::from(change.author),
            published_unix_ms: change.published_unix_ms,
        });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        let organisation = contract.organisation.clone();
        self.contracts.insert(ContractEntry {
            revision,
            document: Arc::from(change.document),
            contract: Arc::new(contract),
            history,
        });
        Ok(Applied::Contract { organisation, revision })
    }

    fn validate(&self, change: &ContractChange) -> Result<Contract, SkipReason> {
        let contract = Contract::parse(&change.document).map_err(invalid_contract)?;
        if contract.organisation.as_str() != change.organisation {
            let reason = format!("the document names {}", contract.organisation);
            return Err(SkipReason::Invalid { reason });
        }
        for key in &contract.keys {
            let holder = key
                .hash()
                .and_then(|hash| self.contracts.other_holder(&hash, &change.organisation));
            if let Some(holder) = holder {
                let reason = format!("key {} belongs to {holder}", key.name);
                return Err(SkipReason::Invalid { reason });
            }
        }
        Ok(contract)
    }
}

/// Digest of what a change requests, without time and author, which may differ in a retry.
#[must_use]
pub fn request_digest(change: &ContractChange) -> RequestDigest {
    let mut hasher = Sha256::new();
    hasher.update(change.organisation.as_bytes());
    hasher.update([0]);
    hasher.update(change.base_revision.to_be_bytes());
    hasher.update(change.document.as_bytes());
    let mut digest = RequestDigest::default();
    let length = digest.len();
    digest.copy_from_slice(&hasher.finalize()[..length]);
    digest
}

fn invalid_contract(error: ContractError) -> SkipReason {
    SkipReason::Invalid { reason: error.to_string() }
}
