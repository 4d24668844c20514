//! Limits of an organisation across daemons.
//!
//! A slot is one of a contract's concurrent requests. Rendezvous hashing selects the daemon that
//! owns an organisation's slots and leases them to the daemons that need them (the holders). The
//! rates of the contract are spread evenly over the slots. Nothing is stored: a new owner rebuilds
//! its state from the reports of the holders.
//!
//! * [`LimitOptions`] — the duration of a lease and the slots that need none.
//! * [`owner_of`] — which daemon owns an organisation's slots.
//! * [`Grants`] — the owner's side: which daemon holds how many slots.
//! * [`Share`] — the holder's side: how many slots this daemon may use now.
//! * [`RateMeter`] — meters requests or tokens against a rate, lock-free.
//! * [`Demand`] — measures the recent demand.

mod demand;
mod grants;
mod options;
mod owner;
mod rate_meter;
mod share;

pub use demand::Demand;
pub use grants::{Grants, HolderReport};
pub use options::LimitOptions;
pub use owner::owner_of;
pub use rate_meter::{Rate, RateMeter};
pub use share::{Grant, Share, WaitGuard};
