//! Rejects streams that would start too late, and tells their callers when to come back.
//!
//! Load pattern: a burst of more work than fits before the deadlines of its callers, who retry once.

use super::order::RoomRequest;

/// The part of the target latency that a stream may always wait.
pub const MIN_WAIT_SHARE: f64 = 0.6;
/// Callers come back after at most this part of the time they have left.
const RETRY_DIVISOR: u64 = 3;
/// The shortest time after which a caller is told to come back.
const MIN_RETRY_MS: u64 = 100;
/// The wait that is assumed while nothing is known.
const UNKNOWN_WAIT_MS: u64 = 700;
/// The least part of the expected wait after which a caller is told to come back. Callers rejected together
/// come back spread between this part and the whole.
const LEAST_RETRY_SHARE: f64 = 0.6;
/// A stream that has waited is rejected if the forecast exceeds the time left by this factor, since forecasts
/// vary.
const WAITED_TOLERANCE: u64 = 2;

/// Whether a stream goes on waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits.
    Wait,
    /// It is rejected; its caller may come back after this time.
    TurnAway {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
}

/// The latest start with which a stream is of use: it ends before its caller gives up. Expected work is
/// often far off, so a part of the target latency is always allowed.
#[must_use]
pub fn latest_start_ms(request: &RoomRequest) -> u64 {
    let min_wait_ms = (request.target_latency_ms as f64 * MIN_WAIT_SHARE) as u64;
    let ends_in_time_ms = request.timeout_at_ms.saturating_sub(request.work_ms());
    ends_in_time_ms.max(request.arrived_ms + min_wait_ms).min(request.timeout_at_ms)
}

/// Whether a stream that has no room waits for it. `wait_ms` is the forecast, `None` while nothing is known;
/// `is_new` is true when the stream has just arrived; `spread` is a random number from 0 to 1.
#[must_use]
pub fn judge(
    request: &RoomRequest,
    wait_ms: Option<u64>,
    is_new: bool,
    now_ms: u64,
    spread: f64,
) -> Verdict {
    let left_ms = latest_start_ms(request).saturating_sub(now_ms);
    let tolerance = if is_new { 1 } else { WAITED_TOLERANCE };
    let is_too_late = wait_ms.is_some_and(|wait_ms| wait_ms > left_ms * tolerance);
    if left_ms > 0 && !is_too_late {
        return Verdict::Wait;
    }
    Verdict::TurnAway { retry_after_ms: retry_after_ms(request, wait_ms, now_ms, spread) }
}

/// When the caller of a stream that is rejected without a forecast comes back.
#[must_use]
pub fn unknown_retry_ms(request: &RoomRequest, now_ms: u64) -> u64 {
    let longest_ms = request.timeout_at_ms.saturating_sub(now_ms) / RETRY_DIVISOR;
    UNKNOWN_WAIT_MS.min(longest_ms).max(MIN_RETRY_MS)
}

/// When the caller of a rejected stream comes back: when room is expected, as far as it waits that long.
fn retry_after_ms(request: &RoomRequest, wait_ms: Option<u64>, now_ms: u64, spread: f64) -> u64 {
    let longest_ms = request.timeout_at_ms.saturating_sub(now_ms) / RETRY_DIVISOR;
    let wait_ms =
        wait_ms.unwrap_or(UNKNOWN_WAIT_MS).clamp(MIN_RETRY_MS, longest_ms.max(MIN_RETRY_MS));
    let share = LEAST_RETRY_SHARE + (1.0 - LEAST_RETRY_SHARE) * spread;
    ((wait_ms as f64 * share) as u64).max(MIN_RETRY_MS)
}
