//! Tests of evacuations and regions, where a mistake sends requests to a data centre that operators empty, or
//! data out of its region.

use comfreymast_base::{DataCentre, Region};
use comfreymast_decide::data_centres::{
    Evacuations, RegionNeed, ReturnOptions, may_continue_at_source,
};

fn centre(name: &str) -> DataCentre {
    DataCentre::from(name)
}

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| Region::from(*name)).collect()
}

#[test]
fn several_evacuations_begin_and_end_independently_and_news_may_come_twice() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.begin(centre("z2"), Some(10)));
    assert!(evacuations.begin(centre("z1"), None));
    assert!(!evacuations.begin(centre("z2"), Some(90)), "heard twice");
    assert_eq!(evacuations.known_for_ms(&centre("z2"), 100), Some(90), "the first news counts");
    assert_eq!(evacuations.known_for_ms(&centre("z1"), 100), None);
    assert!(evacuations.evacuated().eq(&[centre("z1"), centre("z2")]));
    assert!(evacuations.end(&centre("z2"), 200));
    assert!(!evacuations.end(&centre("z2"), 300), "heard twice");
    assert!(evacuations.is_evacuated(&centre("z1")));
    assert!(!evacuations.is_evacuated(&centre("z2")));
    assert!(!evacuations.end(&centre("z9"), 300), "an end without a begin");
}

#[test]
fn traffic_returns_gradually_and_not_before_the_end() {
    let options = ReturnOptions { ramp_ms: 4_000, first_share: 0.1 };
    let mut evacuations = Evacuations::default();
    let share =
        |evacuations: &Evacuations, now_ms| evacuations.share(&centre("z1"), &options, now_ms);
    assert_eq!(share(&evacuations, 0), 1.0);
    evacuations.begin(centre("z1"), Some(0));
    assert_eq!(share(&evacuations, 60_000), 0.0);
    evacuations.end(&centre("z1"), 60_000);
    assert_eq!(share(&evacuations, 60_000), 0.1);
    assert!((share(&evacuations, 62_000) - 0.55).abs() < 1e-9);
    assert!(evacuations.has_returning(&options, 63_999));
    assert_eq!(share(&evacuations, 64_000), 1.0);
    assert!(!evacuations.has_returning(&options, 64_000));
    let shares: Vec<_> = (60_000..64_100).map(|now_ms| share(&evacuations, now_ms)).collect();
    assert!(shares.is_sorted(), "the share never falls");
    evacuations.begin(centre("z1"), Some(64_500));
    assert_eq!(share(&evacuations, 64_500), 0.0, "evacuated again during its return");
}

#[test]
fn a_generation_goes_on_at_its_engine_only_early_in_an_evacuation() {
    assert!(may_continue_at_source(Some(0), Some(5_000)));
    assert!(may_continue_at_source(Some(3_499), Some(5_000)));
    assert!(!may_continue_at_source(Some(3_500), Some(5_000)), "the margin");
    assert!(!may_continue_at_source(None, Some(5_000)), "it may have begun long ago");
    assert!(!may_continue_at_source(Some(0), None), "without a bound");
    assert!(!may_continue_at_source(Some(0), Some(1_000)), "a bound shorter than the margin");
}

#[test]
fn both_lists_of_regions_apply_and_an_unknown_region_is_in_none() {
    let (eu_us, us_asia) = (regions(&["eu", "us"]), regions(&["us", "asia"]));
    let (eu, us) = (Region::from("eu"), Region::from("us"));
    let any = RegionNeed::of(None, None);
    assert!(any.allows(None) && any.allows(Some(&eu)));
    for need in [RegionNeed::of(Some(&eu_us), None), RegionNeed::of(None, Some(&eu_us))] {
        assert!(need.allows(Some(&eu)) && need.allows(Some(&us)));
        assert!(!need.allows(Some(&Region::from("asia"))) && !need.allows(None));
    }
    let both = RegionNeed::of(Some(&eu_us), Some(&us_asia));
    assert!(both.allows(Some(&us)) && !both.allows(Some(&eu)));
    let none = RegionNeed::of(Some(&eu_us), Some(&regions(&["asia"])));
    assert!(!none.allows(Some(&eu)), "lists without a common region");
    assert!(RegionNeed::of(Some(&[]), None).allows(Some(&eu)), "an empty list limits nothing");
    assert!(!RegionNeed::of(Some(&[]), Some(&eu_us)).allows(None), "the other list applies");
    let forwarded = RegionNeed::decided(none.allowed().map(<[Region]>::to_vec));
    assert!(!forwarded.allows(Some(&eu)), "the same at a peer");
}

#[test]
fn a_call_is_forwarded_inside_the_own_region_and_to_allowed_ones() {
    let need = RegionNeed::of(Some(&regions(&["eu"])), None);
    let (eu, us, asia) = (Region::from("eu"), Region::from("us"), Region::from("asia"));
    assert!(need.allows_forward(Some(&eu), Some(&us)));
    assert!(need.allows_forward(Some(&us), Some(&us)), "it has the call already");
    assert!(!need.allows_forward(Some(&asia), Some(&us)));
    assert!(!need.allows_forward(None, Some(&us)));
    assert!(!need.allows_forward(None, None), "two unknown regions may differ");
    assert!(RegionNeed::default().allows_forward(None, None));
}
