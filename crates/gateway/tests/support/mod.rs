//! A store, upstreams and gateways in one process, on ports that the system assigns.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::Sender;
use bytes::Bytes;
use comfreymast_base::EndMark;
use comfreymast_fakes::log_service::{LogFaults, LogService};
use comfreymast_fakes::platform_documents::{
    CONFIGURATION_KEY, CallerRequest, ConfigurationEntry, OPERATORS_TOPIC, RouteEntry,
    UPSTREAMS_TOPIC, UpstreamEntry, VmEntry,
};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_gateway::{GatewayAddresses, GatewayOptions, run};
use comfreymast_net::{
    Body, BodyStep, OwnedConnection, ReceivedBody, ResponseBody, ServeLimits, Spawner, collect,
    empty, request, serve, sleep_ms, within,
};
use comfreymast_platform::{KeyedRecord, VmSettings};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::Value;
use tempfile::TempDir;

const SLOTS: u32 = 8;
/// When all upstreams say that they started.
const STARTED_UNIX_MS: u64 = 5;
const WAIT_LIMIT_MS: u64 = 20_000;
const POLL_MS: u64 = 10;
const CALL_LIMIT_MS: u64 = 20_000;
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Runs a test on an executor of two threads.
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Spawner) -> F) {
    Spawner::run(2, test);
}

/// A store, with methods that start upstreams and gateways that use it.
pub(crate) struct TestEnv {
    pub(crate) spawner: Spawner,
    pub(crate) store: LogService,
    pub(crate) store_addr: SocketAddr,
    _store_running: Sender<()>,
    folder: TempDir,
    /// The number of the next entry of an upstream.
    sequence: AtomicU64,
    /// Retries that are allowed beyond the ratio, for the gateways that are started afterwards.
    pub(crate) retry_slack: f64,
    /// How long after it was told to stop the platform ends a gateway, in seconds.
    pub(crate) grace_s: u64,
    /// The rate of the links of the gateways that are started afterwards, in Mbit/s.
    pub(crate) link_mbps: f64,
    /// The time within which evacuations are in force, for the gateways that are started afterwards.
    pub(crate) evacuation_ms: Option<u64>,
    /// The regions of data centres, for the gateways that are started afterwards.
    pub(crate) regions: Vec<(&'static str, &'static str)>,
}

/// A running gateway.
pub(crate) struct Gateway {
    pub(crate) addresses: GatewayAddresses,
    pub(crate) settings_path: PathBuf,
    pub(crate) reload: Sender<()>,
    stop: Sender<()>,
    ended: async_channel::Receiver<()>,
}

