use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use async_net::TcpListener;
use comfreymast_fakes::log_service::{LogFaults, LogService};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_net::{ServeLimits, Spawner, serve};
use comfreymast_platform::KeyedRecord;
use comfreymast_proof::{Link, ProofError};
use serde_json::json;

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
const UPSTREAMS: &str = "keyed.servers";
const OPERATORS: &str = "keyed.op";
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
        self.write(OPERATORS, "config", configuration(version).to_string().as_bytes());
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
        upstream.behave(|behaviour| {
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
        let entry = json!({
            "service": placed.service, "address": placed.link.addr.to_string(), "zone": "z0",
            "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 5,
        });
        self.write(UPSTREAMS, &placed.upstream.name, entry.to_string().as_bytes());
    }

    /// Drops what an upstream says of itself.
    pub(crate) fn drop_entry(&self, placed: &Placed) {
        self.write(UPSTREAMS, &placed.upstream.name, &[]);
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
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 1_000, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false, "resumable": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plain", "unsafe", "plain", 1, false),
            route("safe", "safe", "plain", 2, false),
            route("report", "streaming", "engines", 1, false),
            route("caption", "streaming", "engines", 2, true),
        ],
        "services": [
            { "name": "plain", "maxConnections": 200 },
            { "name": "engines", "maxConnections": 200, "engine": {
                "slots": 16, "kvCapacityTokens": 20_000, "kvTokenBytes": 1_000,
                "linkMbps": 1_000.0, "moves": true, "stride": 4 } },
        ],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
                    "idleTimeoutMs": 15_000 },
        "tenants": [{ "name": format!("org-{version}"), "apiKeys": [KEY], "priority": 1 }],
    })
}
