use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_net::UdpSocket;
use comfreymast_net::{
    Body, OwnedConnection, Spawner, collect, empty, full, request, sleep_ms, within,
};
use comfreymast_wire::news::{
    EngineUse, Heartbeat, News, ServiceTraffic, Topic, TopicDelta, TopicSnapshot, news,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prost::Message;

use crate::dispatch::Dispatch;
use crate::fleet_sum::generation_use;
use crate::follow::Followed;
use crate::roster::Links;

const DATAGRAM_BYTES: usize = 60 * 1024;
/// Records that are longer together are fetched and not pushed.
const MOST_PUSHED_BYTES: usize = 32 * 1024;
const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// How long a peer may know more of a topic before it is asked for what it knows.
const BEHIND_MS: u64 = 150;
const FETCH_LIMIT_MS: u64 = 1_500;
const FETCH_PAUSE_MS: u64 = 400;
/// The least time between two heartbeats for each peer that gets them.
const SPACING_MS_PER_PEER: u64 = 2;
/// Time between two choices of links.
const LINKS_INTERVAL_MS: u64 = 1_000;
/// Daemons of which one heartbeat tells.
const TOLD_MEMBERS: usize = 8;

/// The exchange of news with other daemons.
pub(crate) struct Exchange {
    pub(crate) dispatch: Arc<Dispatch>,
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
                Ok((length, addr)) => match News::decode(&buffer[..length]) {
                    Ok(news) => self.hear(addr, news),
                    Err(error) => {
                        log::warn!(target: "comfreymast", code = 1503, addr:%, error:%;
                            "heartbeat does not decode");
                    }
                },
                Err(error) => {
                    log::warn!(target: "comfreymast", code = 1504, error:%;
                        "no heartbeat can be received");
                    sleep_ms(BEHIND_MS).await;
                }
            }
        }
    }

    fn hear(&self, addr: SocketAddr, news: News) {
        match news.body {
            Some(news::Body::Heartbeat(heartbeat)) => self.dispatch.peers.hear(addr, heartbeat),
            Some(news::Body::Summary(summary)) => {
                self.dispatch.peers.hear_summary(addr, summary, true)
            }
            Some(news::Body::Delta(delta)) => match delta.topic() {
                Topic::Operators => self.operators.take_delta(delta),
                Topic::Upstreams => self.upstreams.take_delta(delta),
                Topic::Unspecified => {}
            },
            None => {}
        }
    }

    /// Tells other daemons of this one, and puts to use what they tell.
    pub(crate) async fn speak(self: Arc<Self>) {
        let clock = &self.dispatch.clock;
        let started_unix_ms = clock.unix_ms();
        let mut sequence = 0;
        let mut operators_behind = Behind::default();
        let mut upstreams_behind = Behind::default();
        let mut links = self.dispatch.peers.links();
        let mut linked_ms = clock.now_ms();
        let mut summed_ms = 0;
        loop {
            sequence += 1;
            // Listens from here on, so that no news is missed while this heartbeat is sent.
            let news = self.dispatch.next_notice();
            if clock.now_ms() - linked_ms >= LINKS_INTERVAL_MS || links.near.is_empty() {
                links = self.dispatch.peers.links();
                linked_ms = clock.now_ms();
                self.dispatch.is_large_fleet.store(links.is_large, Ordering::Release);
            }
            let options = &self.dispatch.options;
            let is_due = clock.now_ms() - summed_ms >= options.heartbeat_interval_ms;
            let heartbeat = self.heartbeat(started_unix_ms, sequence, is_due);
            if is_due && !links.far.is_empty() {
                let summary = self.dispatch.peers.summary(&heartbeat);
                self.send(news::Body::Summary(summary), &links.far).await;
            }
            if is_due {
                summed_ms = clock.now_ms();
            }
            self.send(news::Body::Heartbeat(heartbeat), &links.near).await;
            self.dispatch.peers.expire(options.peer_silence_ms);
            self.dispatch.apply_peer_updates();
            self.close_idle();
            self.share_reading(&links);
            let ahead = self
                .dispatch
                .peers
                .ahead(|daemon| daemon.operators_offset, |dc| dc.operators_offset);
            operators_behind.check(&self.dispatch, &self.operators, ahead, "/peer/operators");
            let ahead = self
                .dispatch
                .peers
                .ahead(|daemon| daemon.upstreams_offset, |dc| dc.upstreams_offset);
            upstreams_behind.check(&self.dispatch, &self.upstreams, ahead, "/peer/upstreams");
            let spacing_ms = SPACING_MS_PER_PEER * links.near.len() as u64;
            sleep_ms(spacing_ms).await;
            let rest_ms = options.heartbeat_interval_ms.saturating_sub(spacing_ms);
            // An error means that nothing new came.
            let _ = within(rest_ms, news).await;
        }
    }

    /// Passes on what this daemon reads of the store, in a fleet where few read, until the channel
    /// closes.
    pub(crate) async fn push(self: Arc<Self>, read: Receiver<TopicDelta>) {
        while let Ok(delta) = read.recv().await {
            let links = self.dispatch.peers.links();
            let is_short = delta.encoded_len() <= MOST_PUSHED_BYTES;
            if links.is_large && is_short {
                self.send(news::Body::Delta(delta), &links.near).await;
            }
        }
    }

    async fn send(&self, body: news::Body, to: &[SocketAddr]) {
        let bytes = News { body: Some(body) }.encode_to_vec();
        for addr in to {
            if let Err(error) = self.socket.send_to(&bytes, addr).await {
                log::debug!("no news to {addr}: {error}");
            }
        }
    }

    fn heartbeat(&self, started_unix_ms: u64, sequence: u64, is_due: bool) -> Heartbeat {
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
        let own = self.dispatch.peers.own_member();
        Heartbeat {
            daemon: own.daemon,
            data_centre: own.data_centre,
            started_unix_ms,
            sequence,
            operators_offset: offset_if_loaded(&self.operators),
            upstreams_offset: offset_if_loaded(&self.upstreams),
            engines: engines.collect(),
            services: services.collect(),
            members: self.dispatch.peers.some_members(sequence, TOLD_MEMBERS),
            store_answers: self.operators.answers() && self.upstreams.answers(),
            store_heard_age_ms: self.upstreams.heard_age_ms(),
            // News from afar is passed on at the usual pace, not with each of our own.
            summaries: if is_due { self.dispatch.peers.first_hand() } else { Vec::new() },
        }
    }

    /// Makes the first few daemons ask the store often, so that no change is missed for long when
    /// it has lost track of those who wait. In a large fleet the others do not ask at all while
    /// they hear of it. Two views of who is first do no harm.
    fn share_reading(&self, links: &Links) {
        let options = &self.dispatch.options;
        let readers = if links.is_large {
            options.store_readers_per_data_centre
        } else {
            options.store_readers
        };
        let is_reader = self.dispatch.peers.readers_before() < readers;
        let wait_ms = match (is_reader, links.is_large) {
            (true, _) => options.reader_wait_ms,
            (false, false) => options.store_wait_ms,
            (false, true) => Followed::NOT_READ_MS,
        };
        self.operators.set_wait_ms(wait_ms);
        self.upstreams.set_wait_ms(wait_ms);
    }

    /// Closes connections to upstreams that were kept too long.
    fn close_idle(&self) {
        let now_ms = self.dispatch.clock.now_ms();
        for upstream in self.dispatch.directory.load().all() {
            upstream.pool.expire(now_ms);
        }
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
                known = followed.next_offset(), fetched = is_fetched;
                "asked a peer that knows more");
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
