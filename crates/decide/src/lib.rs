//! Pure decisions. Each takes the time and the facts and returns what to do; none does I/O.
//!
//! * [`currency`] — whether a daemon may serve on the contracts it holds.
//! * [`limits`] — how much of an organisation's limits this daemon may use.
//! * [`links`] — which peers a daemon keeps a link to.
//! * [`list_guard`] — whether to believe a VM list that lost most VMs.
//! * [`membership`] — which daemons live, from their heartbeats.
//! * [`quarantine`] — which request kills the engines that run it.
//! * [`retry`] — whether a request is tried again, and when a caller should come back.
//! * [`routing`] — which upstream gets a request.

pub mod currency;
pub mod limits;
pub mod links;
pub mod list_guard;
pub mod membership;
pub mod quarantine;
pub mod retry;
pub mod routing;
