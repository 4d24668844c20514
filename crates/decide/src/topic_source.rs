//! Which peer a daemon that is behind on a topic fetches it from.
//!
//! All daemons of a data centre find at the same moment that they are behind the one that reads the store.
//! Each daemon that has caught up is a source for the others, and serves few at a time, so a change spreads
//! like a rumour; none of them has to send it to all.
//!
//! Load pattern: a change too long for a datagram, beside callers, on VMs with slow links.

use comfreymast_base::StorePosition;

/// A peer that may have the topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceView {
    /// How far it is, as far as is known.
    pub position: StorePosition,
    /// True if it said so itself. Otherwise this is how far some daemon of its data centre is.
    pub is_own_word: bool,
}

/// The peer to ask, as an index into `sources`: one of the furthest, if they are further than `known`,
/// preferably by their own word. Of equal ones, that with the highest `tie_break` of its index.
#[must_use]
pub fn choose_source(
    sources: &[SourceView],
    known: StorePosition,
    tie_break: impl Fn(usize) -> u32,
) -> Option<usize> {
    let ahead = sources.iter().enumerate().filter(|(_, source)| source.position > known);
    let best = ahead
        .max_by_key(|(index, source)| (source.position, source.is_own_word, tie_break(*index)));
    best.map(|(index, _)| index)
}
