//! Limits of an organisation across daemons.
//!
//! A contract's concurrent requests are slots. The daemon that rendezvous hashing names owns an
//! organisation's slots and leases them to the daemons that want them; the rates of the contract
//! are spread evenly over the slots. Nothing here is kept: owners rebuild their state from what
//! holders report.
//!
//! * [`LimitOptions`] — how long a lease lasts, and how much is kept aside.
//! * [`owner_of`] — which daemon owns an organisation's slots.
//! * [`Grants`] — the owner's side: who holds how much.
//! * [`Share`] — the holder's side: how much may be used here and now.
//! * [`RateMeter`] — requests or tokens a second against a rate, lock-free.
//! * [`Demand`] — how many were asked for lately.

mod demand;
mod grants;
mod options;
mod owner;
mod rate_meter;
mod share;

pub use demand::Demand;
pub use grants::{Grants, Report};
pub use options::LimitOptions;
pub use owner::owner_of;
pub use rate_meter::{Rate, RateMeter};
pub use share::{Grant, Share, Waiting};