/// An answer with its complete body.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestEnv {
    /// An empty store.
    pub(crate) async fn new(spawner: &Spawner) -> Self {
        let store = LogService::new();
        let (store_addr, running) = listen(spawner, store.clone()).await;
        let folder = TempDir::new().expect("a folder");
        Self {
            spawner: spawner.clone(),
            store,
            store_addr,
            _store_running: running,
            folder,
            sequence: AtomicU64::new(1),
            retry_slack: 50.0,
            grace_s: 8,
            link_mbps: 1_000.0,
            evacuation_ms: Some(5_000),
            regions: Vec::new(),
        }
    }

    /// Publishes the configuration of the tests with `change` applied to it.
    pub(crate) fn publish(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let mut configuration = configuration(version);
        change(&mut configuration);
        self.write(OPERATORS_TOPIC, CONFIGURATION_KEY, configuration.to_string().as_bytes());
    }

    /// Publishes a configuration with an additional route at `path`.
    pub(crate) fn publish_with_route(&self, path: &str, version: u64) {
        let name = path.trim_matches('/');
        let added = RouteEntry { name, kind: "safe", max_attempts: 2, ..RouteEntry::default() };
        self.publish(version, |configuration| {
            let routes = configuration["routes"].as_array_mut().expect("routes");
            routes.push(added.document("h.example"));
        });
    }

    /// Writes the entry of an upstream to the store.
    pub(crate) fn announce(&self, upstream: &PlatformUpstream, service: &str, state: &str) {
        let version = upstream.behaviour().version;
        self.write_entry((&upstream.name, upstream.addr), "z1", service, state, &version);
    }

    /// Writes the entry of an upstream in `data_centre` to the store, as ready.
    pub(crate) fn announce_in(
        &self,
        data_centre: &str,
        (name, addr): (&str, SocketAddr),
        service: &str,
    ) {
        self.write_entry((name, addr), data_centre, service, "ready", "v1");
    }

    /// Begins the evacuation of a data centre.
    pub(crate) fn evacuate(&self, data_centre: &str) {
        self.write(OPERATORS_TOPIC, &format!("evacuate/{data_centre}"), b"{}");
    }

    /// Ends the evacuation of a data centre.
    pub(crate) fn end_evacuation(&self, data_centre: &str) {
        self.write(OPERATORS_TOPIC, &format!("evacuate/{data_centre}"), b"");
    }

    /// Writes the entry of an upstream at `addr` to the store.
    pub(crate) fn announce_at(&self, name: &str, addr: SocketAddr, service: &str, state: &str) {
        self.write_entry((name, addr), "z1", service, state, "v1");
    }

    /// Like [`Self::announce_at`], ready and with this software version.
    pub(crate) fn announce_version(
        &self,
        upstream: (&str, SocketAddr),
        service: &str,
        version: &str,
    ) {
        self.write_entry(upstream, "z1", service, "ready", version);
    }

    fn write_entry(
        &self,
        (name, addr): (&str, SocketAddr),
        data_centre: &str,
        service: &str,
        state: &str,
        version: &str,
    ) {
        let entry = UpstreamEntry {
            addr,
            service,
            data_centre,
            slots: SLOTS,
            state,
            version,
            started_unix_ms: STARTED_UNIX_MS,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        self.write(UPSTREAMS_TOPIC, name, entry.document().to_string().as_bytes());
    }

    /// Appends one record to a keyed topic; an empty value removes the key.
    pub(crate) fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let framed = KeyedRecord::encode(key, value);
        self.store.append_records(topic, vec![framed.slice(4..)]);
    }

    /// Sets the faults of the store.
    pub(crate) fn set_faults(&self, faults: LogFaults) {
        self.store.set_faults(faults);
    }

    /// Starts an upstream and writes its entry as ready.
    pub(crate) async fn upstream(&self, name: &str, service: &str) -> PlatformUpstream {
        let upstream = PlatformUpstream::start(&self.spawner, name).await.expect("a port");
        self.announce(&upstream, service, "ready");
        upstream
    }

    /// Starts an upstream in `data_centre` and writes its entry as ready.
    pub(crate) async fn upstream_in(
        &self,
        data_centre: &str,
        name: &str,
        service: &str,
    ) -> PlatformUpstream {
        let upstream = PlatformUpstream::start(&self.spawner, name).await.expect("a port");
        self.announce_in(data_centre, (name, upstream.addr), service);
        upstream
    }

    /// Starts a gateway that reads this store.
    pub(crate) async fn gateway(&self, name: &str) -> Gateway {
        self.gateway_at(name, self.store_addr, GatewayOptions::default(), &[]).await
    }

    /// Starts a gateway that reads the store at `store` and has `seeds` as its first peers.
    pub(crate) async fn gateway_at(
        &self,
        name: &str,
        store: SocketAddr,
        options: GatewayOptions,
        seeds: &[&Gateway],
    ) -> Gateway {
        self.gateway_in("z1", name, store, options, seeds).await
    }

    /// Like [`Self::gateway_at`], in `data_centre`.
    pub(crate) async fn gateway_in(
        &self,
        data_centre: &str,
        name: &str,
        store: SocketAddr,
        options: GatewayOptions,
        seeds: &[&Gateway],
    ) -> Gateway {
        let seeds = seeds.iter().map(|seed| seed.addresses.peers).collect();
        self.gateway_with_seeds(data_centre, name, store, options, seeds).await
    }

    /// Like [`Self::gateway_in`], with the addresses at which its first peers listen.
    pub(crate) async fn gateway_with_seeds(
        &self,
        data_centre: &str,
        name: &str,
        store: SocketAddr,
        options: GatewayOptions,
        seeds: Vec<SocketAddr>,
    ) -> Gateway {
        let path = self.folder.path().join(format!("{name}.json"));
        let file = VmEntry {
            name,
            data_centre,
            store_addr: store,
            grace_s: self.grace_s,
            retry_ratio: 0.2,
            retry_slack: self.retry_slack,
            retry_window_s: 10,
            link_mbps: self.link_mbps,
        };
        let mut document = file.document();
        if let Some(evacuation_ms) = self.evacuation_ms {
            document["bounds"]["evacMs"] = evacuation_ms.into();
        }
        for (zone, region) in &self.regions {
            document["zones"][*zone] = (*region).into();
            if *zone == data_centre {
                document["region"] = (*region).into();
            }
        }
        std::fs::write(&path, document.to_string()).expect("a settings file");
        let mut settings = VmSettings::read(&path).expect("good settings");
        settings.seed_addrs = seeds;
        let (stop, stopped) = async_channel::bounded(1);
        let (reload, reloads) = async_channel::bounded(1);
        let (started, addresses) = async_channel::bounded(1);
        let (end, ended) = async_channel::bounded(1);
        let running = run(
            self.spawner.clone(),
            settings,
            path.clone(),
            options,
            stopped,
            reloads,
            move |addresses| started.try_send(addresses).expect("one start"),
        );
        self.spawner.detach(async move {
            running.await.expect("a gateway that starts");
            drop(end);
        });
        let addresses = addresses.recv().await.expect("a gateway that starts");
        Gateway { addresses, settings_path: path, reload, stop, ended }
    }
}

