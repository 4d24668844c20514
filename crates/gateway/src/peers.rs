use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::Clock;
use comfreymast_decide::links::Member;
use comfreymast_wire::news::{self, Heartbeat, Summary};

use crate::fleet_sum::FleetSum;
use crate::roster::{Links, Roster};

/// How old the news of a data centre may be before it counts for nothing.
const SUMMARY_SILENCE_MS: u64 = 3_000;

/// Other daemons, as heartbeats and summaries tell of them.
#[derive(Debug)]
pub(crate) struct Peers {
    clock: Clock,
    me: Member,
    own_addr: SocketAddr,
    /// True when something was heard since the last sum.
    has_news: AtomicBool,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    roster: Roster,
    by_name: BTreeMap<String, Peer>,
    /// The newest word of each other data centre, in a large fleet.
    summaries: BTreeMap<String, Told>,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    heard_ms: u64,
    heartbeat: Heartbeat,
}

#[derive(Debug)]
struct Told {
    addr: SocketAddr,
    heard_ms: u64,
    /// True when it came from the other data centre itself, so that peers here want it.
    is_first_hand: bool,
    summary: Summary,
}

impl Peers {
    /// No peers yet of the daemon `me`, which listens at `own_addr`.
    pub(crate) fn new(clock: Clock, me: Member, own_addr: SocketAddr) -> Self {
        Self { clock, me, own_addr, has_news: AtomicBool::new(true), table: Mutex::default() }
    }

    /// Takes in an address at which a daemon may listen.
    pub(crate) fn seed(&self, addr: SocketAddr) {
        if addr != self.own_addr {
            let now_ms = self.clock.now_ms();
            self.table().roster.seed(addr, now_ms);
        }
    }

