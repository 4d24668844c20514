//! Checks of a configuration before it is deployed; pure.
//!
//! What a daemon would reject or misread is decided by the code with which daemons decode and look up
//! (`comfreymast_platform::decode_configuration`, `comfreymast_fleet::RouteTable`); the document itself is read only
//! for what decoding drops, and for locations.
//!
//! * [`check`] — the findings of one document.
//! * [`differences`] — what changes from the version in force.
//! * [`Surroundings`] — what is known of VMs, regions and upstreams.

mod checks;
mod difference;
mod document;
mod finding;
mod line_index;
mod surroundings;

pub use checks::check;
pub use difference::{Difference, differences};
pub use finding::{Finding, Severity};
pub use surroundings::{RegisteredUpstream, Surroundings};
