use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_net::UdpSocket;
use comfreymast_base::{Clock, Service};
use comfreymast_decide::evacuation::RunView;
use comfreymast_decide::fleet_budget::Traffic;
use comfreymast_net::{
    Body, OwnedConnection, Spawner, collect, empty, full, request, sleep_ms, within,
};
use comfreymast_wire::news::{EngineUse, GenerationUse, Heartbeat, ServiceTraffic, TopicSnapshot};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prost::Message;

use crate::dispatch::Dispatch;
use crate::follow::Followed;

const DATAGRAM_BYTES: usize = 16 * 1024;
const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// How long a peer may know more of a topic before it is asked for what it knows.
const BEHIND_MS: u64 = 150;
const FETCH_LIMIT_MS: u64 = 1_500;
const FETCH_PAUSE_MS: u64 = 400;
/// How long an address without any sign of life is still tried.
const FORGET_MS: u64 = 30_000;
/// The least time between two heartbeats for each peer that gets them.
const SPACING_MS_PER_PEER: u64 = 2;
/// Addresses of peers that one heartbeat passes on.
const PASSED_ON: usize = 8;

/// Other daemons, as their heartbeats tell of them.
#[derive(Debug)]
pub(crate) struct Peers {
    clock: Clock,
    own_addr: SocketAddr,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    /// When each address was heard last, or first named.
    contacts: BTreeMap<SocketAddr, u64>,
    by_name: BTreeMap<String, Peer>,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    heard_ms: u64,
    heartbeat: Heartbeat,
}

impl Peers {
    /// No peers yet; `own_addr` is never one.
    pub(crate) fn new(clock: Clock, own_addr: SocketAddr) -> Self {
        Self { clock, own_addr, table: Mutex::default() }
    }

    /// Takes in an address at which a daemon may listen.
    pub(crate) fn meet(&self, addr: SocketAddr) {
        if addr != self.own_addr {
            let now_ms = self.clock.now_ms();
            self.table().contacts.entry(addr).or_insert(now_ms);
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        table.contacts.retain(|_, heard_ms| now_ms.saturating_sub(*heard_ms) < FORGET_MS);
        table.contacts.keys().copied().collect()
    }

    /// Takes in a heartbeat; an older one than the last of its daemon changes nothing.
    fn hear(&self, addr: SocketAddr, heartbeat: Heartbeat) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        table.contacts.insert(addr, now_ms);
        for named in heartbeat.peers.iter().filter_map(|addr| addr.parse().ok()) {
            if named != self.own_addr {
                table.contacts.entry(named).or_insert(now_ms);
            }
        }
        let key = (heartbeat.started_unix_ms, heartbeat.sequence);
        let known = table.by_name.get(&heartbeat.daemon);
        let is_newer = known
            .is_none_or(|peer| key > (peer.heartbeat.started_unix_ms, peer.heartbeat.sequence));
        if is_newer {
            let name = heartbeat.daemon.clone();
            if known.is_none() {
                log::info!(target: "comfreymast", code = 1501, peer = name.as_str(), addr:%; "peer heard");
            }
            table.by_name.insert(name, Peer { addr, heard_ms: now_ms, heartbeat });
        }
    }

    /// Drops peers that were not heard for `silence_ms`.
    fn expire(&self, silence_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.table().by_name.retain(|name, peer| {
            let is_alive = now_ms.saturating_sub(peer.heard_ms) < silence_ms;
            if !is_alive {
                log::info!(target: "comfreymast", code = 1502, peer = name.as_str(); "peer silent");
            }
            is_alive
        });
    }

    /// The peer that knows most of a topic, by `offset`, and how far it is.
    fn ahead(&self, offset: impl Fn(&Heartbeat) -> u64) -> Option<(SocketAddr, u64)> {
        let table = self.table();
        let known = table.by_name.values().map(|peer| (peer.addr, offset(&peer.heartbeat)));
        known.max_by_key(|(_, offset)| *offset)
    }

    /// The time since the store last answered any living peer; `None` without peers.
    pub(crate) fn store_heard_age_ms(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let table = self.table();
        let ages = table
            .by_name
            .values()
            .map(|peer| peer.heartbeat.store_heard_age_ms + now_ms.saturating_sub(peer.heard_ms));
        ages.min()
    }