impl Gateway {
    /// Tells the gateway to stop.
    pub(crate) fn stop(&self) {
        self.stop.close();
    }

    /// Waits until the gateway has ended.
    pub(crate) async fn ended(&self) {
        within(WAIT_LIMIT_MS, self.ended.recv())
            .await
            .expect("an end")
            .expect_err("a closed channel");
    }

    /// Waits until the gateway reports that it is ready.
    pub(crate) async fn wait_ready(&self, spawner: &Spawner) {
        wait_for("readiness", async || {
            let ready = request(self.addresses.ready, "GET", "/-/ready", empty());
            status(spawner, self.addresses.ready, ready).await == Some(StatusCode::OK)
        })
        .await;
    }

    /// Sends a request on a new connection and reads the complete answer.
    pub(crate) async fn call(&self, spawner: &Spawner, call: Request<Body>) -> Answer {
        let (connection, response) = self.open(spawner, call).await;
        let (head, body) = response.into_parts();
        let body = within(CALL_LIMIT_MS, collect(body, MAX_BODY_BYTES)).await.expect("an end");
        drop(connection);
        Answer { status: head.status, headers: head.headers, body: body.unwrap_or_default() }
    }

    /// Sends a request on a new connection and waits for the head of its answer.
    pub(crate) async fn open(
        &self,
        spawner: &Spawner,
        call: Request<Body>,
    ) -> (OwnedConnection, Response<ReceivedBody>) {
        self.try_open(spawner, call).await.expect("an answer")
    }

    /// Like [`Self::open`]; `None` if the gateway closes the connection without an answer.
    pub(crate) async fn try_open(
        &self,
        spawner: &Spawner,
        call: Request<Body>,
    ) -> Option<(OwnedConnection, Response<ReceivedBody>)> {
        let addr = self.addresses.callers;
        let mut connection =
            OwnedConnection::open(spawner, addr, CALL_LIMIT_MS).await.expect("a connection");
        let response = within(CALL_LIMIT_MS, connection.send(call)).await.expect("an end");
        Some((connection, response.ok()?))
    }
}

