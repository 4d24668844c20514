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
    /// Records before this one are missing, so it was not folded.
    Gap {
        /// The offset that has to come first.
        next_offset: u64,
    },
    /// The record is a snapshot of everything below an offset.
    Snapshot {
        /// That offset.
        upto_offset: u64,
        /// Whether it was made from the records folded here.
        check: SnapshotCheck,
    },
    /// A record of a kind that this fold does not use.
    Ignored,
    /// The record did nothing.
    Skipped(Skip),
}

/// How a snapshot on the log compares with the records folded here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotCheck {
    /// It was made from the same records.
    Agrees,
    /// It was made from other records: the daemon that wrote it, or this one, is at fault.
    Differs,
    /// Its offset is too long ago to tell.
    TooOld,
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
    /// The snapshot's bytes are not those its digest was made of.
    #[display("the snapshot's digest does not match its bytes")]
    BadSnapshot,
}
