//! Keeps the requests to a cold upstream within the rate that it tolerates from all daemons together.
//!
//! Each daemon has a share of the rate, and no message precedes a send. A small part of the rate is divided
//! equally among all daemons that are or were lately known. The rest goes to the daemons that are in contact
//! with each other, by their requests to the service, and only for the part of the fleet that they are: two
//! halves of a partitioned fleet have half of the rate each. A daemon counts the fewest requests that it has
//! told others of itself while they may not have heard of more, and the latest that it heard of them, so that the
//! shares add up to no more than the whole.
//!
//! A share is used in turns at equal intervals that begin at a random moment and lapse soon, so that daemons which
//! find an upstream cold at the same moment do not all send at once.
//!
//! Load pattern: an upstream starts, or its caches are lost, while many daemons have far more requests for its
//! service than it can take until it is warm.
//!
//! ```
//! use comfreymast_decide::cold_rate::{ColdBound, FleetView, own_rate_per_s};
//!
//! let bound = ColdBound { per_s: 26.0, over: 1.5, slack: 5.0 };
//! let alone = FleetView { daemons: 1, heard: 1, own: 10, others: 0, may_borrow: true };
//! assert!(own_rate_per_s(&bound, &alone) > 0.8 * bound.per_s);
//! ```

mod cold_until;
mod known_daemons;
mod share;
mod told_requests;
mod turns;

pub use cold_until::ColdUntil;
pub use known_daemons::{KnownDaemons, MAX_DAEMONS, Membership};
pub use share::{ColdBound, FleetView, own_rate_per_s};
pub use told_requests::ToldRequests;
pub use turns::Turns;
