use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use async_net::TcpListener;
use comfreymast_fakes::log_service::{LogFaults, LogService, StoreCopy};
use comfreymast_fakes::platform_documents::{
    CONFIGURATION_KEY, ConfigurationEntry, OPERATORS_TOPIC, RouteEntry, UPSTREAMS_TOPIC,
    UpstreamEntry,
};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_net::{ServeLimits, Spawner, serve};
use comfreymast_platform::KeyedRecord;
use comfreymast_proof::{Link, ProofError};

use crate::SoakOptions;
use crate::daemon::Daemon;
use crate::recorder::{Departure, Published, Recorder};

/// The `host` header of all requests.
pub(crate) const HOST: &str = "soak.example";
/// The API key of all callers.
pub(crate) const KEY: &str = "soak-key-1";
/// Number of events of a generation.
pub(crate) const EVENTS: u64 = 60;
const EVENT_MS: u64 = 12;
/// The time limit of a request, by the configuration.
pub(crate) const TIMEOUT_MS: u64 = 5_000;
/// Number of prompt tokens and maximum number of output tokens of a generation.
pub(crate) const TOKENS: (u64, u64) = (100, EVENTS * 4);
const SLOTS: u32 = 16;
/// Versions are not consecutive.
const VERSION_STEP: u64 = 3;

/// An upstream at a place, with its link. Another upstream takes over the place when it leaves.
#[derive(Clone, Debug)]
pub(crate) struct PlacedUpstream {
    pub(crate) upstream: PlatformUpstream,
    /// The only path from daemons to the upstream.
    pub(crate) link: Link,
    pub(crate) service: &'static str,
    pub(crate) version: String,
    pub(crate) started_unix_ms: u64,
}

/// Everything that a soak starts: the store, upstreams, daemons and the links between them.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) spawner: Spawner,
    pub(crate) recorder: Recorder,
    pub(crate) daemons: Vec<Daemon>,
    /// The links from each daemon to the store.
    pub(crate) store_links: Vec<Link>,
    store: LogService,
    /// Stops the store when dropped.
    _store_stop: Sender<()>,
    places: Mutex<Vec<PlacedUpstream>>,
    all_upstreams: Mutex<Vec<PlatformUpstream>>,
    version: AtomicU64,
    /// The number of the next entry of an upstream.
    sequence: AtomicU64,
    /// Tells the upstreams of this soak from those of others.
    tag: u32,
    /// The number of the next version that a release brings.
    next_version: AtomicU64,
}

impl Site {
    /// Starts the store and the upstreams, publishes a configuration and starts the daemons.
    pub(crate) async fn start(
        spawner: &Spawner,
        options: &SoakOptions,
    ) -> Result<Arc<Self>, ProofError> {
        let store = LogService::new();
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let store_addr = listener.local_addr()?;
        let (store_stop, stop) = async_channel::bounded(1);
        let limits = ServeLimits::default();
        spawner.detach(serve(spawner.clone(), listener, store.handler(), limits, stop));
        let mut daemons = Vec::new();
        let mut store_links = Vec::new();
        for index in 0..options.daemons {
            let link = Link::start(spawner, store_addr).await?;
            daemons.push(Daemon::new(&options.folder, index, link.addr)?);
            store_links.push(link);
        }
        let site = Arc::new(Self {
            spawner: spawner.clone(),
            recorder: Recorder::new(),
            daemons,
            store_links,
            store,
            _store_stop: store_stop,
            places: Mutex::default(),
            all_upstreams: Mutex::default(),
            version: AtomicU64::new(0),
            sequence: AtomicU64::new(1),
            tag: rand::random(),
            next_version: AtomicU64::new(options.versions as u64 + 1),
        });
        site.publish();
        for index in 0..options.engines + options.plain_upstreams {
            let service = if index < options.engines { "engines" } else { "plain" };
            let version = 1 + index % options.versions;
            let placed = site.start_upstream(service, &format!("v{version}")).await?;
            site.places().push(placed);
        }
        for daemon in &site.daemons {
            daemon.start()?;
        }
        Ok(site)
    }

    /// Publishes the next configuration. The name of its organisation carries the version, so that
    /// upstreams see it.
    pub(crate) fn publish(&self) {
        let version = self.version.fetch_add(VERSION_STEP, Ordering::AcqRel) + VERSION_STEP;
        // Recorded first, since checks run meanwhile, and upstreams may see it as soon as it is written.
        let at_ms = self.recorder.now_ms();
        self.recorder.events().published.push(Published { version, at_ms });
        self.write(
            OPERATORS_TOPIC,
            CONFIGURATION_KEY,
            configuration(version).to_string().as_bytes(),
        );
    }

    /// The current upstream at a place.
    pub(crate) fn upstream_at(&self, place: usize) -> PlacedUpstream {
        let places = self.places();
        places[place % places.len()].clone()
    }

