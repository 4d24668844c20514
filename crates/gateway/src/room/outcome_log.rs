use comfreymast_decide::room::queue::Ahead;

use super::stream_need::StreamNeed;
use crate::dispatch::Dispatch;
use crate::metrics::WaitLabels;

const MS_PER_S: f64 = 1_000.0;

/// Logs and counts the start of a stream that waited.
pub(super) fn log_started(dispatch: &Dispatch, need: &StreamNeed, ahead: &Ahead, now_ms: u64) {
    let wait_ms = observe(dispatch, need, "started", now_ms);
    log::info!(target: "comfreymast", code = 1420, request = &*need.id,
        priority = need.request.priority, size = size(need), wait_ms,
        need_tokens = need.request.need_tokens, ahead = ahead.count, ahead_tokens = ahead.tokens;
        "stream starts after a wait");
}

/// Logs and counts the rejection of a stream.
pub(super) fn log_rejected(
    dispatch: &Dispatch,
    need: &StreamNeed,
    ahead: &Ahead,
    now_ms: u64,
    retry_after_ms: u64,
) {
    let wait_ms = observe(dispatch, need, "rejected", now_ms);
    log::info!(target: "comfreymast", code = 1421, request = &*need.id,
        priority = need.request.priority, size = size(need), wait_ms,
        need_tokens = need.request.need_tokens, ahead = ahead.count, ahead_tokens = ahead.tokens,
        retry_after_ms; "stream rejected for lack of room");
}

fn observe(dispatch: &Dispatch, need: &StreamNeed, outcome: &'static str, now_ms: u64) -> u64 {
    let wait_ms = now_ms.saturating_sub(need.request.arrived_ms);
    let labels = WaitLabels { priority: need.request.priority.into(), size: size(need), outcome };
    let metric = dispatch.metrics.class_wait_s.get_or_create(&labels);
    metric.observe(wait_ms as f64 / MS_PER_S);
    wait_ms
}

fn size(need: &StreamNeed) -> &'static str {
    if need.request.is_small() { "small" } else { "large" }
}
