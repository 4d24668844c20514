//! Which peer a daemon that is behind on a topic fetches it from.
//!
//! All daemons of a data centre find at the same moment that they are behind the one that reads the store.
//! Each daemon that has caught up is a source for the others, and serves few at a time, so a change spreads
//! like a rumour; none of them has to send it to all.
//!
//! Load pattern: a change too long for a datagram, beside callers, on VMs with slow links.

use comfreymast_base::StorePosition;

/// The peer to ask, as an index into `positions`, each of which is how far one peer is: one of the furthest,
/// if they are further than `known`. Of equal ones, that with the highest `tie_break` of its index.
#[must_use]
pub fn choose_source(
    positions: &[StorePosition],
    known: StorePosition,
    tie_break: impl Fn(usize) -> u32,
) -> Option<usize> {
    let ahead = positions.iter().enumerate().filter(|(_, position)| **position > known);
    ahead.max_by_key(|(index, position)| (**position, tie_break(*index))).map(|(index, _)| index)
}