    /// All upstreams started so far, those that left included.
    pub(crate) fn all_upstreams(&self) -> Vec<PlatformUpstream> {
        self.all_upstreams.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// A name that no upstream has had, here or in another soak on this machine. Its daemons may still
    /// send to a port that is given to this one, and an upstream runs what names it.
    fn next_name(&self) -> String {
        let number = self.all_upstreams().len();
        format!("u-{:x}-{number}", self.tag)
    }

    /// A version that no upstream has had.
    pub(crate) fn next_version(&self) -> String {
        format!("v{}", self.next_version.fetch_add(1, Ordering::AcqRel))
    }

    /// Starts an upstream and registers it in the store.
    pub(crate) async fn start_upstream(
        &self,
        service: &'static str,
        version: &str,
    ) -> Result<PlacedUpstream, ProofError> {
        let upstream = PlatformUpstream::start(&self.spawner, &self.next_name()).await?;
        upstream.update_behaviour(|behaviour| {
            behaviour.events = EVENTS;
            behaviour.event_ms = EVENT_MS;
            behaviour.version = version.to_owned();
        });
        let link = Link::start(&self.spawner, upstream.addr).await?;
        let mut all = self.all_upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(upstream.clone());
        drop(all);
        let started_unix_ms = self.recorder.now_ms();
        let version = version.to_owned();
        let placed = PlacedUpstream { upstream, link, service, version, started_unix_ms };
        self.write_entry(&placed, "ready");
        Ok(placed)
    }

    /// Lets a new upstream take over the address of one that has ended, and registers it.
    pub(crate) async fn start_successor(
        &self,
        ended: &PlacedUpstream,
    ) -> Result<PlacedUpstream, ProofError> {
        let upstream = PlatformUpstream::start(&self.spawner, &self.next_name()).await?;
        let behaviour = ended.upstream.behaviour();
        upstream.update_behaviour(|new| *new = behaviour);
        self.all_upstreams.lock().unwrap_or_else(PoisonError::into_inner).push(upstream.clone());
        ended.link.retarget(upstream.addr);
        ended.link.reopen();
        let started_unix_ms = self.recorder.now_ms();
        let placed = PlacedUpstream { upstream, started_unix_ms, ..ended.clone() };
        self.write_entry(&placed, "ready");
        Ok(placed)
    }

    /// Writes an upstream's entry in the store.
    pub(crate) fn write_entry(&self, placed: &PlacedUpstream, state: &str) {
        let entry = UpstreamEntry {
            addr: placed.link.addr,
            service: placed.service,
            data_centre: "z0",
            slots: SLOTS,
            state,
            version: &placed.version,
            started_unix_ms: placed.started_unix_ms,
            sequence: self.sequence.fetch_add(1, Ordering::AcqRel),
        };
        self.write_upstream(&placed.upstream.name, entry);
    }

    /// Writes the entry of an upstream that has no place.
    pub(crate) fn announce(&self, name: &str, addr: SocketAddr, service: &str) {
        let entry = UpstreamEntry {
            addr,
            service,
            data_centre: "z0",
            slots: SLOTS,
            state: "ready",
            version: "v1",
            started_unix_ms: self.recorder.now_ms(),
            sequence: self.sequence.fetch_add(1, Ordering::AcqRel),
        };
        self.write_upstream(name, entry);
    }

    fn write_upstream(&self, name: &str, entry: UpstreamEntry<'_>) {
        self.write(UPSTREAMS_TOPIC, name, entry.document().to_string().as_bytes());
    }

    /// A copy of the store, from which it can come back.
    pub(crate) fn copy_store(&self) -> StoreCopy {
        self.store.copy()
    }

    /// The store comes back from a copy.
    pub(crate) fn return_store(&self, copy: &StoreCopy) {
        self.store.restore(copy);
    }

    /// Operators and upstreams write again what the store may have lost, and entries of upstreams that
    /// are gone expire.
    pub(crate) fn write_again(&self) {
        self.publish();
        let places = self.places().clone();
        for placed in &places {
            self.write_entry(placed, "ready");
        }
        let all = self.all_upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        let is_placed = |name: &str| places.iter().any(|placed| *placed.upstream.name == *name);
        for gone in all.iter().filter(|upstream| !is_placed(&upstream.name)) {
            self.write(UPSTREAMS_TOPIC, &gone.name, &[]);
        }
    }

    /// Deletes an upstream's entry in the store.
    pub(crate) fn delete_entry(&self, placed: &PlacedUpstream) {
        self.write(UPSTREAMS_TOPIC, &placed.upstream.name, &[]);
    }

    /// Records that the store marks an upstream as leaving or has deleted its entry.
    pub(crate) fn record_departure(&self, placed: &PlacedUpstream) {
        let departure =
            Departure { upstream: placed.upstream.name.to_string(), at_ms: self.recorder.now_ms() };
        self.recorder.events().departures.push(departure);
    }

    /// Assigns a place to another upstream.
    pub(crate) fn replace(&self, place: usize, placed: PlacedUpstream) {
        let mut places = self.places();
        let count = places.len();
        places[place % count] = placed;
    }

    /// Replaces the faults of the store.
    pub(crate) fn set_store_faults(&self, faults: LogFaults) {
        self.store.set_faults(faults);
    }

    fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let framed = KeyedRecord::encode(key, value);
        const LENGTH_BYTES: usize = 4;
        self.store.append_records(topic, vec![framed.slice(LENGTH_BYTES..)]);
    }

    fn places(&self) -> MutexGuard<'_, Vec<PlacedUpstream>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn configuration(version: u64) -> serde_json::Value {
    let plain = RouteEntry { timeout_ms: TIMEOUT_MS, priority: 1, ..RouteEntry::default() };
    let stream = RouteEntry { kind: "streaming", service: "engines", ..plain };
    let routes = [
        plain,
        RouteEntry { name: "safe", kind: "safe", max_attempts: 2, ..plain },
        RouteEntry { name: "report", ..stream },
        RouteEntry { name: "caption", max_attempts: 2, is_resumable: true, ..stream },
    ];
    ConfigurationEntry {
        version,
        host: HOST,
        routes: &routes,
        slots: SLOTS,
        memory_tokens: 20_000,
        organisation: &format!("org-{version}"),
        key: KEY,
    }
    .document()
}
