//! Which upstream of a plain service gets a request.
//!
//! Load pattern: many short calls, upstreams of which one may be slow, fail part of its requests
//! while it reports good health, or be gone without notice.

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamView {
    /// This daemon's requests on it.
    pub outstanding: u32,
    /// True when it is in the data centre of the asking daemon.
    pub is_near: bool,
    /// The share of recent requests that failed on it, 0 to 1.
    pub failure_rate: f64,
    /// The usual time of its answers.
    pub latency_ms: f64,
    /// True for a short time after it could not be reached.
    pub is_suspect: bool,
}

const FAR_COST: f64 = 0.4;
const FAILURE_COST: f64 = 6.0;
const SUSPECT_COST: f64 = 1_000.0;
const LEAST_LATENCY_MS: f64 = 1.0;

/// The index of the upstream with the least expected cost; `None` without upstreams.
#[must_use]
pub fn choose_upstream(upstreams: &[UpstreamView], noise: impl Fn(usize) -> f64) -> Option<usize> {
    let known = upstreams.iter().map(|upstream| upstream.latency_ms).filter(|ms| *ms > 0.0);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    let usual_ms = if count > 0.0 { (sum / count).max(LEAST_LATENCY_MS) } else { LEAST_LATENCY_MS };
    let costs = upstreams.iter().enumerate();
    let costs = costs.map(|(index, upstream)| (index, cost(upstream, usual_ms) + noise(index)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}

fn cost(upstream: &UpstreamView, usual_ms: f64) -> f64 {
    let slowness = if upstream.latency_ms > 0.0 { upstream.latency_ms / usual_ms } else { 1.0 };
    let queue = f64::from(upstream.outstanding + 1) * slowness;
    let far = if upstream.is_near { 0.0 } else { FAR_COST };
    let suspect = if upstream.is_suspect { SUSPECT_COST } else { 0.0 };
    queue + far + upstream.failure_rate * FAILURE_COST + suspect
}
