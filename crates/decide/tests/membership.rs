//! Links between daemons, and how far a VM list is believed.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeSet, HashMap};

use comfreymast_base::{DaemonName, DataCentre};
use comfreymast_decide::currency::PeerEvidence;
use comfreymast_decide::links::{LinkOptions, Member, links};
use comfreymast_decide::list_guard::{ListGuard, ListGuardOptions, ListVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 7;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fleet(sizes: &[usize]) -> Vec<Member> {
    let member = |data_centre: usize, number: usize| Member {
        name: DaemonName::from(format!("dc{data_centre}-d{number}")),
        data_centre: DataCentre::from(format!("dc{data_centre}")),
    };
    let all = sizes.iter().enumerate();
    all.flat_map(|(at, size)| (0..*size).map(move |number| member(at, number))).collect()
}

fn all_links(options: &LinkOptions, members: &[Member]) -> HashMap<DaemonName, Vec<DaemonName>> {
    members.iter().map(|me| (me.name.clone(), links(options, me, members))).collect()
}

/// The members that `from` reaches over links between members that are not lost.
fn reached(
    links: &HashMap<DaemonName, Vec<DaemonName>>,
    from: &DaemonName,
    lost: &BTreeSet<DaemonName>,
) -> BTreeSet<DaemonName> {
    let mut reached = BTreeSet::from([from.clone()]);
    let mut next = vec![from.clone()];
    while let Some(at) = next.pop() {
        for peer in links[&at].iter().filter(|peer| !lost.contains(*peer)) {
            if reached.insert(peer.clone()) {
                next.push(peer.clone());
            }
        }
    }
    reached
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn live_daemons_are_connected_while_some_are_lost(
        sizes in prop::collection::vec(4..14_usize, 3..12),
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..3),
        lost_data_centre in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let options = LinkOptions { full_mesh_daemons: 0, ..LinkOptions::default() };
        let members = fleet(&sizes);
        let links = all_links(&options, &members);
        for (name, peers) in &links {
            for peer in peers {
                prop_assert!(links[peer].contains(name), "{name} -> {peer} only");
            }
        }
        // Fewer daemons than links between two data centres, and perhaps a data centre besides.
        let mut gone: BTreeSet<_> =
            lost.iter().map(|at| members[at.index(members.len())].name.clone()).collect();
        if let Some(at) = lost_data_centre {
            let data_centre = DataCentre::from(format!("dc{}", at.index(sizes.len())));
            let there = members.iter().filter(|member| member.data_centre == data_centre);
            gone.extend(there.map(|member| member.name.clone()));
        }
        let live: BTreeSet<_> = members
            .iter()
            .map(|member| member.name.clone())
            .filter(|name| !gone.contains(name))
            .collect();
        prop_assert_eq!(reached(&links, live.first().unwrap(), &gone), live);
    }
}

#[test]
fn one_link_between_data_centres_would_not_do() {
    let options = LinkOptions { full_mesh_daemons: 0, between_data_centres: 1 };
    let members = fleet(&[4, 4]);
    let links = all_links(&options, &members);
    let relay = members.iter().find(|member| links[&member.name].len() == 4).unwrap();
    let lost = BTreeSet::from([relay.name.clone()]);
    let other = members.iter().find(|member| member.name != relay.name).unwrap();
    assert!(reached(&links, &other.name, &lost).len() < members.len() - 1);
}

#[test]
fn a_small_fleet_is_a_full_mesh() {
    let members = fleet(&[3, 3, 3]);
    let links = all_links(&LinkOptions::default(), &members);
    assert!(links.values().all(|peers| peers.len() == 8));
}

#[test]
fn links_are_spread_over_all_daemons_of_a_large_fleet() {
    let mut sizes = vec![12; 23];
    sizes.extend([11; 4]);
    let members = fleet(&sizes);
    assert_eq!(members.len(), 320);
    let links = all_links(&LinkOptions::default(), &members);
    let most = links.values().map(Vec::len).max().unwrap();
    let total: usize = links.values().map(Vec::len).sum();
    println!("links of a daemon: at most {most}, on average {}", total / members.len());
    // A full mesh would have 319.
    assert!(most < 32, "{most}");
}

#[test]
fn a_list_that_lost_most_vms_is_believed_late_and_an_empty_one_never() {
    let mut guard = ListGuard::new(ListGuardOptions { hold_ms: 100 });
    assert_eq!(guard.judge(10, 5, 5, 0), ListVerdict::Adopt);
    assert_eq!(guard.judge(10, 6, 4, 10), ListVerdict::Hold);
    assert_eq!(guard.judge(10, 6, 4, 109), ListVerdict::Hold);
    assert_eq!(guard.judge(10, 6, 4, 110), ListVerdict::Adopt);
    // The time starts anew once the list was whole.
    assert_eq!(guard.judge(10, 6, 4, 120), ListVerdict::Hold);
    assert_eq!(guard.judge(10, 0, 10, 130), ListVerdict::Adopt);
    assert_eq!(guard.judge(10, 6, 4, 225), ListVerdict::Hold);
    assert_eq!(guard.judge(10, 10, 0, 1_000_000), ListVerdict::Hold);
}

#[test]
fn a_peer_proves_nothing_when_it_is_ahead_stale_unlisted_or_answers_nothing() {
    let good = PeerEvidence {
        peer_is_current: true,
        peer_next_offset: 7,
        asked_ms: Some(50),
        both_listed: true,
    };
    assert_eq!(good.proves(7, 7), Some(50));
    assert_eq!(good.proves(6, 7), None);
    assert_eq!(good.proves(7, 8), None);
    assert_eq!(PeerEvidence { peer_is_current: false, ..good }.proves(7, 7), None);
    assert_eq!(PeerEvidence { both_listed: false, ..good }.proves(7, 7), None);
    assert_eq!(PeerEvidence { asked_ms: None, ..good }.proves(7, 7), None);
}
