//! Which connection is closed when a daemon has as many as its descriptors allow.
//!
//! Load pattern: callers open many connections and send nothing, no whole head or no whole body, while an
//! ordinary caller opens one more.

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// No request has begun on it, or all have been answered.
    Idle,
    /// A request has begun, and its body is not whole.
    Incomplete,
    /// A whole request is being served, or its answer read.
    Serving,
}

/// A connection, as this choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionView {
    /// What it does.
    pub usage: ConnectionUse,
    /// Since when.
    pub since_ms: u64,
}

/// The position of the connection to close: the one that has been idle or without a whole request for longest.
/// `None` if all are serving.
#[must_use]
pub fn choose_connection(views: impl Iterator<Item = ConnectionView>) -> Option<usize> {
    let closable = views.enumerate().filter(|(_, view)| view.usage != ConnectionUse::Serving);
    closable.min_by_key(|(_, view)| view.since_ms).map(|(position, _)| position)
}
