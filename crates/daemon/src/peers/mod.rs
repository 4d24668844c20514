//! Links to the other daemons.
//!
//! Each daemon dials every peer and only writes on the connections it dialled; it only reads on
//! those it accepted. An answer travels on the answering daemon's own link.

mod catch_up;
mod inbound;
mod links;
mod proof;
mod state;

pub(crate) use catch_up::catch_up;
pub(crate) use inbound::accept;
pub(crate) use links::{keep_links, send_heartbeats};
pub(crate) use state::Peers;
