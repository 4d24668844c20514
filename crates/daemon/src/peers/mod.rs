//! Links to the other daemons.
//!
//! Each daemon connects to every peer. It only writes to the connections that it opened and only
//! reads from those that it accepted, so an answer is sent on the answering daemon's own link.

mod catch_up;
mod inbound;
mod links;
mod proof;
mod state;

pub(crate) use catch_up::catch_up;
pub(crate) use inbound::accept;
pub(crate) use links::{keep_links, send_heartbeats};
pub(crate) use state::Peers;
