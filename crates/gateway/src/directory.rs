use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use comfreymast_base::{Clock, Service, SoftwareVersion, Upstream};
use comfreymast_decide::version_history::{ServiceVersion, ServiceVersions};
use comfreymast_fleet::UpstreamRecord;

use crate::brittleness::Brittleness;
use crate::room::RoomSignal;
use crate::service_links::ServiceLinks;
use crate::upstream_state::UpstreamState;

/// All live upstreams, read on the request path.
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

    /// The upstream of this name.
    pub(crate) fn by_name(&self, name: &str) -> Option<&Arc<UpstreamState>> {
        self.by_name.get(&Upstream::from(name))
    }

    /// Whether the upstreams of a service are brittle; `None` without any.
    pub(crate) fn brittleness(&self, service: &Service) -> Option<Arc<Brittleness>> {
        self.of_service(service).first().map(|upstream| upstream.brittleness.clone())
    }

    /// The number of upstreams of a service that do not leave.
    pub(crate) fn remaining_count(&self, service: &Service) -> usize {
        self.of_service(service).iter().filter(|upstream| !upstream.is_leaving()).count()
    }

    /// All upstreams.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        self.by_name.values()
    }

    /// The services to whose upstreams this daemon has lost its links.
    pub(crate) fn lost_services(&self) -> Vec<Service> {
        let links = self.by_service.values().filter_map(|states| Some(&states.first()?.links));
        links.filter(|links| links.is_lost()).map(|links| links.service.clone()).collect()
    }

    /// True while this daemon has lost its links to the upstreams of `service`.
    pub(crate) fn has_lost_links(&self, service: &Service) -> bool {
        self.of_service(service).first().is_some_and(|upstream| upstream.links.is_lost())
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

/// What the upstreams of a service have in common, for as long as the daemon runs.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    /// This daemon's links to them.
    pub(crate) links: Arc<ServiceLinks>,
    /// Whether they say that they are brittle.
    pub(crate) brittleness: Arc<Brittleness>,
    /// Notified when room on them may have become free.
    pub(crate) room: Arc<RoomSignal>,
}

impl SharedState {
    fn new(service: Service) -> Self {
        let links = Arc::new(ServiceLinks::new(service));
        Self { links, brittleness: Arc::default(), room: Arc::default() }
    }
}

/// The current upstreams; each change replaces the whole snapshot.
#[derive(Debug)]
pub(crate) struct Directory {
    clock: Clock,
    upstreams: ArcSwap<Upstreams>,
    /// The software versions that services had. Locked for each change.
    versions: Mutex<ServiceVersions>,
    shared: Mutex<HashMap<Service, SharedState>>,
}