    /// How many living daemons that the store answers come before `name`.
    fn readers_before(&self, name: &str) -> usize {
        let table = self.table();
        let before = table.by_name.iter().take_while(|(peer, _)| peer.as_str() < name);
        before.filter(|(_, peer)| peer.heartbeat.store_answers).count()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the exchange with other daemons needs.
pub(crate) struct Exchange {
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) operators: Arc<Followed>,
    pub(crate) upstreams: Arc<Followed>,
    pub(crate) socket: UdpSocket,
}

impl Exchange {
    /// Hears other daemons for as long as this one runs.
    pub(crate) async fn listen(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, addr)) => match Heartbeat::decode(&buffer[..length]) {
                    Ok(heartbeat) => self.peers.hear(addr, heartbeat),
                    Err(error) => {
                        log::warn!(target: "comfreymast", code = 1503, addr:%, error:%; "heartbeat does not decode");
                    }
                },
                Err(error) => {
                    log::warn!(target: "comfreymast", code = 1504, error:%; "no heartbeat can be received");
                    sleep_ms(BEHIND_MS).await;
                }
            }
        }
    }

    /// Tells other daemons of this one, and puts to use what they tell.
    pub(crate) async fn speak(self: Arc<Self>) {
        let started_unix_ms = self.dispatch.clock.unix_ms();
        let mut sequence = 0;
        let mut operators_behind = Behind::default();
        let mut upstreams_behind = Behind::default();
        loop {
            sequence += 1;
            let heartbeat = self.heartbeat(started_unix_ms, sequence);
            let bytes = heartbeat.encode_to_vec();
            for addr in self.peers.addresses() {
                if let Err(error) = self.socket.send_to(&bytes, addr).await {
                    log::debug!("no heartbeat to {addr}: {error}");
                }
            }
            self.peers.expire(self.dispatch.options.peer_silence_ms);
            self.use_news();
            self.share_reading();
            let ahead = self.peers.ahead(|heartbeat| heartbeat.operators_offset);
            operators_behind.check(&self.dispatch, &self.operators, ahead, "/peer/operators");
            let ahead = self.peers.ahead(|heartbeat| heartbeat.upstreams_offset);
            upstreams_behind.check(&self.dispatch, &self.upstreams, ahead, "/peer/upstreams");
            let options = &self.dispatch.options;
            let spacing_ms = SPACING_MS_PER_PEER * self.peers.table().contacts.len() as u64;
            sleep_ms(spacing_ms).await;
            let rest_ms = options.heartbeat_interval_ms.saturating_sub(spacing_ms);
            self.dispatch.news_within(rest_ms).await;
        }
    }

    fn heartbeat(&self, started_unix_ms: u64, sequence: u64) -> Heartbeat {
        let now_ms = self.dispatch.clock.now_ms();
        let upstreams = self.dispatch.directory.load();
        let engines = upstreams.all().filter_map(|upstream| {
            let reserved_tokens = upstream.reserved_tokens.load(Ordering::Acquire);
            (reserved_tokens > 0).then(|| EngineUse {
                upstream: upstream.record.name.as_str().to_owned(),
                runs: upstream.outstanding.load(Ordering::Acquire),
                reserved_tokens,
                prefill_tokens: upstream.prefill_tokens.load(Ordering::Acquire),
                generations: upstream.own_generations().iter().map(generation_use).collect(),
            })
        });
        let services =
            self.dispatch.budget.own(now_ms).into_iter().map(|(service, traffic)| ServiceTraffic {
                service: service.as_str().to_owned(),
                requests: u32::try_from(traffic.requests).unwrap_or(u32::MAX),
                repeats: u32::try_from(traffic.repeats).unwrap_or(u32::MAX),
            });
        let peers = self.peers.addresses();
        let from = if peers.is_empty() { 0 } else { sequence as usize % peers.len() };
        let passed_on = peers.iter().cycle().skip(from).take(PASSED_ON.min(peers.len()));
        Heartbeat {
            daemon: self.dispatch.settings.load().name.as_str().to_owned(),
            started_unix_ms,
            sequence,
            operators_offset: offset_if_loaded(&self.operators),
            upstreams_offset: offset_if_loaded(&self.upstreams),
            engines: engines.collect(),
            services: services.collect(),
            peers: passed_on.map(SocketAddr::to_string).collect(),
            store_answers: self.operators.answers() && self.upstreams.answers(),
            store_heard_age_ms: self.upstreams.heard_age_ms(),
        }
    }

    /// Makes the first few daemons ask the store often, so that no change is missed for long when
    /// it has lost track of those who wait. Two views of who is first do no harm.
    fn share_reading(&self) {
        let options = &self.dispatch.options;
        let name = self.dispatch.settings.load().name.clone();
        let is_reader = self.peers.readers_before(name.as_str()) < options.readers;
        let wait_ms = if is_reader { options.reader_wait_ms } else { options.store_wait_ms };
        self.operators.set_wait_ms(wait_ms);
        self.upstreams.set_wait_ms(wait_ms);
    }

    /// Adds up what all other daemons run and send.
    fn use_news(&self) {
        let table = self.peers.table();
        let mut engines: HashMap<&str, EngineSum> = HashMap::new();
        let mut services: HashMap<Service, Traffic> = HashMap::new();
        for peer in table.by_name.values() {
            for engine in &peer.heartbeat.engines {
                let sum = engines.entry(engine.upstream.as_str()).or_default();
                sum.runs += engine.runs;
                sum.reserved_tokens += engine.reserved_tokens;
                sum.prefill_tokens += engine.prefill_tokens;
                sum.generations.extend(engine.generations.iter().map(run_view));
            }
            for service in &peer.heartbeat.services {
                let traffic = services.entry(Service::from(service.service.as_str())).or_default();
                *traffic = traffic.plus(Traffic {
                    requests: u64::from(service.requests),
                    repeats: u64::from(service.repeats),
                });
            }
        }
        for upstream in self.dispatch.directory.load().all() {
            let sum = engines.remove(upstream.record.name.as_str()).unwrap_or_default();
            upstream.set_others_generations(sum.generations);
            upstream.others_runs.store(sum.runs, Ordering::Release);
            upstream.others_reserved_tokens.store(sum.reserved_tokens, Ordering::Release);
            upstream.others_prefill_tokens.store(sum.prefill_tokens, Ordering::Release);
            upstream.pool.expire(self.dispatch.clock.now_ms());
        }
        self.dispatch.budget.set_others(services);
    }

    /// Answers requests of peers and scrapers.
    pub(crate) fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/metrics" => self.dispatch.metrics.response(),
            "/peer/operators" => Response::new(full(self.operators.snapshot().encode_to_vec())),
            "/peer/upstreams" => Response::new(full(self.upstreams.snapshot().encode_to_vec())),
            _ => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}

