//! Finds requests that crash the engines that run them, among those that merely shared an engine.
//!
//! A death is an engine that stopped unexpectedly. Four criteria identify the culprit:
//!
//! * It is running at every death that it causes, so no request that shared a death with it has
//!   been in more deaths.
//! * It makes no progress from one death to the next, while other requests do after being resumed,
//!   and it never runs to its end.
//! * A request that has run to its end is no culprit, or was none yet. Deaths of engines that ran
//!   before that therefore count only once an engine that started later dies under it too.
//! * It is the only cause: if other engines die at the same time without running it, one more death
//!   is required.
//!
//! The main types:
//!
//! * [`SuspicionTable`] — recent deaths; [`SuspicionTable::find_culprits`] evaluates them.
//! * [`QuarantineOptions`] — the thresholds, which differ between front ends.
//! * [`DeathReport`] — one request that was running at one death.
//! * [`QuarantineStatus`] — whether a new request may run.
//! * [`RecentSuccesses`] — requests that have just run to their end.
//! * [`SuccessEffect`] — what a success changed for a suspected request.

mod options;
mod recent;
mod report;
mod status;
mod success;
mod table;

pub use options::QuarantineOptions;
pub use recent::RecentSuccesses;
pub use report::{DeathReport, Fingerprint};
pub use status::QuarantineStatus;
pub use success::SuccessEffect;
pub use table::SuspicionTable;
