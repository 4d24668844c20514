use std::net::SocketAddr;

use comfreymast_base::{DataCentre, Service, SoftwareVersion, Upstream};

/// What one upstream reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its name; survives a restart.
    pub name: Upstream,
    /// The service it belongs to.
    pub service: Service,
    /// The address it listens on. It may later be reused by another upstream.
    pub addr: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Maximum requests it runs concurrently.
    pub slots: u32,
    /// True when it is shutting down and accepts no new work.
    pub is_leaving: bool,
    /// Remaining time of its warm-up, during which it is slow.
    pub cold_ms: u64,
    /// The version of its software; `None` if it states none. What two versions write of one answer
    /// does not fit together.
    pub version: Option<SoftwareVersion>,
    /// When it started, in Unix milliseconds; no state survives from an earlier start.
    pub started_unix_ms: Option<u64>,
}