impl Directory {
    /// A directory without upstreams.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            upstreams: ArcSwap::default(),
            versions: Mutex::new(ServiceVersions::new(clock.now_ms())),
            shared: Mutex::default(),
            clock,
        }
    }

    /// The current upstreams.
    pub(crate) fn load(&self) -> arc_swap::Guard<Arc<Upstreams>> {
        self.upstreams.load()
    }

    /// Adds the upstream that `record` describes, or marks it as leaving if that is the change.
    pub(crate) fn insert(&self, record: UpstreamRecord) {
        self.update(|by_name, now_ms| {
            let name = record.name.clone();
            match by_name.get(&name) {
                Some(known) if is_same_start(&known.record, &record) => {
                    if record.is_leaving {
                        mark_leaving(known, now_ms, "notice");
                    }
                }
                known => {
                    if let Some(known) = known {
                        mark_replaced(known, &record, now_ms);
                    }
                    let shared = self.shared_state(&record.service);
                    let state = Arc::new(UpstreamState::new(record, shared, now_ms));
                    log::info!(target: "comfreymast", code = 1301, upstream = name.as_str(),
                        service = state.record.service.as_str(), addr:% = state.record.addr,
                        version = state.version_text(), leaving = state.record.is_leaving;
                        "upstream joined");
                    if state.record.is_leaving {
                        state.mark_leaving(now_ms);
                    }
                    by_name.insert(name, state);
                }
            }
        });
    }

    /// Removes an upstream whose entry was deleted. It may keep serving for a while, so its
    /// generations move away as after a shutdown notice.
    pub(crate) fn remove(&self, name: &str) {
        self.update(|by_name, now_ms| {
            if let Some(state) = by_name.remove(name) {
                mark_leaving(&state, now_ms, "entry gone");
            }
        });
    }

    /// The only software version that a service has had in the last `span_ms`, upstreams that state none
    /// counting as one. `None` if there were several, or if it is not known.
    pub(crate) fn only_version(
        &self,
        service: &Service,
        span_ms: u64,
    ) -> Option<Option<SoftwareVersion>> {
        self.with_versions(|versions, now_ms| {
            versions.only_version(service, span_ms, now_ms).cloned()
        })
    }

    /// Calls `use_versions` with the software versions that services have had, and the time.
    pub(crate) fn with_versions<T>(
        &self,
        use_versions: impl FnOnce(&mut ServiceVersions, u64) -> T,
    ) -> T {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = self.clock.now_ms();
        record_versions(&mut versions, &self.upstreams.load(), now_ms);
        use_versions(&mut versions, now_ms)
    }

    /// The software versions that services have now.
    pub(crate) fn present_versions(&self) -> BTreeSet<ServiceVersion> {
        let upstreams = self.upstreams.load();
        let versions = upstreams.all().map(|state| ServiceVersion {
            service: state.record.service.clone(),
            version: state.record.version.clone(),
        });
        versions.collect()
    }

    /// What the upstreams of a service share, whichever these are.
    pub(crate) fn shared_state(&self, service: &Service) -> SharedState {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let shared = shared.entry(service.clone());
        shared.or_insert_with(|| SharedState::new(service.clone())).clone()
    }

    /// Wakes the streams of all services that wait for room.
    pub(crate) fn notify_rooms(&self) {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.values().for_each(|shared| shared.room.notify());
    }

    fn update(&self, change: impl FnOnce(&mut HashMap<Upstream, Arc<UpstreamState>>, u64)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = self.clock.now_ms();
        let known = self.upstreams.load();
        // What is about to go has been there until now.
        record_versions(&mut versions, &known, now_ms);
        let mut by_name = known.by_name.clone();
        change(&mut by_name, now_ms);
        self.upstreams.store(Arc::new(Upstreams::new(by_name)));
        drop(versions);
        self.notify_rooms();
    }
}

fn record_versions(known: &mut ServiceVersions, upstreams: &Upstreams, now_ms: u64) {
    for (service, states) in &upstreams.by_service {
        let versions = states.iter().map(|state| state.record.version.clone());
        known.record(service, versions, now_ms);
    }
}

/// True when both records describe the same start of an upstream at the same address. An upstream may
/// start again under its name with another software version.
fn is_same_start(known: &UpstreamRecord, record: &UpstreamRecord) -> bool {
    known.addr == record.addr
        && known.service == record.service
        && known.started_unix_ms == record.started_unix_ms
        && (record.version.is_none() || known.version == record.version)
        && (record.is_leaving || !known.is_leaving)
}

/// Marks an upstream as leaving whose name has registered again.
fn mark_replaced(known: &UpstreamState, record: &UpstreamRecord, now_ms: u64) {
    let is_later_start = known.record.started_unix_ms < record.started_unix_ms;
    let is_first =
        if is_later_start { known.mark_restarted(now_ms) } else { known.mark_leaving(now_ms) };
    if is_first {
        log_leaving(known, "restarted");
    }
}

fn mark_leaving(state: &UpstreamState, now_ms: u64, reason: &str) {
    if state.mark_leaving(now_ms) {
        log_leaving(state, reason);
    }
}

fn log_leaving(state: &UpstreamState, reason: &str) {
    state.pool.clear();
    log::info!(target: "comfreymast", code = 1302, upstream = state.record.name.as_str(),
        reason; "upstream is leaving");
}
