use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_net::UdpSocket;
use comfreymast_net::{Body, empty, sleep_ms, within};
use comfreymast_wire::news::{EngineUse, Heartbeat, News, ServiceTraffic, Topic, TopicDelta, news};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prost::Message;

use crate::dispatch::Dispatch;
use crate::end_witness::{DIAL_PATH, answer_dial};
use crate::fleet_sum::generation_use;
use crate::followed_topic::FollowedTopic;
use crate::forward::{FORWARD_PATH, answer_forwarded};
use crate::lag_monitor::{LagMonitor, MonitoredTopic};
use crate::outbox::{Destination, Origin};
use crate::quarantine;
use crate::room::queue_message;
use crate::roster::Links;
use crate::stream_origin;
use crate::topic_positions::TopicPositions;
use crate::topic_server::TopicServer;

const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Longer batches of records are not pushed; peers fetch them instead.
const MAX_PUSHED_BYTES: usize = 32 * 1024;
/// The pause after a failed receive.
const RECEIVE_PAUSE_MS: u64 = 150;
const OPERATORS_PATH: &str = "/peer/operators";
const UPSTREAMS_PATH: &str = "/peer/upstreams";
const QUARANTINES_PATH: &str = "/peer/quarantines";
/// The minimum time between two heartbeats, per peer that receives them.
const SPACING_MS_PER_PEER: u64 = 2;
/// Time between two updates of the links.
const LINKS_INTERVAL_MS: u64 = 1_000;
/// How many members one heartbeat lists.
const MEMBERS_PER_HEARTBEAT: usize = 8;

/// Exchanges heartbeats, summaries and store updates with other daemons.
pub(crate) struct Exchange {
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) operators: Arc<FollowedTopic>,
    pub(crate) upstreams: Arc<FollowedTopic>,
    pub(crate) quarantines: Arc<FollowedTopic>,
    /// Hands topics on to peers.
    pub(crate) topics: TopicServer,
    pub(crate) socket: UdpSocket,
}

