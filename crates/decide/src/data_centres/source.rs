/// Subtracted from the time within which requests may reach an evacuated data centre: for the way of the news
/// to this daemon, which the platform's bound includes, and for a request under way.
const RETURN_MARGIN_MS: u64 = 1_500;

/// True if a generation that was stopped for a move may go on at its engine, in a data centre whose evacuation
/// this daemon has known for `known_for_ms`; `None` if it may have begun any time before. `bound_ms` is the
/// platform's bound; without one, no generation goes back.
#[must_use]
pub fn may_continue_at_source(known_for_ms: Option<u64>, bound_ms: Option<u64>) -> bool {
    let (Some(known_for_ms), Some(bound_ms)) = (known_for_ms, bound_ms) else { return false };
    known_for_ms < bound_ms.saturating_sub(RETURN_MARGIN_MS)
}
