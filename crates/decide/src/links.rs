//! Which peers a daemon keeps a link to.
//!
//! A small fleet forms a full mesh. In a larger one, the daemons of each data centre form a full
//! mesh, and a few links connect each pair of data centres. Rendezvous hashing spreads these links
//! about evenly over all daemons, so none is dedicated to control traffic.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use comfreymast_base::{DaemonName, DataCentre};

/// Options for the topology of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// Maximum number of daemons in a fleet that forms a full mesh.
    pub full_mesh_daemons: usize,
    /// Links between each pair of data centres, each using different daemons if there are enough.
    pub between_data_centres: usize,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self { full_mesh_daemons: 23, between_data_centres: 3 }
    }
}

/// A daemon and its data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The daemon's name.
    pub name: DaemonName,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
}

/// The peers that `me` keeps a link to. Links are symmetric.
#[must_use]
pub fn links(options: &LinkOptions, me: &Member, members: &[Member]) -> Vec<DaemonName> {
    let others = members.iter().filter(|other| other.name != me.name);
    if members.len() <= options.full_mesh_daemons {
        return others.map(|other| other.name.clone()).collect();
    }
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
    for member in members {
        by_data_centre.entry(&member.data_centre).or_default().push(member);
    }
    let local_peers = others.filter(|other| other.data_centre == me.data_centre);
    let mut linked: Vec<_> = local_peers.map(|other| other.name.clone()).collect();
    let Some(local_members) = by_data_centre.get(&me.data_centre) else { return linked };
    for (remote, remote_members) in
        by_data_centre.iter().filter(|(name, _)| **name != &me.data_centre)
    {
        let local_relays = relays(options, local_members, remote);
        let remote_relays = relays(options, remote_members, &me.data_centre);
        // The side with fewer relays uses each of them for several links.
        let pairs = local_relays.len().max(remote_relays.len());
        let pairs = (0..pairs).map(|index| {
            (local_relays[index % local_relays.len()], remote_relays[index % remote_relays.len()])
        });
        let own_pairs = pairs.filter(|(relay, _)| relay.name == me.name);
        linked.extend(own_pairs.map(|(_, peer)| peer.name.clone()));
    }
    linked
}

/// The members of one data centre that keep the links to another, by descending weight.
fn relays<'a>(
    options: &LinkOptions,
    members: &[&'a Member],
    other: &DataCentre,
) -> Vec<&'a Member> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|member| (Reverse(rendezvous_weight(&member.name, other)), &member.name));
    ranked.truncate(options.between_data_centres.max(1));
    ranked
}

/// The rendezvous weight: an FNV-1a hash, which must be the same on every daemon and version.
fn rendezvous_weight(name: &DaemonName, other: &DataCentre) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let text = name.as_str().bytes().chain([0]).chain(other.as_str().bytes());
    let hash = text.fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // FNV-1a of similar names differs only in the low bits; this spreads them over all bits.
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
