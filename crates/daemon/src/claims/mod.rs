//! Non-repeatable requests run at most once.
//!
//! A request with an `Idempotency-Key` gets a claim on the platform's log before it is sent to an
//! upstream. The claim with the lowest offset wins; everyone else gets the winner's answer.
//!
//! * [`admit`] — claims a key, or finds the answer of an earlier claim.
//! * [`Permit`] — the right to run one request; it says how the request ended.
//! * [`outlive_caller`] — goes on with claimed work when its caller hangs up.
//! * [`ClaimLog`] — appends claims and their ends, many with one append.

mod admit;
mod claim_log;
mod key;
mod outlive;
mod permit;

pub(crate) use admit::{Admission, Asked, admit};
pub(crate) use claim_log::{ClaimLog, append};
pub(crate) use outlive::outlive_caller;
pub(crate) use permit::Permit;
