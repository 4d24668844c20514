//! Which data centres may get work: evacuations that operators begin and end, the gradual return after them,
//! and the regions that a request is limited to.
//!
//! * [`Evacuations`] — the evacuated data centres, and those to which traffic returns.
//! * [`RegionNeed`] — the regions whose upstreams may get a request.
//! * [`may_continue_at_source`] — whether a stopped generation may go on where it ran.
//!
//! Load pattern: a few of up to 27 data centres are evacuated at once under full load and come back together;
//! daemons hear of it at different moments, in any order, or from each other only.

mod evacuations;
mod regions;
mod source;

pub use evacuations::{Evacuations, ReturnOptions};
pub use regions::RegionNeed;
pub use source::may_continue_at_source;
