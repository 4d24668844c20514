use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use comfreymast_base::{Clock, Service, Upstream};
use comfreymast_fleet::UpstreamRecord;

use crate::upstream_state::UpstreamState;

/// All upstreams that are alive, for readers on a request's path.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    by_name: HashMap<Upstream, Arc<UpstreamState>>,
    by_service: HashMap<Service, Vec<Arc<UpstreamState>>>,
}

impl Upstreams {
    /// The upstreams of a service.
    pub(crate) fn of_service(&self, service: &Service) -> &[Arc<UpstreamState>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All upstreams.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        self.by_name.values()
    }

    fn new(by_name: HashMap<Upstream, Arc<UpstreamState>>) -> Self {
        let mut by_service: HashMap<Service, Vec<_>> = HashMap::new();
        for state in by_name.values() {
            by_service.entry(state.record.service.clone()).or_default().push(state.clone());
        }
        for states in by_service.values_mut() {
            states.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        }
        Self { by_name, by_service }
    }
}

/// The upstreams, replaced whole with each change.
#[derive(Debug)]
pub(crate) struct Directory {
    clock: Clock,
    upstreams: ArcSwap<Upstreams>,
    writing: Mutex<()>,
}

impl Directory {
    /// A directory without upstreams.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, upstreams: ArcSwap::default(), writing: Mutex::new(()) }
    }

    /// The upstreams now.
    pub(crate) fn load(&self) -> arc_swap::Guard<Arc<Upstreams>> {
        self.upstreams.load()
    }

    /// Takes in what an upstream says of itself.
    pub(crate) fn insert(&self, record: UpstreamRecord) {
        self.change(|by_name, now_ms| {
            let name = record.name.clone();
            match by_name.get(&name) {
                Some(known) if is_same_start(&known.record, &record) => {
                    if record.is_leaving {
                        leave(known, now_ms, "notice");
                    }
                }
                known => {
                    if let Some(known) = known {
                        leave(known, now_ms, "restarted");
                    }
                    let state = Arc::new(UpstreamState::new(record, now_ms));
                    log::info!(target: "comfreymast", code = 1301, upstream = name.as_str(),
                        service = state.record.service.as_str(), addr:% = state.record.addr,
                        leaving = state.record.is_leaving; "upstream joined");
                    if state.record.is_leaving {
                        state.mark_leaving(now_ms);
                    }
                    by_name.insert(name, state);
                }
            }
        });
    }

    /// Takes out an upstream whose entry is gone. It may serve on for a while, so what runs there
    /// moves away as after a notice.
    pub(crate) fn remove(&self, name: &str) {
        self.change(|by_name, now_ms| {
            if let Some(state) = by_name.remove(name) {
                leave(&state, now_ms, "entry gone");
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut HashMap<Upstream, Arc<UpstreamState>>, u64)) {
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let mut by_name = self.upstreams.load().by_name.clone();
        change(&mut by_name, self.clock.now_ms());
        self.upstreams.store(Arc::new(Upstreams::new(by_name)));
    }
}

/// True when both entries are of one start of an upstream at one place.
fn is_same_start(known: &UpstreamRecord, record: &UpstreamRecord) -> bool {
    known.addr == record.addr
        && known.service == record.service
        && known.started_unix_ms == record.started_unix_ms
        && (record.is_leaving || !known.is_leaving)
}

fn leave(state: &UpstreamState, now_ms: u64, reason: &str) {
    if state.mark_leaving(now_ms) {
        state.pool.clear();
        log::info!(target: "comfreymast", code = 1302, upstream = state.record.name.as_str(),
            reason; "upstream leaves");
    }
}
