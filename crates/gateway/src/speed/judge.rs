use std::sync::Arc;

use comfreymast_decide::speed::{SpeedReport, relative_slowness};

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// Compares the engines of each service, from what this daemon and its peers have observed. Called
/// with each heartbeat, so that no request waits for it.
pub(crate) fn update_speeds(dispatch: &Dispatch) {
    let now_ms = dispatch.clock.now_ms();
    let directory = dispatch.directory.load();
    let mut slow_upstreams = 0;
    for upstreams in directory.by_services() {
        judge_service(dispatch, upstreams, now_ms);
        slow_upstreams += upstreams.iter().filter(|upstream| upstream.speed.is_slow()).count();
    }
    dispatch.metrics.slow_upstreams.set(i64::try_from(slow_upstreams).unwrap_or(i64::MAX));
}

fn judge_service(dispatch: &Dispatch, upstreams: &[Arc<UpstreamState>], now_ms: u64) {
    let reports: Vec<_> =
        upstreams.iter().map(|upstream| upstream.speed.combined(now_ms)).collect();
    let aged = reports.iter().map(|report| report.map(|report| report.aged(now_ms)));
    let relative = relative_slowness(&aged.collect::<Vec<_>>());
    for ((upstream, report), relative) in upstreams.iter().zip(reports).zip(relative) {
        if let Some(is_slow) = upstream.speed.set_relative(relative) {
            log_change(dispatch, upstream, relative, report, is_slow);
        }
    }
}

fn log_change(
    dispatch: &Dispatch,
    upstream: &UpstreamState,
    relative: f64,
    report: Option<SpeedReport>,
    is_slow: bool,
) {
    let (name, service) = (upstream.record.name.as_str(), upstream.record.service.as_str());
    let slowness = report.map(|report| report.slowness);
    let age_ms = upstream.speed.age_ms(dispatch.clock.now_ms());
    if is_slow {
        dispatch.metrics.slow_judgements.inc();
        log::info!(target: "comfreymast", code = 1430, upstream = name, service, relative,
            slowness:?, age_ms:?; "upstream is slow");
    } else {
        log::info!(target: "comfreymast", code = 1431, upstream = name, service, relative,
            slowness:?, age_ms:?; "upstream has the usual speed again");
    }
}
