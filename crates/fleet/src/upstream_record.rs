use std::net::SocketAddr;

use comfreymast_base::{DataCentre, Service, Upstream};

/// What one upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its name; kept over a restart.
    pub name: Upstream,
    /// The service it belongs to.
    pub service: Service,
    /// Where it listens. Another upstream may get this address later.
    pub addr: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// How many requests it runs at once.
    pub slots: u32,
    /// True when it is about to go and wants no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub cold_ms: u64,
    /// When it started, in Unix milliseconds; a later start knows nothing of an earlier one.
    pub started_unix_ms: Option<u64>,
}
