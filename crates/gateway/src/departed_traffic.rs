use std::collections::BTreeMap;

use comfreymast_wire::news::{Heartbeat, ServiceTraffic};

/// What daemons have counted that are gone or were started again. It counts against the fleet's retry
/// budget for as long as it may be in the budget's window.
#[derive(Debug, Default)]
pub(crate) struct DepartedTraffic {
    /// By name and start of the daemon.
    by_start: BTreeMap<(String, u64), Departed>,
}

#[derive(Debug)]
struct Departed {
    services: Vec<ServiceTraffic>,
    last_heard_ms: u64,
}

impl DepartedTraffic {
    /// Keeps what a daemon told in its last heartbeat, which arrived at `last_heard_ms`.
    pub(crate) fn keep(&mut self, heartbeat: Heartbeat, last_heard_ms: u64) {
        let key = (heartbeat.daemon, heartbeat.started_unix_ms);
        let departed = Departed { services: heartbeat.services, last_heard_ms };
        self.by_start.insert(key, departed);
    }

    /// Drops what is kept of a daemon that is heard of again.
    pub(crate) fn remove(&mut self, heartbeat: &Heartbeat) {
        if !self.by_start.is_empty() {
            self.by_start.remove(&(heartbeat.daemon.clone(), heartbeat.started_unix_ms));
        }
    }

    /// Drops what is older than `window_ms`; true if there was any.
    pub(crate) fn expire(&mut self, now_ms: u64, window_ms: u64) -> bool {
        let before = self.by_start.len();
        self.by_start
            .retain(|_, departed| now_ms.saturating_sub(departed.last_heard_ms) < window_ms);
        self.by_start.len() < before
    }

    /// The counts of each daemon.
    pub(crate) fn services(&self) -> impl Iterator<Item = &[ServiceTraffic]> {
        self.by_start.values().map(|departed| &*departed.services)
    }
}
