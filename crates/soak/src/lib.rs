//! A soak: real daemons as processes, faults from outside drawn from a seed, and checks of what
//! callers and upstreams see while they run.
//!
//! Nothing here is shipped.
//!
//! * [`soak`] — plays one seed and reports what broke.
//! * [`SoakOptions`] — how long, how large, with which seed.
//! * [`SoakReport`], [`Violation`] — what came of it.
//! * [`SoakError`] — why it could not be played.

mod call;
mod caller;
mod checks;
mod daemon;
mod disturbance;
mod fault;
mod options;
mod player;
mod record;
mod run;
mod site;
mod timing;

pub use checks::Violation;
pub use options::SoakOptions;
pub use run::{SoakError, SoakReport, soak};
