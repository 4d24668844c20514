//! Tests that daemons share the places of an upstream.

use comfreymast_decide::slot_share::own_slots;

fn shares(upstream: &str, slots: u32, count: usize) -> Vec<u32> {
    let names: Vec<_> = (0..count).map(|number| format!("daemon-{number}")).collect();
    let all = || names.iter().map(String::as_str);
    all().map(|me| own_slots(upstream, slots, me, all())).collect()
}

#[test]
fn all_places_but_one_are_used_and_none_twice() {
    for count in [1, 2, 3, 9, 30, 320] {
        for slots in [3, 6, 48, 64] {
            let shares = shares("u1", slots, count);
            assert_eq!(shares.iter().sum::<u32>(), slots - 1, "{count} daemons, {slots} places");
            let (least, most) = (shares.iter().min(), shares.iter().max());
            assert!(most.expect("daemons") - least.expect("daemons") <= 1);
        }
    }
}

#[test]
fn the_rest_goes_to_other_daemons_at_other_upstreams() {
    let mut totals = [0; 9];
    for upstream in 0..90 {
        for (total, own) in totals.iter_mut().zip(shares(&format!("u{upstream}"), 6, 9)) {
            *total += own;
        }
    }
    assert!(totals.iter().all(|total| (35..=65).contains(total)), "{totals:?}");
}
