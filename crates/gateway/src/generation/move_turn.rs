use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::upstream_state::UpstreamState;

/// The right to copy a generation off an engine in an evacuated data centre, which one generation of this daemon
/// has at a time. Released when dropped.
pub(super) struct MoveTurn(Arc<UpstreamState>);

impl MoveTurn {
    /// Takes the turn of `engine`, if no other generation has it.
    pub(super) fn take(engine: &Arc<UpstreamState>) -> Option<Self> {
        let was_taken = engine.is_move_turn_taken.swap(true, Ordering::AcqRel);
        (!was_taken).then(|| Self(engine.clone()))
    }
}

impl Drop for MoveTurn {
    fn drop(&mut self) {
        self.0.is_move_turn_taken.store(false, Ordering::Release);
    }
}
