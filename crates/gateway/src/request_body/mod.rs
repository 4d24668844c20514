//! Bodies of callers' requests, and the connections on which they arrive.
//!
//! * [`CallBody`] — the body of a call, until it cannot be sent again.
//! * [`read_body`] — reads one within the budget of this daemon.
//! * [`caller_connections`], [`peer_connections`] — how many connections each server may have open.

mod call_body;
mod connection_limits;
mod reader;

pub(crate) use call_body::CallBody;
pub(crate) use connection_limits::{caller_connections, peer_connections, watch_connections};
pub(crate) use reader::{BodyRead, read_body};
