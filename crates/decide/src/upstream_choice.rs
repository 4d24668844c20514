//! Chooses the upstream of a plain service for a request.
//!
//! Load pattern: many short calls to upstreams, one of which may be slow, fail some of its requests
//! while it reports to be healthy, or disappear without notice.

/// The state of one upstream as known to this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamView {
    /// Outstanding requests of this daemon.
    pub outstanding: u32,
    /// True when it is in this daemon's data centre.
    pub is_near: bool,
    /// The share of recent requests that failed on it, 0 to 1.
    pub failure_rate: f64,
    /// Its usual latency; 0 while unknown.
    pub latency_ms: f64,
    /// True for a short time after it was unreachable.
    pub is_suspect: bool,
}

const FAR_COST: f64 = 0.4;
const FAILURE_COST: f64 = 6.0;
const SUSPECT_COST: f64 = 1_000.0;
const MIN_LATENCY_MS: f64 = 1.0;

/// The index of the upstream with the lowest expected cost; `None` without upstreams.
#[must_use]
pub fn choose_upstream(upstreams: &[UpstreamView], noise: impl Fn(usize) -> f64) -> Option<usize> {
    let known = upstreams.iter().map(|upstream| upstream.latency_ms).filter(|ms| *ms > 0.0);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    let usual_ms = if count > 0.0 { (sum / count).max(MIN_LATENCY_MS) } else { MIN_LATENCY_MS };
    let costs = upstreams.iter().enumerate();
    let costs = costs.map(|(index, upstream)| (index, cost(upstream, usual_ms) + noise(index)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}

fn cost(upstream: &UpstreamView, usual_ms: f64) -> f64 {
    let is_known = upstream.latency_ms > 0.0;
    let slowness = if is_known { upstream.latency_ms.max(MIN_LATENCY_MS) / usual_ms } else { 1.0 };
    let queue = f64::from(upstream.outstanding + 1) * slowness;
    let far = if upstream.is_near { 0.0 } else { FAR_COST };
    let suspect = if upstream.is_suspect { SUSPECT_COST } else { 0.0 };
    queue + far + upstream.failure_rate * FAILURE_COST + suspect
}
