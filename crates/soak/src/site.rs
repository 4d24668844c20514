use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use async_net::TcpListener;
use comfreymast_fakes::log_service::{LogFaults, LogService};
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
use crate::record::{Departure, Published, Record};

/// The host of all requests.
pub(crate) const HOST: &str = "soak.example";
/// The key of all callers.
pub(crate) const KEY: &str = "soak-key-1";
/// The events of a generation.
pub(crate) const EVENTS: u64 = 60;
const EVENT_MS: u64 = 12;
/// The longest that operators want a request kept waiting.
pub(crate) const TIMEOUT_MS: u64 = 5_000;
/// The tokens of a generation's prompt, and the most of its answer.
pub(crate) const TOKENS: (u64, u64) = (100, EVENTS * 4);
const SLOTS: u32 = 16;
/// Versions rise in uneven steps.
const VERSION_STEP: u64 = 3;

/// One place for an upstream, which is taken by another once the first has left.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    pub(crate) upstream: PlatformUpstream,
    /// Daemons reach it by this link only.
    pub(crate) link: Link,
    pub(crate) service: &'static str,
}

/// Everything that a soak runs.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) spawner: Spawner,
    pub(crate) record: Record,
    pub(crate) daemons: Vec<Daemon>,
    /// The links from each daemon to the store.
    pub(crate) store_links: Vec<Link>,
    store: LogService,
    _store_running: Sender<()>,
    places: Mutex<Vec<Placed>>,
    all_upstreams: Mutex<Vec<PlatformUpstream>>,
    version: AtomicU64,
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
        let (store_running, stop) = async_channel::bounded(1);
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
            record: Record::new(),
            daemons,
            store_links,
            store,
            _store_running: store_running,
            places: Mutex::default(),
            all_upstreams: Mutex::default(),
            version: AtomicU64::new(0),
        });
        site.publish();
        for index in 0..options.engines + options.plain_upstreams {
            let service = if index < options.engines { "engines" } else { "plain" };
            let placed = site.new_upstream(service).await?;
            site.places().push(placed);
        }
        for daemon in &site.daemons {
            daemon.start()?;
        }
        Ok(site)
    }

    /// Publishes the next configuration. Its organisation's name tells upstreams the version.
    pub(crate) fn publish(&self) {
        let version = self.version.fetch_add(VERSION_STEP, Ordering::AcqRel) + VERSION_STEP;
        self.write(
            OPERATORS_TOPIC,
            CONFIGURATION_KEY,
            configuration(version).to_string().as_bytes(),
        );
        let at_ms = self.record.now_ms();
        self.record.events().published.push(Published { version, at_ms });
    }

    /// The upstream at a place now.
    pub(crate) fn placed(&self, place: usize) -> Placed {
        let places = self.places();
        places[place % places.len()].clone()
    }

    /// All upstreams there ever were.
    pub(crate) fn all_upstreams(&self) -> Vec<PlatformUpstream> {
        self.all_upstreams.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts an upstream and announces it.
    pub(crate) async fn new_upstream(&self, service: &'static str) -> Result<Placed, ProofError> {
        let number = self.all_upstreams().len();
        let upstream = PlatformUpstream::start(&self.spawner, &format!("u-{number}")).await?;
        upstream.update_behaviour(|behaviour| {
            behaviour.events = EVENTS;
            behaviour.event_ms = EVENT_MS;
        });
        let link = Link::start(&self.spawner, upstream.addr).await?;
        let mut all = self.all_upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(upstream.clone());
        drop(all);
        let placed = Placed { upstream, link, service };
        self.announce(&placed, "ready");
        Ok(placed)
    }

    /// Writes what an upstream says of itself.
    pub(crate) fn announce(&self, placed: &Placed, state: &str) {
        let entry = UpstreamEntry {
            addr: placed.link.addr,
            service: placed.service,
            data_centre: "z0",
            slots: SLOTS,
            state,
        };
        self.write(UPSTREAMS_TOPIC, &placed.upstream.name, entry.document().to_string().as_bytes());
    }

    /// Drops what an upstream says of itself.
    pub(crate) fn drop_entry(&self, placed: &Placed) {
        self.write(UPSTREAMS_TOPIC, &placed.upstream.name, &[]);
    }

    /// Notes that the store has taken an upstream's notice or dropped its entry.
    pub(crate) fn note_departure(&self, placed: &Placed) {
        let departure =
            Departure { upstream: placed.upstream.name.to_string(), at_ms: self.record.now_ms() };
        self.record.events().departures.push(departure);
    }

    /// Puts another upstream at a place.
    pub(crate) fn replace(&self, place: usize, placed: Placed) {
        let mut places = self.places();
        let count = places.len();
        places[place % count] = placed;
    }

    /// Sets what goes wrong with the store.
    pub(crate) fn set_store_faults(&self, faults: LogFaults) {
        self.store.set_faults(faults);
    }

    fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let framed = KeyedRecord::encode(key, value);
        const LENGTH_BYTES: usize = 4;
        self.store.append_records(topic, vec![framed.slice(LENGTH_BYTES..)]);
    }

    fn places(&self) -> MutexGuard<'_, Vec<Placed>> {
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