impl Exchange {
    /// Receives messages of other daemons for as long as this one runs.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, addr)) => match News::decode(&buffer[..length]) {
                    Ok(message) => self.apply(addr, message),
                    Err(error) => {
                        log::warn!(target: "comfreymast", code = 1503, addr:%, error:%;
                            "peer datagram cannot be decoded");
                    }
                },
                Err(error) => {
                    log::warn!(target: "comfreymast", code = 1504, error:%;
                        "peer datagrams cannot be received");
                    sleep_ms(RECEIVE_PAUSE_MS).await;
                }
            }
        }
    }

    fn apply(&self, addr: SocketAddr, message: News) {
        match message.body {
            Some(news::Body::Heartbeat(heartbeat)) => {
                self.dispatch.peers.apply_heartbeat(addr, heartbeat);
                self.dispatch.directory.notify_rooms();
            }
            Some(news::Body::Summary(summary)) => {
                self.dispatch.peers.apply_summary(addr, summary, true);
                self.dispatch.directory.notify_rooms();
            }
            Some(news::Body::Delta(delta)) => match delta.topic() {
                Topic::Operators => self.operators.apply_delta(delta),
                Topic::Upstreams => self.upstreams.apply_delta(delta),
                Topic::Quarantines => self.quarantines.apply_delta(delta),
                Topic::Unspecified => {}
            },
            Some(news::Body::Suspicion(suspicion)) => {
                quarantine::handle_suspicion(&self.dispatch, suspicion)
            }
            Some(news::Body::Exoneration(exoneration)) => {
                quarantine::handle_exoneration(&self.dispatch, exoneration)
            }
            Some(news::Body::StreamOrigin(origin)) => {
                stream_origin::handle_origin(&self.dispatch, &origin)
            }
            Some(news::Body::OriginQuery(query)) => {
                stream_origin::handle_query(&self.dispatch, addr, &query)
            }
            Some(news::Body::OriginReply(reply)) => {
                stream_origin::handle_reply(&self.dispatch, &reply)
            }
            None => {}
        }
    }

    /// Sends heartbeats and summaries to other daemons, and applies what was received from them.
    pub(crate) async fn send_heartbeats(self: Arc<Self>) {
        let clock = &self.dispatch.clock;
        let started_unix_ms = clock.unix_ms();
        let mut sequence = 0;
        let mut lag_monitors = self.lag_monitors();
        let mut links = self.dispatch.peers.links();
        let mut links_updated_ms = clock.now_ms();
        let mut last_summary_ms = 0;
        loop {
            sequence += 1;
            // Registered before the heartbeat is sent, so that no later change is missed.
            let notice = self.dispatch.next_notice();
            if clock.now_ms() - links_updated_ms >= LINKS_INTERVAL_MS
                || links.heartbeat_addrs.is_empty()
            {
                links = self.dispatch.peers.links();
                links_updated_ms = clock.now_ms();
                self.dispatch.is_large_fleet.store(links.is_large, Ordering::Release);
            }
            let options = &self.dispatch.options;
            let is_summary_due = clock.now_ms() - last_summary_ms >= options.heartbeat_interval_ms;
            let heartbeat = self.heartbeat(started_unix_ms, sequence, is_summary_due);
            if is_summary_due && !links.summary_addrs.is_empty() {
                let summary = self.dispatch.peers.summary(&heartbeat);
                self.send(news::Body::Summary(summary), &links.summary_addrs).await;
            }
            if is_summary_due {
                last_summary_ms = clock.now_ms();
            }
            self.send(news::Body::Heartbeat(heartbeat), &links.heartbeat_addrs).await;
            let window_ms = self.dispatch.settings.load().retry_window_ms;
            self.dispatch.peers.expire(options.peer_silence_ms, window_ms);
            self.dispatch.apply_peer_updates();
            self.close_expired();
            self.update_store_wait(&links);
            lag_monitors.iter_mut().for_each(LagMonitor::check);
            let spacing_ms = SPACING_MS_PER_PEER * links.heartbeat_addrs.len() as u64;
            sleep_ms(spacing_ms).await;
            let remaining_ms = options.heartbeat_interval_ms.saturating_sub(spacing_ms);
            // A timeout means that there is nothing new to send.
            let _ = within(remaining_ms, notice).await;
        }
    }

    /// A monitor of each topic that peers hand on.
    fn lag_monitors(&self) -> [LagMonitor; 3] {
        let monitor = |followed: &Arc<FollowedTopic>, path, position_of| {
            let (dispatch, followed) = (self.dispatch.clone(), followed.clone());
            LagMonitor::new(MonitoredTopic { dispatch, followed, path, position_of })
        };
        [
            monitor(&self.operators, OPERATORS_PATH, |known| known.operators),
            monitor(&self.upstreams, UPSTREAMS_PATH, |known| known.upstreams),
            monitor(&self.quarantines, QUARANTINES_PATH, |known| known.quarantines),
        ]
    }

    /// Pushes records read from the store to peers until the channel closes. Only in a large fleet,
    /// where few daemons read the store. Peers learn of longer changes from an early heartbeat, and fetch
    /// them.
    pub(crate) async fn push_deltas(self: Arc<Self>, deltas: Receiver<TopicDelta>) {
        while let Ok(delta) = deltas.recv().await {
            let links = self.dispatch.peers.links();
            let is_short = delta.encoded_len() <= MAX_PUSHED_BYTES;
            if !is_short {
                self.dispatch.notify_peers();
            } else if links.is_large {
                self.send(news::Body::Delta(delta), &links.heartbeat_addrs).await;
            }
        }
    }

    /// Sends the messages of the outbox for as long as the daemon runs.
    pub(crate) async fn push_messages(self: Arc<Self>) {
        while let Some((body, destination)) = self.dispatch.outbox.next().await {
            let origin = match destination {
                Destination::Peer(addr) => {
                    self.send(body, &[addr]).await;
                    continue;
                }
                Destination::Links(origin) => origin,
            };
            let links = self.dispatch.peers.links();
            // In a full mesh, the daemon that a message comes from has sent it to all others.
            let is_known_here = origin == Origin::OwnDataCentre;
            if origin == Origin::Own || (links.is_large && !is_known_here) {
                self.send(body.clone(), &links.heartbeat_addrs).await;
            }
            self.send(body, &links.summary_addrs).await;
        }
    }

    async fn send(&self, body: news::Body, to: &[SocketAddr]) {
        let bytes = News { body: Some(body) }.encode_to_vec();
        for addr in to {
            if let Err(error) = self.socket.send_to(&bytes, addr).await {
                log::debug!("cannot send to peer {addr}: {error}");
            }
        }
    }

    fn heartbeat(&self, started_unix_ms: u64, sequence: u64, is_summary_due: bool) -> Heartbeat {
        let now_ms = self.dispatch.clock.now_ms();
        let directory = self.dispatch.directory.load();
        let engines = directory.all().filter_map(|upstream| {
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
                repeats: u32::try_from(traffic.retries).unwrap_or(u32::MAX),
            });
        let limits = directory.all().filter_map(|upstream| {
            let told = upstream.limit.own_news(now_ms)?;
            Some(told.message(upstream.record.name.as_str().to_owned(), now_ms))
        });
        let lost_services = directory.lost_services();
        let queues = self.dispatch.rooms.loads().into_iter();
        let queues = queues.map(|(service, loads)| queue_message(service.as_str(), &loads, 0));
        let calls = directory.all().map(|upstream| upstream.outstanding.load(Ordering::Acquire));
        let own = self.dispatch.peers.own_member();
        let positions = TopicPositions {
            operators: self.operators.position_if_loaded(),
            upstreams: self.upstreams.position_if_loaded(),
            quarantines: self.quarantines.position_if_loaded(),
        };
        let mut heartbeat = Heartbeat {
            daemon: own.daemon,
            data_centre: own.data_centre,
            started_unix_ms,
            sequence,
            engines: engines.collect(),
            services: services.collect(),
            limits: limits.collect(),
            queues: queues.collect(),
            uptime_ms: now_ms,
            lost_services: lost_services.iter().map(|name| name.as_str().to_owned()).collect(),
            is_draining: self.dispatch.is_draining(),
            calls: calls.sum(),
            members: self.dispatch.peers.sample_members(sequence, MEMBERS_PER_HEARTBEAT),
            store_answers: self.operators.store_answers() && self.upstreams.store_answers(),
            store_heard_age_ms: self.upstreams.answer_age_ms(),
            // Summaries are relayed at the heartbeat interval, not with each early heartbeat.
            summaries: if is_summary_due {
                self.dispatch.peers.direct_summaries()
            } else {
                Vec::new()
            },
            ..Heartbeat::default()
        };
        let topics = [&self.operators, &self.upstreams, &self.quarantines];
        heartbeat.keeps_lost_records = topics.iter().any(|topic| topic.keeps_lost_records());
        positions.write_to_heartbeat(&mut heartbeat);
        heartbeat
    }

    /// Makes the first few daemons by name query the store often, so that no change is missed for
    /// long when it loses track of waiting readers. In a large fleet the others do not query it
    /// while peers keep them up to date. It is harmless when daemons disagree on who is first.
    fn update_store_wait(&self, links: &Links) {
        let options = &self.dispatch.options;
        if self.dispatch.is_awaiting_peers() {
            return;
        }
        let wait_ms = match (self.dispatch.is_store_reader(), links.is_large) {
            (true, _) => options.reader_wait_ms,
            (false, false) => options.store_wait_ms,
            (false, true) => FollowedTopic::NOT_READING_MS,
        };
        self.operators.set_wait_ms(wait_ms);
        self.upstreams.set_wait_ms(wait_ms);
        // Peers tell each other of quarantines, so a reader that the store forgets is no harm.
        self.quarantines.set_wait_ms(wait_ms.max(options.store_wait_ms));
    }

    /// Closes connections to upstreams that were idle for too long.
    fn close_expired(&self) {
        let now_ms = self.dispatch.clock.now_ms();
        for upstream in self.dispatch.directory.load().all() {
            upstream.pool.expire(now_ms);
        }
        self.dispatch.forward_pools.expire(now_ms);
    }

    /// Answers HTTP requests of peers and of metrics scrapers.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/metrics" => self.dispatch.metrics.response(),
            FORWARD_PATH => answer_forwarded(self.dispatch.clone(), request).await,
            OPERATORS_PATH => self.topics.answer(&self.operators, &request),
            QUARANTINES_PATH => self.topics.answer(&self.quarantines, &request),
            UPSTREAMS_PATH => self.topics.answer(&self.upstreams, &request),
            path => {
                if let Some(name) = path.strip_prefix(DIAL_PATH) {
                    return answer_dial(&self.dispatch, name).await;
                }
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}
