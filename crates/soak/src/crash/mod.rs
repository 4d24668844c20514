//! Requests that crash the upstreams that run them, sent again and again through real daemons: equal
//! ones, or such of which no two are alike but that share a part of their prompts.

mod bad_part_options;
mod bad_part_report;
mod bad_part_run;
mod options;
mod part_caller;
mod repeated_request;
mod report;
mod run;
mod upstream_crashes;

pub use bad_part_options::BadPartOptions;
pub use bad_part_report::{BadPartReport, PartReport, SoundCalls};
pub use bad_part_run::run_bad_parts;
pub use options::CrashOptions;
pub use report::{CrashReport, CulpritReport};
pub use run::run_crashes;
