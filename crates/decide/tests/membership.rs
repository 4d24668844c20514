//! Links between daemons, adoption of VM lists, and evidence from peers.
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
    let data_centres = sizes.iter().enumerate();
    data_centres
        .flat_map(|(index, size)| (0..*size).map(move |number| member(index, number)))
        .collect()
}

fn all_links(options: &LinkOptions, members: &[Member]) -> HashMap<DaemonName, Vec<DaemonName>> {
    members.iter().map(|me| (me.name.clone(), links(options, me, members))).collect()
}

/// The members reachable from `from` over links between members that are not lost.
fn reachable(
    links: &HashMap<DaemonName, Vec<DaemonName>>,
    from: &DaemonName,
    lost: &BTreeSet<DaemonName>,
) -> BTreeSet<DaemonName> {
    let mut reachable = BTreeSet::from([from.clone()]);
    let mut pending = vec![from.clone()];
    while let Some(name) = pending.pop() {
        for peer in links[&name].iter().filter(|peer| !lost.contains(*peer)) {
            if reachable.insert(peer.clone()) {
                pending.push(peer.clone());
            }
        }
    }
    reachable
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn live_daemons_stay_connected_when_some_are_lost(
        sizes in prop::collection::vec(4..14_usize, 3..12),
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..3),
        lost_data_centre in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let options = LinkOptions { full_mesh_daemons: 0, ..LinkOptions::default() };
        let members = fleet(&sizes);
        let links = all_links(&options, &members);
        for (name, peers) in &links {
            for peer in peers {
                prop_assert!(links[peer].contains(name), "{peer} lacks the link to {name}");
            }
        }
        // Lose fewer daemons than there are links between two data centres, and possibly also a
        // whole data centre.
        let mut lost_names: BTreeSet<_> =
            lost.iter().map(|index| members[index.index(members.len())].name.clone()).collect();
        if let Some(index) = lost_data_centre {
            let data_centre = DataCentre::from(format!("dc{}", index.index(sizes.len())));
            let inside = members.iter().filter(|member| member.data_centre == data_centre);
            lost_names.extend(inside.map(|member| member.name.clone()));
        }
        let live: BTreeSet<_> = members
            .iter()
            .map(|member| member.name.clone())
            .filter(|name| !lost_names.contains(name))
            .collect();
        prop_assert_eq!(reachable(&links, live.first().unwrap(), &lost_names), live);
    }
}

#[test]
fn one_link_between_data_centres_is_not_enough() {
    let options = LinkOptions { full_mesh_daemons: 0, between_data_centres: 1 };
    let members = fleet(&[4, 4]);
    let links = all_links(&options, &members);
    let relay = members.iter().find(|member| links[&member.name].len() == 4).unwrap();
    let lost = BTreeSet::from([relay.name.clone()]);
    let other = members.iter().find(|member| member.name != relay.name).unwrap();
    assert!(reachable(&links, &other.name, &lost).len() < members.len() - 1);
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
    // In a full mesh, each daemon would have 319 links.
    assert!(most < 32, "a daemon has {most} links");
}

#[test]
fn a_list_missing_most_vms_is_adopted_after_a_delay_and_an_empty_one_never() {
    let mut guard = ListGuard::new(ListGuardOptions { hold_ms: 100 });
    assert_eq!(guard.evaluate(10, 5, 5, 0), ListVerdict::Adopt);
    assert_eq!(guard.evaluate(10, 6, 4, 10), ListVerdict::Hold);
    assert_eq!(guard.evaluate(10, 6, 4, 109), ListVerdict::Hold);
    assert_eq!(guard.evaluate(10, 6, 4, 110), ListVerdict::Adopt);
    // A list with enough VMs resets the delay.
    assert_eq!(guard.evaluate(10, 6, 4, 120), ListVerdict::Hold);
    assert_eq!(guard.evaluate(10, 0, 10, 130), ListVerdict::Adopt);
    assert_eq!(guard.evaluate(10, 6, 4, 225), ListVerdict::Hold);
    assert_eq!(guard.evaluate(10, 10, 0, 1_000_000), ListVerdict::Hold);
}

#[test]
fn a_peer_that_is_ahead_stale_unlisted_or_echoes_nothing_is_no_evidence() {
    let valid = PeerEvidence {
        peer_is_current: true,
        peer_next_offset: 7,
        heartbeat_sent_ms: Some(50),
        both_listed: true,
    };
    assert_eq!(valid.evidence_ms(7, 7), Some(50));
    assert_eq!(valid.evidence_ms(6, 7), None);
    assert_eq!(valid.evidence_ms(7, 8), None);
    assert_eq!(PeerEvidence { peer_is_current: false, ..valid }.evidence_ms(7, 7), None);
    assert_eq!(PeerEvidence { both_listed: false, ..valid }.evidence_ms(7, 7), None);
    assert_eq!(PeerEvidence { heartbeat_sent_ms: None, ..valid }.evidence_ms(7, 7), None);
}
