use comfreymast_base::Organisation;
use derive_more::{Display, Error};

/// What one record did to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A contract has a new revision.
    Contract {
        /// Whose contract.
        organisation: Organisation,
        /// Its revision from now on.
        revision: u64,
    },
    /// A claim was made.
    Claim {
        /// True when it holds its key; false when an earlier claim does.
        won: bool,
    },
    /// A claimed request has ended.
    ClaimEnded,
    /// A request is quarantined, or no longer.
    Quarantine {
        /// SHA-256 of model and prompt.
        fingerprint: crate::Fingerprint,
        /// False when an operator lifted it.
        active: bool,
    },
    /// The record's operation was folded before; appending twice does no harm.
    Duplicate,
    /// A record of a kind that this fold does not use.
    Ignored,
    /// The record did nothing.
    Skipped(Skip),
}

/// Why a record did nothing. Every daemon skips it for the same reason.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Skip {
    /// The bytes are not a record.
    #[display("the record does not decode")]
    Undecodable,
    /// The record has no operation id of 16 bytes.
    #[display("the record has no operation id")]
    NoOperation,
    /// The record's contract breaks a rule or names another organisation.
    #[display("the contract is not valid: {reason}")]
    Invalid {
        /// The first fault found.
        reason: String,
    },
    /// Another change came first.
    #[display("written against revision {base_revision}, but {revision} is in force")]
    Conflict {
        /// The revision the change was written against.
        base_revision: u64,
        /// The revision in force.
        revision: u64,
    },
}
