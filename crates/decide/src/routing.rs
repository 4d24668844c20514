//! Which upstream gets a request.

/// One upstream that could take the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Requests this daemon has on it.
    pub outstanding: u32,
    /// Requests it reported last, those of other daemons included.
    pub reported: u32,
    /// True when it is in this daemon's data centre.
    pub is_near: bool,
}

/// The index of the candidate with the least work; the nearer one among equals.
///
/// ```
/// use comfreymast_decide::routing::{Candidate, least_outstanding};
/// let busy = Candidate { outstanding: 3, reported: 0, is_near: true };
/// let idle = Candidate { outstanding: 0, reported: 1, is_near: false };
/// assert_eq!(least_outstanding(&[busy, idle]), Some(1));
/// ```
#[must_use]
pub fn least_outstanding(candidates: &[Candidate]) -> Option<usize> {
    let cost =
        |candidate: &Candidate| (candidate.outstanding.max(candidate.reported), !candidate.is_near);
    let indexed = candidates.iter().enumerate();
    Some(indexed.min_by_key(|(_, candidate)| cost(candidate))?.0)
}
