//! Calls that another daemon sends to upstreams, since the one that accepted them has lost its links to
//! these.
//!
//! * [`forward`] — has a peer serve a call.
//! * [`ask`] — has a peer go on with a call, and returns its answer.
//! * [`answer_forwarded`] — serves a call for a peer.
//! * [`ForwardPools`] — idle connections to peers.
//!
//! A call is forwarded once at most: a peer that reaches no upstream either says so, and another one is
//! asked.

mod inbound;
mod message;
mod outbound;
mod pools;

pub(crate) use inbound::answer_forwarded;
pub(crate) use message::Outgoing;
pub(crate) use outbound::{ask, forward};
pub(crate) use pools::ForwardPools;

/// Where a peer takes forwarded calls.
pub(crate) const FORWARD_PATH: &str = "/peer/forward";
/// Where a peer takes calls that are limited to regions. A daemon of an earlier release, which would send them to
/// upstreams of any region, does not know it and takes none.
pub(crate) const LIMITED_FORWARD_PATH: &str = "/peer/forward-limited";
/// The header of a peer's answer that says whether it took the call. An answer without it is not one to a
/// forwarded call.
const TAKEN_HEADER: &str = "comfreymast-taken";
const TAKEN: &str = "1";