    /// Takes in daemons of which another one told.
    pub(crate) fn meet<'a>(&self, members: impl IntoIterator<Item = &'a news::Member>) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        for member in members {
            if member.daemon != self.me.name.as_str() {
                table.roster.meet(member, now_ms);
            }
        }
    }

    /// This daemon as others are told of it.
    pub(crate) fn own_member(&self) -> news::Member {
        news::Member {
            daemon: self.me.name.as_str().to_owned(),
            data_centre: self.me.data_centre.as_str().to_owned(),
            addr: self.own_addr.to_string(),
        }
    }

    /// Some of the daemons that are known, another few at each `turn`.
    pub(crate) fn some_members(&self, turn: u64, count: usize) -> Vec<news::Member> {
        self.table().roster.some(turn, count)
    }

    /// Where this daemon sends its news.
    pub(crate) fn links(&self) -> Links {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        table.roster.expire(now_ms);
        table.roster.links(&self.me)
    }

    /// Takes in a heartbeat; an older one than the last of its daemon changes nothing.
    pub(crate) fn hear(&self, addr: SocketAddr, mut heartbeat: Heartbeat) {
        let sender = news::Member {
            daemon: heartbeat.daemon.clone(),
            data_centre: heartbeat.data_centre.clone(),
            addr: addr.to_string(),
        };
        self.meet(heartbeat.members.iter().filter(|member| member.daemon != sender.daemon));
        self.meet([&sender]);
        for summary in std::mem::take(&mut heartbeat.summaries) {
            self.hear_summary(addr, summary, false);
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
                "peer heard");
        }
        table.by_name.insert(name, Peer { addr, heard_ms: now_ms, heartbeat });
        self.has_news.store(true, Ordering::Release);
    }

    /// Takes in the word of another data centre; an older one changes nothing.
    pub(crate) fn hear_summary(&self, addr: SocketAddr, summary: Summary, is_first_hand: bool) {
        if summary.data_centre == self.me.data_centre.as_str() {
            return;
        }
        self.meet(&summary.members);
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        let known = table.summaries.get(&summary.data_centre);
        if known.is_some_and(|told| told.summary.made_unix_ms >= summary.made_unix_ms) {
            return;
        }
        let told = Told { addr, heard_ms: now_ms, is_first_hand, summary };
        table.summaries.insert(told.summary.data_centre.clone(), told);
        self.has_news.store(true, Ordering::Release);
    }

    /// Drops peers that were not heard for `silence_ms`, and data centres that were not.
    pub(crate) fn expire(&self, silence_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table();
        table.by_name.retain(|name, peer| {
            let is_alive = now_ms.saturating_sub(peer.heard_ms) < silence_ms;
            if !is_alive {
                self.has_news.store(true, Ordering::Release);
                log::info!(target: "comfreymast", code = 1502, peer = name.as_str();
                    "peer silent");
            }
            is_alive
        });
        table.summaries.retain(|_, told| now_ms.saturating_sub(told.heard_ms) < SUMMARY_SILENCE_MS);
    }

    /// What all other daemons run and send; `None` when nothing was heard since the last time.
    pub(crate) fn new_sum(&self) -> Option<FleetSum> {
        if !self.has_news.swap(false, Ordering::AcqRel) {
            return None;
        }
        let table = self.table();
        let mut sum = FleetSum::default();
        for peer in table.by_name.values() {
            sum.add(&peer.heartbeat.engines, &peer.heartbeat.services);
        }
        for told in table.summaries.values() {
            sum.add(&told.summary.engines, &told.summary.services);
        }
        Some(sum)
    }

    /// The word of this data centre for others: `own` and what its other daemons say.
    pub(crate) fn summary(&self, own: &Heartbeat) -> Summary {
        let table = self.table();
        let mut sum = FleetSum::default();
        sum.add(&own.engines, &own.services);
        let mut summary = Summary {
            data_centre: own.data_centre.clone(),
            made_unix_ms: self.clock.unix_ms(),
            operators_offset: own.operators_offset,
            upstreams_offset: own.upstreams_offset,
            store_heard_age_ms: own.store_heard_age_ms,
            members: vec![self.own_member()],
            ..Summary::default()
        };
        for peer in table.by_name.values() {
            let heartbeat = &peer.heartbeat;
            if heartbeat.data_centre != own.data_centre {
                continue;
            }
            sum.add(&heartbeat.engines, &heartbeat.services);
            summary.operators_offset = summary.operators_offset.max(heartbeat.operators_offset);
            summary.upstreams_offset = summary.upstreams_offset.max(heartbeat.upstreams_offset);
            summary.store_heard_age_ms =
                summary.store_heard_age_ms.min(heartbeat.store_heard_age_ms);
            summary.members.push(news::Member {
                daemon: heartbeat.daemon.clone(),
                data_centre: heartbeat.data_centre.clone(),
                addr: peer.addr.to_string(),
            });
        }
        summary.engines = sum.engine_uses();
        summary.services = sum.service_traffic();
        summary
    }

    /// What came from other data centres themselves, for the peers here.
    pub(crate) fn first_hand(&self) -> Vec<Summary> {
        let table = self.table();
        let told = table.summaries.values().filter(|told| told.is_first_hand);
        told.map(|told| told.summary.clone()).collect()
    }

    /// A peer or data centre that knows most of a topic, and how far it is. One of several is drawn
    /// at random, so that not all daemons that are behind ask the same.
    pub(crate) fn ahead(
        &self,
        of_daemon: impl Fn(&Heartbeat) -> u64,
        of_data_centre: impl Fn(&Summary) -> u64,
    ) -> Option<(SocketAddr, u64)> {
        let table = self.table();
        let daemons = table.by_name.values().map(|peer| (peer.addr, of_daemon(&peer.heartbeat)));
        let centres =
            table.summaries.values().map(|told| (told.addr, of_data_centre(&told.summary)));
        daemons.chain(centres).max_by_key(|(_, offset)| (*offset, rand::random::<u32>()))
    }

    /// The time since the store last answered any living peer; `None` without peers.
    pub(crate) fn store_heard_age_ms(&self) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let table = self.table();
        let daemons = table
            .by_name
            .values()
            .map(|peer| peer.heartbeat.store_heard_age_ms + now_ms.saturating_sub(peer.heard_ms));
        let centres = table
            .summaries
            .values()
            .map(|told| told.summary.store_heard_age_ms + now_ms.saturating_sub(told.heard_ms));
        daemons.chain(centres).min()
    }

    /// How many living daemons that the store answers come before this one; only those of its data
    /// centre in a large fleet.
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
