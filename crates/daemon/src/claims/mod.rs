//! Claims on idempotency keys, so that non-repeatable requests run at most once.
//!
//! For a request with an `Idempotency-Key`, a claim is appended to the platform's log before it is
//! sent to an upstream. The claim with the lowest offset wins; all others get the winner's answer.
//!
//! * [`admit`] — claims a key, or returns the answer of an earlier claim.
//! * [`RunPermit`] — the right to run one request; it records how the request ended.
//! * [`run_detached`] — completes claimed work even if its caller disconnects.
//! * [`ClaimLog`] — appends claims and their ends to the log in batches.

mod admit;
mod claim_log;
mod detached;
mod key;
mod permit;

pub(crate) use admit::{Admission, RepeatPolicy, admit};
pub(crate) use claim_log::{ClaimLog, append};
pub(crate) use detached::run_detached;
pub(crate) use permit::RunPermit;
