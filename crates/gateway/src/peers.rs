use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::Service;
use comfreymast_base::{Clock, StorePosition};
use comfreymast_decide::forward_choice::{PeerView, choose_peer};
use comfreymast_decide::links::Member;
use comfreymast_decide::stream_origins::OriginKey;
use comfreymast_decide::topic_source::{SourceView, choose_source};
use comfreymast_wire::news::{self, Heartbeat, Summary};

use crate::departed_traffic::DepartedTraffic;
use crate::fleet_sum::FleetSum;
use crate::roster::{Links, Roster};
use crate::topic_positions::TopicPositions;

/// The age at which the summary of a data centre is dropped.
const MAX_SUMMARY_AGE_MS: u64 = 3_000;

/// The state of other daemons, as reported by heartbeats and summaries.
#[derive(Debug)]
pub(crate) struct Peers {
    clock: Clock,
    me: Member,
    own_addr: SocketAddr,
    /// True when a peer was updated or dropped since the last sum.
    is_changed: AtomicBool,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    roster: Roster,
    by_name: BTreeMap<String, Peer>,
    /// The newest summary of each other data centre, in a large fleet.
    summaries: BTreeMap<String, ReceivedSummary>,
    departed: DepartedTraffic,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    received_ms: u64,
    heartbeat: Heartbeat,
}

#[derive(Debug)]
struct ReceivedSummary {
    addr: SocketAddr,
    received_ms: u64,
    /// True when the other data centre sent it to this daemon, so it is relayed to peers here.
    is_direct: bool,
    summary: Summary,
}

impl Peer {
    /// True if it was heard lately.
    fn is_heard(&self, now_ms: u64) -> bool {
        const MAX_HEARTBEAT_AGE_MS: u64 = 600;
        now_ms.saturating_sub(self.received_ms) < MAX_HEARTBEAT_AGE_MS
    }
}

impl Table {
    /// The daemons that reach upstreams of `service`, as far as is known.
    fn forward_candidates<'a>(
        &'a self,
        me: &'a Member,
        service: &'a Service,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddr, PeerView)> + 'a {
        let reaches = move |lost: &[String]| !lost.iter().any(|lost| lost == service.as_str());
        let peers = self.by_name.values().filter(move |peer| peer.is_heard(now_ms));
        let peers = peers.filter(|peer| !peer.heartbeat.is_draining);
        let peers = peers.filter(move |peer| reaches(&peer.heartbeat.lost_services));
        let peers = peers.map(|peer| {
            let is_near = peer.heartbeat.data_centre == me.data_centre.as_str();
            (peer.addr, PeerView { calls: peer.heartbeat.calls, is_near })
        });
        let elsewhere = self.summaries.values().flat_map(|received| &received.summary.members);
        let elsewhere = elsewhere.filter(move |member| reaches(&member.lost_services));
        let elsewhere = elsewhere.filter_map(|member| {
            Some((member.addr.parse().ok()?, PeerView { calls: 0, is_near: false }))
        });
        peers.chain(elsewhere)
    }
}

impl Peers {
    /// An empty table for the daemon `me`, which listens at `own_addr`.
    pub(crate) fn new(clock: Clock, me: Member, own_addr: SocketAddr) -> Self {
        Self { clock, me, own_addr, is_changed: AtomicBool::new(true), table: Mutex::default() }
    }

    /// Adds an address at which a daemon may listen.
    pub(crate) fn add_seed(&self, addr: SocketAddr) {
        if addr != self.own_addr {
            let now_ms = self.clock.now_ms();
            self.table().roster.add_seed(addr, now_ms);
        }
    }

