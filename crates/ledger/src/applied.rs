use comfreymast_base::Organisation;
use derive_more::{Display, Error};

/// The effect of one record on the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A contract has a new revision.
    Contract {
        /// The organisation of the contract.
        organisation: Organisation,
        /// The new revision.
        revision: u64,
    },
    /// A claim was made.
    Claim {
        /// True when it now holds its key; false when an earlier claim holds it.
        won: bool,
    },
    /// A claimed request has ended.
    ClaimEnded,
    /// A quarantine was declared or lifted.
    Quarantine {
        /// SHA-256 of model and prompt.
        fingerprint: crate::Fingerprint,
        /// False when an operator lifted the quarantine.
        active: bool,
    },
    /// The record's operation or offset was already applied, so a repeated append has no effect.
    Duplicate,
    /// Records before this one are missing, so it was not applied.
    Gap {
        /// The first missing offset.
        next_offset: u64,
    },
    /// The record is a snapshot of everything below an offset.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        upto_offset: u64,
        /// Whether it was made from the records applied here.
        check: SnapshotCheck,
    },
    /// A valid record that changes nothing, such as an outcome of a claim that lost its key.
    Ignored,
    /// The record is bad or conflicts with an earlier one; it changed nothing.
    Skipped(SkipReason),
}

/// How a snapshot on the log compares with the records applied here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotCheck {
    /// It was made from the same records.
    Agrees,
    /// It was made from other records: this daemon or the one that wrote it is faulty.
    Differs,
    /// The chain digest at its offset is no longer kept, so the two cannot be compared.
    TooOld,
}

/// Why a record was skipped. Every daemon skips it for the same reason.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SkipReason {
    /// The bytes are not a record.
    #[display("the record does not decode")]
    Undecodable,
    /// The record has no operation id of 16 bytes.
    #[display("the record has no operation id")]
    NoOperation,
    /// The record's content is invalid, or its contract names another organisation.
    #[display("the contract is not valid: {reason}")]
    Invalid {
        /// The first error found.
        reason: String,
    },
    /// Another change to the contract was applied first.
    #[display("written against revision {base_revision}, but {revision} is in force")]
    Conflict {
        /// The revision the change was written against.
        base_revision: u64,
        /// The revision in force.
        revision: u64,
    },
    /// The snapshot's digest does not match its bytes, or it covers records not yet applied.
    #[display("the snapshot's digest does not match its bytes")]
    BadSnapshot,
}
