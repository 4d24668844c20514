use std::sync::Arc;

use comfreymast_base::OperationId;
use comfreymast_contract::Contract;

/// One organisation's contract in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ContractEntry {
    /// Rises by one with each accepted change.
    pub revision: u64,
    /// The document as the operator published it.
    pub document: Arc<str>,
    /// The document, parsed and checked.
    pub contract: Arc<Contract>,
    /// The latest accepted changes, oldest first.
    pub history: Vec<Revision>,
}

/// One accepted change of a contract.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// The revision this change made.
    pub revision: u64,
    /// The operation that made it.
    pub operation: OperationId,
    /// The log offset of its record.
    pub offset: u64,
    /// Who published it.
    pub author: Arc<str>,
    /// When, by the publishing daemon's clock.
    pub published_unix_ms: u64,
}
