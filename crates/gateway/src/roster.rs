use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreymast_base::{DaemonName, DataCentre};
use comfreymast_decide::links::{LinkOptions, Member, links};
use comfreymast_decide::member_expiry::{MemberExpiryOptions, expired, is_fresh, last_seen_ms};
use comfreymast_decide::stream_origins::{OriginKey, holders};
use comfreymast_wire::news;

/// The daemons known to this one, directly or through reports of others.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    members: BTreeMap<DaemonName, Entry>,
    /// Addresses at which daemons of unknown name may listen.
    seeds: BTreeMap<SocketAddr, u64>,
}

#[derive(Debug)]
struct Entry {
    data_centre: DataCentre,
    addr: SocketAddr,
    last_seen_ms: u64,
}

/// Where a daemon sends its messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Links {
    /// Daemons that receive heartbeats.
    pub(crate) heartbeat_addrs: Vec<SocketAddr>,
    /// Daemons of other data centres that receive summaries; none in a small fleet.
    pub(crate) summary_addrs: Vec<SocketAddr>,
    /// True in a fleet too large for a full mesh.
    pub(crate) is_large: bool,
}

impl Roster {
    /// Adds a daemon that was reported at `now_ms`.
    pub(crate) fn add_member(&mut self, member: &news::Member, now_ms: u64) {
        let Ok(addr) = member.addr.parse() else { return };
        self.seeds.remove(&addr);
        let name = DaemonName::from(member.daemon.as_str());
        let data_centre = DataCentre::from(member.data_centre.as_str());
        let options = MemberExpiryOptions::default();
        let last_seen_ms = last_seen_ms(member.heard_age_ms, now_ms, &options);
        let known = self.members.get(&name);
        if known.is_none_or(|known| known.last_seen_ms < last_seen_ms) {
            self.members.insert(name, Entry { data_centre, addr, last_seen_ms });
        }
    }

    /// Adds an address at which a daemon may listen.
    pub(crate) fn add_seed(&mut self, addr: SocketAddr, now_ms: u64) {
        self.seeds.insert(addr, now_ms);
    }

    /// True if no other daemon is known, nor an address of one.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty() && self.seeds.is_empty()
    }

    /// Drops members and seeds that have expired.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let options = MemberExpiryOptions::default();
        self.seeds.retain(|_, last_seen_ms| is_fresh(*last_seen_ms, now_ms, &options));
        let members = self.members.iter();
        let members: Vec<_> =
            members.map(|(name, entry)| (name, &entry.data_centre, entry.last_seen_ms)).collect();
        for name in expired(&members, now_ms, &options) {
            self.members.remove(&name);
        }
    }

    /// Up to `count` members, starting at another one for each `round`, with the age of what is known of them at
    /// `now_ms`.
    pub(crate) fn sample(&self, round: u64, count: usize, now_ms: u64) -> Vec<news::Member> {
        let len = self.members.len();
        let from = if len == 0 { 0 } else { usize::try_from(round).unwrap_or(0) % len };
        let members = self.members.iter().cycle().skip(from).take(count.min(len));
        members.map(|(name, entry)| to_message(name, entry, now_ms)).collect()
    }

    /// The addresses of the `count` members that keep the record of a stream.
    pub(crate) fn holders(&self, key: &OriginKey, count: usize) -> Vec<SocketAddr> {
        let names = self.members.keys().map(DaemonName::as_str);
        let chosen = holders(key, names, count).into_iter();
        chosen.filter_map(|name| Some(self.members.get(&DaemonName::from(name))?.addr)).collect()
    }

    /// Where the daemon `me` sends its heartbeats and summaries.
    pub(crate) fn links(&self, me: &Member) -> Links {
        let mut members = vec![me.clone()];
        members.extend(self.members.iter().map(|(name, entry)| Member {
            name: name.clone(),
            data_centre: entry.data_centre.clone(),
        }));
        let options = LinkOptions::default();
        let is_large = members.len() > options.full_mesh_daemons;
        let linked = links(&options, me, &members);
        let entries = linked.iter().filter_map(|name| self.members.get(name));
        let (heartbeat_addrs, summary_addrs): (Vec<_>, Vec<_>) =
            entries.partition(|entry| !is_large || entry.data_centre == me.data_centre);
        let heartbeat_addrs = heartbeat_addrs.iter().map(|entry| entry.addr);
        Links {
            heartbeat_addrs: heartbeat_addrs.chain(self.seeds.keys().copied()).collect(),
            summary_addrs: summary_addrs.iter().map(|entry| entry.addr).collect(),
            is_large,
        }
    }
}

fn to_message(name: &DaemonName, entry: &Entry, now_ms: u64) -> news::Member {
    news::Member {
        daemon: name.as_str().to_owned(),
        data_centre: entry.data_centre.as_str().to_owned(),
        addr: entry.addr.to_string(),
        heard_age_ms: Some(now_ms.saturating_sub(entry.last_seen_ms)),
        ..news::Member::default()
    }
}