/// What all other daemons run on one engine.
#[derive(Debug, Default)]
struct EngineSum {
    runs: u32,
    reserved_tokens: u64,
    prefill_tokens: u64,
    generations: Vec<RunView>,
}

fn generation_use(run: &RunView) -> GenerationUse {
    GenerationUse {
        key: run.key,
        tokens: u32::try_from(run.tokens).unwrap_or(u32::MAX),
        started_unix_ms: run.started_unix_ms,
    }
}

fn run_view(generation: &GenerationUse) -> RunView {
    RunView {
        key: generation.key,
        tokens: u64::from(generation.tokens),
        started_unix_ms: generation.started_unix_ms,
    }
}

fn offset_if_loaded(followed: &Followed) -> u64 {
    if followed.is_loaded() { followed.next_offset() } else { 0 }
}

/// Notices that a peer has known more of a topic for a while, and asks it.
#[derive(Debug, Default)]
struct Behind {
    since_ms: Option<u64>,
    asked_ms: u64,
}

impl Behind {
    fn check(
        &mut self,
        dispatch: &Arc<Dispatch>,
        followed: &Arc<Followed>,
        ahead: Option<(SocketAddr, u64)>,
        path: &'static str,
    ) {
        let now_ms = dispatch.clock.now_ms();
        let Some((addr, offset)) = ahead.filter(|(_, offset)| *offset > offset_if_loaded(followed))
        else {
            self.since_ms = None;
            return;
        };
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        if now_ms - since_ms < BEHIND_MS || now_ms - self.asked_ms < FETCH_PAUSE_MS {
            return;
        }
        self.asked_ms = now_ms;
        followed.hurry();
        let spawner = dispatch.spawner.clone();
        let followed = followed.clone();
        dispatch.spawner.detach(async move {
            let outcome = fetch(&spawner, addr, path).await;
            let is_fetched = outcome.is_some();
            log::info!(target: "comfreymast", code = 1505, peer:% = addr, path, offset,
                known = followed.next_offset(), fetched = is_fetched; "asked a peer that knows more");
            if let Some(snapshot) = outcome {
                followed.take_snapshot(snapshot);
            }
        });
    }
}

async fn fetch(spawner: &Spawner, addr: SocketAddr, path: &str) -> Option<TopicSnapshot> {
    let exchange = async {
        let mut connection = OwnedConnection::open(spawner, addr, FETCH_LIMIT_MS).await.ok()?;
        let response = connection.send(request(addr, "GET", path, empty())).await.ok()?;
        let bytes = collect(response.into_body(), MAX_SNAPSHOT_BYTES).await.ok()?;
        TopicSnapshot::decode(bytes).ok()
    };
    within(FETCH_LIMIT_MS, exchange).await.ok().flatten()
}
