//! Which peers a daemon keeps a link to.
//!
//! A small fleet is a full mesh. In a large one, daemons of one data centre are a full mesh, and
//! each pair of data centres is joined by a few links, spread over all daemons by rendezvous
//! hashing: every daemon carries about the same part of them, and none is set aside for control.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use comfreymast_base::{DaemonName, DataCentre};

/// How many links a fleet keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// The largest fleet that is a full mesh.
    pub full_mesh_daemons: usize,
    /// Links between each two data centres, each between other daemons where there are enough.
    pub between_data_centres: usize,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self { full_mesh_daemons: 23, between_data_centres: 3 }
    }
}

/// A daemon and where it runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The peers that `me` keeps a link to. Whoever has a link to another is linked by it too.
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
    let near = others.filter(|other| other.data_centre == me.data_centre);
    let mut linked: Vec<_> = near.map(|other| other.name.clone()).collect();
    let Some(home) = by_data_centre.get(&me.data_centre) else { return linked };
    for (far, there) in by_data_centre.iter().filter(|(name, _)| **name != &me.data_centre) {
        let here = relays(options, home, far);
        let there = relays(options, there, &me.data_centre);
        // With fewer relays on one side, they serve several of the other.
        let pairs = here.len().max(there.len());
        let pairs = (0..pairs).map(|at| (here[at % here.len()], there[at % there.len()]));
        let mine = pairs.filter(|(relay, _)| relay.name == me.name);
        linked.extend(mine.map(|(_, peer)| peer.name.clone()));
    }
    linked
}

/// The members of one data centre that keep the links to another, in order.
fn relays<'a>(
    options: &LinkOptions,
    members: &[&'a Member],
    other: &DataCentre,
) -> Vec<&'a Member> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|member| (Reverse(weight(&member.name, other)), &member.name));
    ranked.truncate(options.between_data_centres.max(1));
    ranked
}

/// FNV-1a, the same on every daemon and in every version.
fn weight(name: &DaemonName, other: &DataCentre) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let text = name.as_str().bytes().chain([0]).chain(other.as_str().bytes());
    let hash = text.fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // Similar names differ in the low bits only; this spreads them.
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
