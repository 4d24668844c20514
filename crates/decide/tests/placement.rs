//! Placement of generations by free memory, distance, neighbours and unprocessed prompts.

use comfreymast_decide::placement::{EngineView, PlacementOptions, choose_engine, has_room};

const MEMORY_TOKENS: u64 = 34_000;
const NEED_TOKENS: u64 = 4_000;

fn engine(reserved_tokens: u64) -> EngineView {
    EngineView {
        memory_tokens: MEMORY_TOKENS,
        reserved_tokens,
        runs: u32::from(reserved_tokens > 0),
        slots: 48,
        is_near: true,
        has_neighbour: true,
        ..EngineView::default()
    }
}

fn choose(engines: &[EngineView]) -> Option<usize> {
    choose_engine(engines, NEED_TOKENS, &PlacementOptions::default(), |_| 0.0)
}

#[test]
fn the_engine_with_most_room_is_chosen() {
    assert_eq!(choose(&[engine(9_000), engine(3_000), engine(6_000)]), Some(1));
}

#[test]
fn no_engine_is_chosen_when_none_has_room() {
    assert_eq!(choose(&[engine(31_000), engine(33_000)]), None);
    let no_slot = EngineView { runs: 48, ..engine(1_000) };
    assert_eq!(choose(&[no_slot]), None);
}

#[test]
fn an_empty_engine_takes_whatever_fits_into_its_memory() {
    let options = PlacementOptions::default();
    assert!(has_room(&engine(0), MEMORY_TOKENS, &options));
    assert!(!has_room(&engine(0), MEMORY_TOKENS + 1, &options));
}

#[test]
fn unprocessed_prompts_divert_a_burst_to_other_engines() {
    let prefilling = EngineView { prefill_tokens: 6_000, ..engine(3_000) };
    assert_eq!(choose(&[prefilling, engine(9_000)]), Some(1));
}

#[test]
fn an_engine_alone_in_its_data_centre_is_filled_less() {
    let isolated = EngineView { has_neighbour: false, ..engine(9_000) };
    assert_eq!(choose(&[isolated, engine(12_000)]), Some(1));
}

#[test]
fn an_engine_that_fails_its_requests_is_used_last() {
    let failing = EngineView { failure_rate: 0.6, ..engine(0) };
    assert_eq!(choose(&[failing, engine(20_000)]), Some(1));
    assert_eq!(choose(&[failing]), Some(0), "the only engine of a service stays usable");
}
