//! Finds requests that crash the engines that run them, among those that merely shared an engine, and
//! parts of prompts that crash each engine that begins to write an answer on them.
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
//! Parts are judged like requests. A part is in more deaths than any other once two different requests
//! with it were running; each engine that begins to answer another request with it and lives on clears
//! it. If several parts of one request share all deaths, requests with all of them are quarantined.
//! What a culprit explains counts for nothing else any more.
//!
//! The main types:
//!
//! * [`SuspicionTable`] — recent deaths; [`SuspicionTable::find_culprits`] evaluates them.
//! * [`QuarantineOptions`] — the thresholds, which differ between front ends.
//! * [`DeathReport`] — one request that was running at one death.
//! * [`RequestContent`] — the request and its parts; [`part_fingerprint`] identifies a part.
//! * [`QuarantineStatus`] — whether a new request may run.
//! * [`RecentSuccesses`] — requests that have just run to their end.
//! * [`SuccessEffect`] — what a success changed for a suspected request.

mod content;
mod death;
mod options;
mod recent;
mod report;
mod status;
mod subject;
mod success;
mod suspect;
mod table;
mod verdict;

pub use content::RequestContent;
pub use options::{QuarantineOptions, SubjectLimits};
pub use recent::RecentSuccesses;
pub use report::{DeathReport, Fingerprint};
pub use status::QuarantineStatus;
pub use subject::{SubjectKind, part_fingerprint, part_id, quarantine_key};
pub use success::SuccessEffect;
pub use table::SuspicionTable;
