use std::sync::Arc;

use comfreymast_base::OperationId;
use comfreymast_contract::Contract;

/// One organisation's contract in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ContractEntry {
    /// Increases by one with each accepted change.
    pub revision: u64,
    /// The document as the operator published it.
    pub document: Arc<str>,
    /// The document, parsed and validated.
    pub contract: Arc<Contract>,
    /// The latest accepted changes, oldest first.
    pub history: Vec<Revision>,
}

/// One accepted change of a contract.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// The revision that this change created.
    pub revision: u64,
    /// The operation that requested it.
    pub operation: OperationId,
    /// The log offset of its record.
    pub offset: u64,
    /// The operator who published it.
    pub author: Arc<str>,
    /// When it was published, by the publishing daemon's clock.
    pub published_unix_ms: u64,
}
