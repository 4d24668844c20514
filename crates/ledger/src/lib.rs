//! A replicated state machine: its state is a pure function of the records on the platform's log.
//!
//! Every daemon applies the same records in the same order, so every daemon holds the same state
//! at the same offset. A record that does not decode or is invalid is skipped on all of them.
//!
//! * [`Ledger`] — the state; [`Ledger::apply`] applies one record to it.
//! * [`Contracts`] — the contracts in force, cheap to share with requests.
//! * [`ContractEntry`] — one contract with its revision and history.
//! * [`Claims`] — which daemon may run a non-repeatable request, and how the request ended.
//! * [`Quarantines`] — requests that are refused because engines died while running them.
//! * [`Applied`] — the effect of one record; [`SkipReason`] — why a record had none.
//! * [`AppliedOperation`] — the effect of an operation, kept to answer retries.
//! * [`Ledger::snapshot`] and [`Ledger::restore`] — encode the state and decode it.

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

pub use applied::{Applied, SkipReason, SnapshotCheck};
pub use chain::ChainDigest;
pub use claim_entry::{ClaimEntry, ClaimKey, ClaimResult, HASH_BYTES, RecordedResponse};
pub use claims::{ClaimBounds, Claims};
pub use contract_entry::{ContractEntry, Revision};
pub use contracts::Contracts;
pub use ledger::{Ledger, request_digest};
pub use operations::{AppliedOperation, RequestDigest};
pub use quarantine::{Fingerprint, QuarantineEntry, Quarantines};
pub use snapshot::{SnapshotError, is_intact};
