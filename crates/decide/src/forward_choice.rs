//! Chooses the daemon that sends a call on for one that has lost its links to the upstreams.
//!
//! Load pattern: a few to most daemons of a small fleet, or a whole data centre of a large one, forward all
//! their calls to those that remain, on figures that are a heartbeat old.

/// A daemon that may take a call, as known to the one that forwards it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerView {
    /// The number of requests that it runs at upstreams.
    pub calls: u32,
    /// True when it is in the same data centre.
    pub is_near: bool,
}

/// How much dearer a call is in another data centre, since each of its bytes crosses twice.
const FAR_FACTOR: f64 = 2.0;
/// Spreads calls over daemons that look alike to all who forward.
const NOISE: f64 = 0.5;

/// The index of the daemon with the lowest cost; `None` without daemons. `random` is uniform from 0 to 1.
#[must_use]
pub fn choose_peer(peers: &[PeerView], random: impl Fn(usize) -> f64) -> Option<usize> {
    let costs = peers.iter().enumerate().map(|(index, peer)| {
        let far = if peer.is_near { 1.0 } else { FAR_FACTOR };
        (index, f64::from(peer.calls + 1) * far * (1.0 + NOISE * random(index)))
    });
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}