/// A caller's request with the key of `org`.
pub(crate) fn call(method: &str, path: &str, id: &str) -> Request<Body> {
    CallerRequest { id, ..CallerRequest::default() }.request(method, path, "body")
}

/// A caller's request for a generation.
pub(crate) fn generation(path: &str, id: &str) -> Request<Body> {
    generation_of(path, id, (100, 80))
}

/// A caller's request for a generation with these counts of prompt and output tokens.
pub(crate) fn generation_of(path: &str, id: &str, tokens: (u64, u64)) -> Request<Body> {
    let tokens = Some(tokens);
    CallerRequest { id, tokens, ..CallerRequest::default() }.request("POST", path, "body")
}

/// A request that takes up a stream of `/caption/` after its event `last_event`. It names the attempt that began
/// it, if there is one.
pub(crate) fn take_up(id: &str, attempt: Option<&str>, last_event: u64) -> Request<Body> {
    let resumes = Some((attempt.unwrap_or_default(), last_event));
    let tokens = Some((100, 80));
    let request = CallerRequest { id, tokens, resumes, ..CallerRequest::default() };
    let mut request = request.request("POST", "/caption/x", "body");
    if attempt.is_none() {
        request.headers_mut().remove("resumes");
    }
    request
}

/// The ids of the events in a stream, which may be incomplete.
pub(crate) fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

/// Waits until `condition` holds. Panics with `what` in the message after `WAIT_LIMIT_MS`.
pub(crate) async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let clock = comfreymast_base::Clock::system();
    while !condition().await {
        assert!(clock.now_ms() < WAIT_LIMIT_MS, "no {what}");
        sleep_ms(POLL_MS).await;
    }
}

async fn status(spawner: &Spawner, addr: SocketAddr, call: Request<Body>) -> Option<StatusCode> {
    let mut connection = OwnedConnection::open(spawner, addr, CALL_LIMIT_MS).await.ok()?;
    Some(connection.send(call).await.ok()?.status())
}

async fn listen(spawner: &Spawner, store: LogService) -> (SocketAddr, Sender<()>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = async_net::TcpListener::bind(any).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (running, stop) = async_channel::bounded(1);
    let served = serve(spawner.clone(), listener, store.handler(), ServeLimits::default(), stop);
    spawner.detach(served);
    (addr, running)
}

fn configuration(version: u64) -> Value {
    let stream = RouteEntry {
        kind: "streaming",
        service: "engines",
        timeout_ms: 15_000,
        target_latency_ms: 2_000,
        priority: 1,
        ..RouteEntry::default()
    };
    let routes = [
        RouteEntry::default(),
        RouteEntry { name: "safe", kind: "safe", max_attempts: 2, ..RouteEntry::default() },
        RouteEntry { name: "report", ..stream },
        RouteEntry { name: "caption", max_attempts: 2, is_resumable: true, priority: 0, ..stream },
    ];
    ConfigurationEntry {
        version,
        host: "h.example",
        routes: &routes,
        slots: SLOTS,
        memory_tokens: 10_000,
        organisation: "org",
        key: "key-1",
    }
    .document()
}

/// The bytes of an answer that arrive, and what marked their end.
pub(crate) async fn read_marked(response: Response<ReceivedBody>) -> (Vec<u8>, EndMark) {
    let (head, body) = response.into_parts();
    let mut body = ResponseBody::new(&head, body);
    let mut bytes = Vec::new();
    loop {
        match body.next().await {
            BodyStep::Data(data) => bytes.extend_from_slice(&data),
            BodyStep::End(mark) => return (bytes, mark),
        }
    }
}

/// The bytes of an answer that arrive, whether it is whole or not.
pub(crate) async fn read_what_arrives(response: Response<ReceivedBody>) -> Vec<u8> {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    bytes
}
