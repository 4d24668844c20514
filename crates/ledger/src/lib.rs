//! Pure state folded from the platform's log. Nothing else writes it.
//!
//! Every daemon folds the same records in the same order, so every daemon holds the same state at
//! the same offset. A record that does not decode or breaks a rule is skipped on all of them.
//!
//! * [`Ledger`] — the fold; [`Ledger::apply`] takes one record.
//! * [`Contracts`] — the contracts in force, cheap to share with requests.
//! * [`ContractEntry`] — one contract with its revision and history.
//! * [`Claims`] — who may run a non-repeatable request, with [`ClaimEntry`] and its end.
//! * [`Quarantines`] — requests that are refused because engines died of them.
//! * [`Applied`] — what one record did; [`Skip`] — why a record did nothing.
//! * [`FoldedOperation`] — what an operation did, for asking again.
//! * [`Ledger::snapshot`] and [`Ledger::restore`] — a fold as bytes and back.

mod applied;
mod chain;
mod claim_entry;
mod claim_state;
mod claims;
mod contract_entry;
mod contracts;
mod ledger;
mod operations;
mod quarantine;
mod quarantine_state;
mod snapshot;

pub use applied::{Applied, Skip, SnapshotCheck};
pub use chain::ChainDigest;
pub use claim_entry::{ClaimAnswer, ClaimEntry, ClaimKey, ClaimResult, HASH_BYTES};
pub use claims::{ClaimBounds, Claims};
pub use contract_entry::{ContractEntry, Revision};
pub use contracts::Contracts;
pub use ledger::{Ledger, request_digest};
pub use operations::{FoldedOperation, RequestDigest};
pub use quarantine::{Fingerprint, QuarantineEntry, Quarantines};
pub use snapshot::{SnapshotError, is_intact};
