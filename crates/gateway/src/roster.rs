use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreymast_base::{DaemonName, DataCentre};
use comfreymast_decide::links::{LinkOptions, Member, links};
use comfreymast_wire::news;

/// How long a daemon is remembered that nobody has heard of.
const FORGET_MS: u64 = 30_000;

/// The daemons that this one knows, heard or told of.
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
    known_ms: u64,
}

/// Where news goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Links {
    /// Daemons that get heartbeats.
    pub(crate) near: Vec<SocketAddr>,
    /// Daemons of other data centres that get summaries; none in a small fleet.
    pub(crate) far: Vec<SocketAddr>,
    /// True in a fleet too large for a full mesh.
    pub(crate) is_large: bool,
}

impl Roster {
    /// Takes in a daemon that was heard or told of at `now_ms`.
    pub(crate) fn meet(&mut self, member: &news::Member, now_ms: u64) {
        let Ok(addr) = member.addr.parse() else { return };
        self.seeds.remove(&addr);
        let name = DaemonName::from(member.daemon.as_str());
        let data_centre = DataCentre::from(member.data_centre.as_str());
        self.members.insert(name, Entry { data_centre, addr, known_ms: now_ms });
    }

    /// Takes in an address at which a daemon may listen.
    pub(crate) fn seed(&mut self, addr: SocketAddr, now_ms: u64) {
        self.seeds.insert(addr, now_ms);
    }

    /// Forgets daemons that nobody has heard of for long.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let is_known = |known_ms: u64| now_ms.saturating_sub(known_ms) < FORGET_MS;
        self.members.retain(|_, entry| is_known(entry.known_ms));
        self.seeds.retain(|_, known_ms| is_known(*known_ms));
    }

    /// Some of the members, another few at each `turn`.
    pub(crate) fn some(&self, turn: u64, count: usize) -> Vec<news::Member> {
        let len = self.members.len();
        let from = if len == 0 { 0 } else { usize::try_from(turn).unwrap_or(0) % len };
        let members = self.members.iter().cycle().skip(from).take(count.min(len));
        members.map(|(name, entry)| to_news(name, entry)).collect()
    }

    /// Where the daemon `me` sends its news.
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
        let (near, far): (Vec<_>, Vec<_>) =
            entries.partition(|entry| !is_large || entry.data_centre == me.data_centre);
        let near = near.iter().map(|entry| entry.addr);
        Links {
            near: near.chain(self.seeds.keys().copied()).collect(),
            far: far.iter().map(|entry| entry.addr).collect(),
            is_large,
        }
    }
}

fn to_news(name: &DaemonName, entry: &Entry) -> news::Member {
    news::Member {
        daemon: name.as_str().to_owned(),
        data_centre: entry.data_centre.as_str().to_owned(),
        addr: entry.addr.to_string(),
    }
}
