use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use comfreymast_base::OperationId;
use comfreymast_contract::{Contract, ContractError};
use comfreymast_wire::log::{ContractChange, Record, record};
use prost::Message;

use crate::{Applied, Claims, ContractEntry, Contracts, Quarantines, Revision, Skip};

const MAX_HISTORY: usize = 16;
const MAX_OPERATIONS: usize = 4_096;

/// State folded from all records below [`Ledger::next_offset`].
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    next_offset: u64,
    contracts: Contracts,
    claims: Claims,
    quarantines: Quarantines,
    skipped_records: u64,
    operations: HashMap<OperationId, (u64, Applied)>,
    operation_order: VecDeque<OperationId>,
}

impl Ledger {
    /// The first offset that is not yet folded.
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

    /// How many records did nothing because they were bad.
    #[must_use]
    pub fn skipped_records(&self) -> u64 {
        self.skipped_records
    }

    /// The offset and effect of one of the latest operations.
    #[must_use]
    pub fn operation(&self, operation: OperationId) -> Option<&(u64, Applied)> {
        self.operations.get(&operation)
    }

    /// Folds the record at `offset`. An offset folded before changes nothing, so nothing reverts.
    pub fn apply(&mut self, offset: u64, record: &[u8]) -> Applied {
        if offset < self.next_offset {
            return Applied::Duplicate;
        }
        self.next_offset = offset + 1;
        let applied = self.fold(offset, record).unwrap_or_else(Applied::Skipped);
        if let Applied::Skipped(skip) = &applied
            && !matches!(skip, Skip::Conflict { .. })
        {
            self.skipped_records += 1;
        }
        applied
    }

    fn fold(&mut self, offset: u64, bytes: &[u8]) -> Result<Applied, Skip> {
        let record = Record::decode(bytes).map_err(|_| Skip::Undecodable)?;
        let operation =
            OperationId::try_from(&record.operation_id[..]).map_err(|_| Skip::NoOperation)?;
        if self.operations.contains_key(&operation) {
            return Ok(Applied::Duplicate);
        }
        let applied = self.fold_body(offset, operation, record.body);
        let effect = applied.clone().unwrap_or_else(Applied::Skipped);
        self.remember(offset, operation, effect);
        applied
    }

    fn fold_body(
        &mut self,
        offset: u64,
        operation: OperationId,
        body: Option<record::Body>,
    ) -> Result<Applied, Skip> {
        match body {
            Some(record::Body::Contract(change)) => self.change_contract(offset, operation, change),
            Some(record::Body::Claim(claim)) => self.claims.claim(offset, operation, claim),
            Some(record::Body::ClaimOutcome(outcome)) => self.claims.settle(outcome),
            Some(record::Body::Quarantine(record)) => self.quarantines.fold(offset, record),
            Some(_) => Ok(Applied::Ignored),
            None => Err(Skip::Undecodable),
        }
    }

    fn remember(&mut self, offset: u64, operation: OperationId, effect: Applied) {
        self.operations.insert(operation, (offset, effect));
        self.operation_order.push_back(operation);
        if self.operation_order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
    }

    fn change_contract(
        &mut self,
        offset: u64,
        operation: OperationId,
        change: ContractChange,
    ) -> Result<Applied, Skip> {
        let current = self.contracts.get(&change.organisation);
        let revision = current.map_or(0, |entry| entry.revision);
        let mut history = current.map(|entry| entry.history.clone()).unwrap_or_default();
        if history.iter().any(|past| past.operation == operation) {
            return Ok(Applied::Duplicate);
        }
        let contract = self.checked(&change)?;
        if change.base_revision != revision {
            return Err(Skip::Conflict { base_revision: change.base_revision, revision });
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

    fn checked(&self, change: &ContractChange) -> Result<Contract, Skip> {
        let contract = Contract::parse(&change.document).map_err(invalid)?;
        if contract.organisation.as_str() != change.organisation {
            let reason = format!("the document names {}", contract.organisation);
            return Err(Skip::Invalid { reason });
        }
        for key in &contract.keys {
            let holder = key
                .hash()
                .and_then(|hash| self.contracts.other_holder(&hash, &change.organisation));
            if let Some(holder) = holder {
                let reason = format!("key {} belongs to {holder}", key.name);
                return Err(Skip::Invalid { reason });
            }
        }
        Ok(contract)
    }
}

fn invalid(error: ContractError) -> Skip {
    Skip::Invalid { reason: error.to_string() }
}
