use std::sync::Arc;

use comfreymast_base::Service;

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

const MS_PER_S: f64 = 1_000.0;

/// Keeps those of `candidates` that are warm, or at which this daemon has a turn now.
pub(crate) fn retain_with_turns(dispatch: &Dispatch, candidates: &mut Vec<&Arc<UpstreamState>>) {
    let now_ms = dispatch.clock.now_ms();
    let Some(cold) = candidates.iter().find(|upstream| upstream.cold_ms(now_ms) > 0) else {
        return;
    };
    // All candidates are of one service.
    let service = &cold.record.service;
    let Some(per_s) = dispatch.cold.rate_per_s(dispatch, service) else { return };
    candidates.retain(|upstream| {
        let is_kept = upstream.cold_ms(now_ms) == 0 || upstream.cold.has_turn(per_s, now_ms);
        if !is_kept {
            dispatch.metrics.cold_skips.inc();
        }
        is_kept
    });
}

/// The time until the first upstream of `service` is warm, or this daemon has a turn at one of those that are
/// cold. `None` if one is warm, or without any.
pub(crate) fn wait_ms(dispatch: &Dispatch, service: &Service) -> Option<u64> {
    let now_ms = dispatch.clock.now_ms();
    let upstreams = dispatch.directory.load();
    let live = upstreams.of_service(service).iter().filter(|upstream| !upstream.is_leaving());
    let left_ms: Vec<_> = live.map(|upstream| upstream.cold_ms(now_ms)).collect();
    let warm_ms = left_ms.iter().copied().min().filter(|left_ms| *left_ms > 0)?;
    let per_s = dispatch.cold.rate_per_s(dispatch, service)? * left_ms.len() as f64;
    Some(warm_ms.min((MS_PER_S / per_s.max(f64::MIN_POSITIVE)) as u64))
}

impl Dispatch {
    /// Takes this daemon's turn for a request to `upstream`. False if it is cold and there is none.
    pub(crate) fn take_turn(&self, upstream: &UpstreamState) -> bool {
        let Some((per_s, now_ms)) = self.cold_rate(upstream) else { return true };
        let is_taken = upstream.cold.take_turn(per_s, now_ms);
        if is_taken {
            self.metrics.cold_sends.inc();
        }
        is_taken
    }

    /// Counts a request to `upstream` that is sent whether there is a turn or not.
    pub(crate) fn owe_turn(&self, upstream: &UpstreamState) {
        if let Some((per_s, now_ms)) = self.cold_rate(upstream) {
            upstream.cold.owe_turn(per_s, now_ms);
            self.metrics.cold_sends.inc();
        }
    }

    fn cold_rate(&self, upstream: &UpstreamState) -> Option<(f64, u64)> {
        let now_ms = self.clock.now_ms();
        if upstream.cold_ms(now_ms) == 0 {
            return None;
        }
        Some((self.cold.rate_per_s(self, &upstream.record.service)?, now_ms))
    }
}