    /// Adds daemons that another one reported.
    pub(crate) fn add_members<'a>(&self, members: impl IntoIterator<Item = &'a news::Member>) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        for member in members {
            if member.daemon != self.me.name.as_str() {
                table.roster.add_member(member, now_ms);
            }
        }
    }

    /// This daemon, as it is described to others.
    pub(crate) fn own_member(&self) -> news::Member {
        news::Member {
            daemon: self.me.name.as_str().to_owned(),
            data_centre: self.me.data_centre.as_str().to_owned(),
            addr: self.own_addr.to_string(),
            lost_services: Vec::new(),
            records_versions: false,
        }
    }

    /// Calls `use_names` with the names of all daemons that are known to live, this one too.
    pub(crate) fn with_names<T>(
        &self,
        use_names: impl FnOnce(&mut dyn Iterator<Item = &str>) -> T,
    ) -> T {
        let table = self.table();
        let elsewhere = table.summaries.values().flat_map(|received| &received.summary.members);
        let peers = table.by_name.keys().map(String::as_str);
        let mut names = peers.chain(elsewhere.map(|member| member.daemon.as_str()));
        let own = std::iter::once(self.me.name.as_str());
        use_names(&mut own.chain(&mut names))
    }

    /// Up to `count` daemons that were heard lately, drawn at random.
    pub(crate) fn live_addrs(&self, count: usize) -> Vec<SocketAddr> {
        let now_ms = self.clock.now_ms();
        let table = self.table();
        let live = table.by_name.values().filter(|peer| peer.is_heard(now_ms));
        let elsewhere = table.summaries.values().flat_map(|received| &received.summary.members);
        let elsewhere = elsewhere.filter_map(|member| member.addr.parse().ok());
        let mut addrs: Vec<_> = live.map(|peer| peer.addr).chain(elsewhere).collect();
        drop(table);
        addrs.sort_by_cached_key(|_| rand::random::<u32>());
        addrs.truncate(count);
        addrs
    }

    /// The daemon to which a call of `service` is forwarded: one that was heard lately, reaches upstreams of
    /// that service and is none of `asked`.
    pub(crate) fn forward_target(
        &self,
        service: &Service,
        asked: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let now_ms = self.clock.now_ms();
        let table = self.table();
        let candidates: Vec<_> = table
            .forward_candidates(&self.me, service, now_ms)
            .filter(|(addr, _)| !asked.contains(addr))
            .collect();
        let views: Vec<_> = candidates.iter().map(|(_, view)| *view).collect();
        let chosen = choose_peer(&views, |_| rand::random())?;
        candidates.get(chosen).map(|(addr, _)| *addr)
    }

    /// Up to `count` known daemons, starting at another one for each `round`.
    pub(crate) fn sample_members(&self, round: u64, count: usize) -> Vec<news::Member> {
        self.table().roster.sample(round, count)
    }

    /// Where the record of a stream is kept, besides here: `count` other daemons.
    pub(crate) fn holders(&self, key: &OriginKey, count: usize) -> Vec<SocketAddr> {
        self.table().roster.holders(key, count)
    }

    /// Where this daemon sends its heartbeats and summaries.
    pub(crate) fn links(&self) -> Links {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        table.roster.expire(now_ms);
        table.roster.links(&self.me)
    }

    /// Applies a heartbeat if it is newer than the last one of its daemon.
    pub(crate) fn apply_heartbeat(&self, addr: SocketAddr, mut heartbeat: Heartbeat) {
        let sender = news::Member {
            daemon: heartbeat.daemon.clone(),
            data_centre: heartbeat.data_centre.clone(),
            addr: addr.to_string(),
            lost_services: Vec::new(),
            records_versions: false,
        };
        self.add_members(heartbeat.members.iter().filter(|member| member.daemon != sender.daemon));
        self.add_members([&sender]);
        for summary in std::mem::take(&mut heartbeat.summaries) {
            self.apply_summary(addr, summary, false);
        }
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        let key = (heartbeat.started_unix_ms, heartbeat.sequence);
        let known = table.by_name.get(&heartbeat.daemon);
        let is_newer = known
            .is_none_or(|peer| key > (peer.heartbeat.started_unix_ms, peer.heartbeat.sequence));
        if !is_newer {
            return;
        }
        let name = heartbeat.daemon.clone();
        if known.is_none() {
            log::info!(target: "comfreymast", code = 1501, peer = name.as_str(), addr:%;
                "peer discovered");
        }
        table.departed.remove(&heartbeat);
        let started_unix_ms = heartbeat.started_unix_ms;
        let peer = Peer { addr, received_ms: now_ms, heartbeat };
        if let Some(before) = table.by_name.insert(name, peer)
            && before.heartbeat.started_unix_ms != started_unix_ms
        {
            table.departed.keep(before.heartbeat, before.received_ms);
        }
        self.is_changed.store(true, Ordering::Release);
    }

    /// Applies the summary of another data centre if it is newer than the last one.
    pub(crate) fn apply_summary(&self, addr: SocketAddr, summary: Summary, is_direct: bool) {
        if summary.data_centre == self.me.data_centre.as_str() {
            return;
        }
        self.add_members(&summary.members);
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        let known = table.summaries.get(&summary.data_centre);
        if known.is_some_and(|received| received.summary.made_unix_ms >= summary.made_unix_ms) {
            return;
        }
        let received = ReceivedSummary { addr, received_ms: now_ms, is_direct, summary };
        table.summaries.insert(received.summary.data_centre.clone(), received);
        self.is_changed.store(true, Ordering::Release);
    }

    /// Drops peers that sent no heartbeat for `silence_ms`, and summaries that are too old. What
    /// those peers counted is kept for `window_ms`.
    pub(crate) fn expire(&self, silence_ms: u64, window_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        let is_gone = |peer: &Peer| now_ms.saturating_sub(peer.received_ms) >= silence_ms;
        let gone: Vec<_> = table.by_name.extract_if(.., |_, peer| is_gone(peer)).collect();
        for (name, peer) in gone {
            self.is_changed.store(true, Ordering::Release);
            log::info!(target: "comfreymast", code = 1502, peer = name.as_str();
                "peer timed out");
            table.departed.keep(peer.heartbeat, peer.received_ms);
        }
        if table.departed.expire(now_ms, window_ms) {
            self.is_changed.store(true, Ordering::Release);
        }
        table
            .summaries
            .retain(|_, received| now_ms.saturating_sub(received.received_ms) < MAX_SUMMARY_AGE_MS);
    }

    /// The load and traffic of all other daemons; `None` when nothing changed since the last call.
    pub(crate) fn new_sum(&self) -> Option<FleetSum> {
        if !self.is_changed.swap(false, Ordering::AcqRel) {
            return None;
        }
        let table = self.table();
        let now_ms = self.clock.now_ms();
        let mut sum = FleetSum::default();
        for peer in table.by_name.values() {
            sum.add(&peer.heartbeat.engines, &peer.heartbeat.services);
            sum.add_limits(&peer.heartbeat.limits, peer.received_ms);
            let age_ms = now_ms.saturating_sub(peer.received_ms);
            sum.queues.add(&peer.heartbeat.queues, age_ms);
        }
        for services in table.departed.services() {
            sum.add(&[], services);
        }
        for received in table.summaries.values() {
            sum.add(&received.summary.engines, &received.summary.services);
            sum.add_limits(&received.summary.limits, received.received_ms);
            let age_ms = now_ms.saturating_sub(received.received_ms);
            sum.queues.add(&received.summary.queues, age_ms);
        }
        Some(sum)
    }

    /// The summary of this data centre for others: `own` and the heartbeats of its other daemons.
    pub(crate) fn summary(&self, own: &Heartbeat) -> Summary {
        let table = self.table();
        let mut sum = FleetSum::default();
        sum.add(&own.engines, &own.services);
        let now_ms = self.clock.now_ms();
        sum.add_limits(&own.limits, now_ms);
        sum.queues.add(&own.queues, 0);
        let mut summary = Summary {
            data_centre: own.data_centre.clone(),
            made_unix_ms: self.clock.unix_ms(),
            store_heard_age_ms: own.store_heard_age_ms,
            members: vec![news::Member {
                lost_services: own.lost_services.clone(),
                ..self.own_member()
            }],
            ..Summary::default()
        };
        let mut positions = TopicPositions::of(own);
        for peer in table.by_name.values() {
            let heartbeat = &peer.heartbeat;
            if heartbeat.data_centre != own.data_centre {
                continue;
            }
            sum.add(&heartbeat.engines, &heartbeat.services);
            sum.add_limits(&heartbeat.limits, peer.received_ms);
            sum.queues.add(&heartbeat.queues, now_ms.saturating_sub(peer.received_ms));
            positions = positions.max_each(&TopicPositions::of(heartbeat));
            summary.store_heard_age_ms =
                summary.store_heard_age_ms.min(heartbeat.store_heard_age_ms);
            summary.members.push(news::Member {
                daemon: heartbeat.daemon.clone(),
                data_centre: heartbeat.data_centre.clone(),
                addr: peer.addr.to_string(),
                lost_services: heartbeat.lost_services.clone(),
                records_versions: false,
            });
        }
        for services in table.departed.services() {
            sum.add(&[], services);
        }
        positions.write_to(&mut summary);
        summary.engines = sum.engine_uses();
        summary.services = sum.service_traffic();
        summary.limits = sum.limit_news(now_ms);
        summary.queues = sum.queues.messages();
        summary
    }

    /// The summaries that other data centres sent to this daemon, to relay to peers here.
    pub(crate) fn direct_summaries(&self) -> Vec<Summary> {
        let table = self.table();
        let received = table.summaries.values().filter(|received| received.is_direct);
        received.map(|received| received.summary.clone()).collect()
    }

    /// A peer to fetch a topic from, none of those `asked`, and how far it is: further than `known`. Daemons
    /// that are behind draw theirs at random, so that they do not all ask the same one.
    pub(crate) fn topic_source(
        &self,
        of_topic: impl Fn(TopicPositions) -> StorePosition,
        known: StorePosition,
        asked: &[SocketAddr],
    ) -> Option<(SocketAddr, StorePosition)> {
        let table = self.table();
        let daemons = table.by_name.values().map(|peer| {
            let position = of_topic(TopicPositions::of(&peer.heartbeat));
            (peer.addr, SourceView { position, is_own_word: true })
        });
        let data_centres = table.summaries.values().map(|received| {
            let position = of_topic(TopicPositions::of_data_centre(&received.summary));
            (received.addr, SourceView { position, is_own_word: false })
        });
        let unasked = daemons.chain(data_centres).filter(|(addr, _)| !asked.contains(addr));
        let (addrs, sources): (Vec<_>, Vec<_>) = unasked.unzip();
        let chosen = choose_source(&sources, known, |_| rand::random())?;
        Some((addrs[chosen], sources[chosen].position))
    }

    /// A peer that keeps records which the store has lost.
    pub(crate) fn keeper_of_lost_records(&self) -> Option<SocketAddr> {
        let table = self.table();
        let keeper = table.by_name.values().find(|peer| peer.heartbeat.keeps_lost_records)?;
        Some(keeper.addr)
    }

    /// The time since the store last answered any live peer; `None` without peers.
    pub(crate) fn store_answer_age_ms(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let table = self.table();
        let daemons = table.by_name.values().map(|peer| {
            peer.heartbeat.store_heard_age_ms + now_ms.saturating_sub(peer.received_ms)
        });
        let data_centres = table.summaries.values().map(|received| {
            received.summary.store_heard_age_ms + now_ms.saturating_sub(received.received_ms)
        });
        daemons.chain(data_centres).min()
    }

    /// The longest time for which any other daemon has run.
    pub(crate) fn longest_uptime_ms(&self) -> u64 {
        let table = self.table();
        table.by_name.values().map(|peer| peer.heartbeat.uptime_ms).max().unwrap_or(0)
    }

    /// How many other daemons there are, as far as this one knows.
    pub(crate) fn count(&self) -> usize {
        let table = self.table();
        let elsewhere = table.summaries.values().map(|received| received.summary.members.len());
        table.by_name.len() + elsewhere.sum::<usize>()
    }

    /// How many live daemons that the store answers come before this one by name. A large fleet
    /// counts only those of its own data centre.
    pub(crate) fn readers_before(&self) -> usize {
        let table = self.table();
        let before =
            table.by_name.iter().take_while(|(name, _)| name.as_str() < self.me.name.as_str());
        before.filter(|(_, peer)| peer.heartbeat.store_answers).count()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
