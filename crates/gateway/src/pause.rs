//! Upstreams that turned a request away and said when to come back.

use std::sync::Arc;

use crate::upstream_state::UpstreamState;

/// The time until the first of `candidates` takes requests again, if none does now. `None` if one
/// does, or without candidates.
pub(crate) fn shortest_pause_ms<'a>(
    candidates: impl Iterator<Item = &'a Arc<UpstreamState>>,
    now_ms: u64,
) -> Option<u64> {
    let shortest_ms = candidates.map(|upstream| upstream.pause_left_ms(now_ms)).min();
    shortest_ms.filter(|pause_ms| *pause_ms > 0)
}
