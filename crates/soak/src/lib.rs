//! A randomized soak test: runs real daemons as processes, injects faults drawn from a seed from
//! outside, and checks what callers and upstreams observe meanwhile.
//!
//! Nothing here is shipped.
//!
//! * [`soak`] — runs one seed and reports violations.
//! * [`SoakOptions`] — duration, size and seed.
//! * [`SoakReport`], [`Violation`] — the result.
//! * [`SoakError`] — why the soak could not run.
//! * [`run_crashes`] — sends requests that crash their upstreams, and counts how often they run.
//! * [`CrashOptions`], [`CrashReport`], [`CulpritReport`] — its size and result.
//! * [`run_bad_parts`] — sends requests of which no two are alike, with a part that crashes upstreams.
//! * [`BadPartOptions`], [`BadPartReport`], [`PartReport`], [`SoundCalls`] — its size and result.
//! * [`run_limits`] — lets upstreams name limits, and counts what they get.
//! * [`LimitOptions`], [`LimitReport`] — its size and result.
//! * [`run_versions`] — streams on engines of several software versions.
//! * [`VersionOptions`], [`VersionReport`] — its size and result.
//! * [`run_cut_heads`], [`CutHeadReport`] — answers whose heads break off.
//! * [`run_planned_stop`], [`PlannedStopReport`] — requests that come late while a daemon stops.
//! * [`Kind`] — the kind of a request.

mod call;
mod caller;
mod checks;
mod crash;
mod cut_heads;
mod daemon;
mod fault;
mod fault_window;
mod injector;
mod limits;
mod options;
mod planned_stop;
mod recorder;
mod run;
mod site;
mod timing;
mod versions;

pub use call::Kind;
pub use checks::Violation;
pub use crash::{
    BadPartOptions, BadPartReport, CrashOptions, CrashReport, CulpritReport, PartReport,
    SoundCalls, run_bad_parts, run_crashes,
};
pub use cut_heads::{CutHeadReport, run_cut_heads};
pub use limits::{LimitOptions, LimitReport, run_limits};
pub use options::SoakOptions;
pub use planned_stop::{PlannedStopReport, run_planned_stop};
pub use run::{SoakError, SoakReport, soak};
pub use versions::{VersionOptions, VersionReport, run_versions};
