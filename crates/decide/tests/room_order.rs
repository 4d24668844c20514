//! Tests of the order of waiting streams, of rejections and of the priority for engines.

mod room_model;

use comfreymast_decide::room::engine_priority::PriorityLevels;
use comfreymast_decide::room::forecast::{Capacity, HoldingTime};
use comfreymast_decide::room::peers::ClassLoad;
use comfreymast_decide::room::queue::{Attempt, RoomQueue};
use comfreymast_decide::room::turn_away::{Verdict, judge, latest_start_ms};
use room_model::{long, request, short};

const TARGETS: (u64, u64) = (1_000, 6_000);

/// Starts the waiting streams one by one, and returns their need of memory in that order.
fn drain(queue: &mut RoomQueue, now_ms: u64) -> Vec<u64> {
    let mut order = Vec::new();
    queue.walk(now_ms, |_, request, _| {
        order.push(request.need_tokens);
        Attempt::Started
    });
    order
}

// Guards against a short stream that waits behind a long one of its priority.
#[test]
fn a_short_stream_goes_before_a_long_one_of_its_priority_that_came_earlier() {
    let mut queue = RoomQueue::default();
    let (big, small) = (request(0, 1, (3_000, 500), TARGETS), request(200, 1, (50, 10), TARGETS));
    queue.push(big.clone());
    queue.push(small.clone());
    assert_eq!(drain(&mut queue, 300), [small.need_tokens, big.need_tokens]);
}

// Guards against short streams that overtake a long one for ever.
#[test]
fn a_long_stream_is_not_passed_by_short_ones_that_come_much_later() {
    let mut queue = RoomQueue::default();
    let big = request(0, 1, (1_000, 300), (30_000, 60_000));
    let small = request(20_000, 1, (50, 10), (30_000, 60_000));
    queue.push(small.clone());
    queue.push(big.clone());
    assert_eq!(drain(&mut queue, 20_000), [big.need_tokens, small.need_tokens]);
}

// Guards against work of a lower priority that starts first because it is short.
#[test]
fn priority_goes_before_size() {
    let mut queue = RoomQueue::default();
    let (urgent, small) = (request(100, 0, (900, 90), TARGETS), request(0, 1, (50, 10), TARGETS));
    queue.push(small.clone());
    queue.push(urgent.clone());
    assert_eq!(drain(&mut queue, 200), [urgent.need_tokens, small.need_tokens]);
}

// Guards against a lower priority that never starts while a higher one fills all engines.
#[test]
fn a_low_priority_starts_while_a_high_one_never_runs_out() {
    let mut queue = RoomQueue::default();
    let low = request(0, 5, (500, 50), TARGETS);
    let ticket = queue.push(low);
    let mut started_ms = None;
    for now_ms in (0..20_000).step_by(100) {
        queue.push(request(now_ms, 0, (100, 10), TARGETS));
        let mut free = 1;
        queue.walk(now_ms, |this, _, _| {
            if free == 0 {
                return Attempt::Waits;
            }
            free -= 1;
            if this == ticket {
                started_ms = Some(now_ms);
            }
            Attempt::Started
        });
    }
    assert!(started_ms.is_some_and(|at_ms| at_ms <= 3_000), "{started_ms:?}");
}

// Guards against one organisation that is served before others for as long as it asks more.
#[test]
fn of_streams_that_are_due_at_once_that_of_the_less_served_organisation_goes_first() {
    let mut queue = RoomQueue::default();
    let of = |organisation: &str, at_ms: u64, prompt_tokens: u64| {
        let mut one = request(at_ms, 1, (prompt_tokens, 10), TARGETS);
        one.organisation = Some(organisation.into());
        one
    };
    queue.record_start(&of("greedy", 0, 50_000), 0);
    queue.push(of("greedy", 10, 100));
    queue.push(of("modest", 20, 101));
    let modest = of("modest", 20, 101).need_tokens;
    assert_eq!(drain(&mut queue, 30).first(), Some(&modest));
}

// Guards against a long stream that never gets room as short ones take what becomes free.
#[test]
fn memory_is_kept_for_a_stream_that_has_waited_its_share() {
    let mut queue = RoomQueue::default();
    queue.push(request(0, 0, (8_000, 100), TARGETS));
    queue.push(request(0, 1, (50, 10), TARGETS));
    let mut held = Vec::new();
    for now_ms in [100, 600] {
        queue.walk(now_ms, |_, request, ahead| {
            if request.priority == 1 {
                held.push(ahead.held_tokens);
            }
            Attempt::Waits
        });
    }
    assert_eq!(held, [None, Some(8_115)]);
}

fn load(count: u64, tokens: u64) -> ClassLoad {
    ClassLoad { count, tokens }
}

fn full() -> Capacity {
    Capacity {
        usable_tokens: 10_000,
        reserved_tokens: 10_000,
        largest_free_tokens: 0,
        slots: 24,
        runs: 10,
    }
}

fn learned(held_ms: u64) -> HoldingTime {
    let mut holding = HoldingTime::default();
    for _ in 0..20 {
        holding.observe_start(1_000, held_ms / 2);
        holding.observe_end(held_ms / 2, held_ms);
    }
    holding
}

// Guards against rejections by a daemon that has learned nothing yet.
#[test]
fn nothing_is_rejected_before_enough_streams_have_ended() {
    let mut holding = HoldingTime::default();
    (0..20).for_each(|_| holding.observe_start(1_000, 60_000));
    (0..3).for_each(|_| holding.observe_end(60_000, 60_000));
    assert_eq!(holding.wait_ms(&full(), load(0, 0), 1_000), None);
    assert_eq!(judge(&short(0), None, true, 0, 0.5), Verdict::Wait);
}

// Guards against callers who wait until their time is up for room that is not expected before.
#[test]
fn a_stream_is_rejected_at_once_if_the_wait_does_not_fit() {
    let wait_ms = learned(4_000).wait_ms(&full(), load(20, 20_000), 1_000);
    assert_eq!(wait_ms, Some(8_400));
    let Verdict::TurnAway { retry_after_ms } = judge(&short(0), wait_ms, true, 0, 0.5) else {
        panic!("a stream that waits");
    };
    assert!(retry_after_ms <= 2_000, "callers come back after a third of their time at most");
}

// Guards against a rejection while room is expected in time.
#[test]
fn a_stream_waits_as_long_as_its_start_is_of_use() {
    let wait_ms = learned(2_000).wait_ms(&full(), load(5, 5_000), 1_000);
    assert_eq!(judge(&short(0), wait_ms, true, 0, 0.5), Verdict::Wait);
    let last_ms = latest_start_ms(&short(0));
    assert!(last_ms > 5_000, "longer than 0.6 of the target latency: {last_ms}");
    assert_ne!(judge(&short(0), None, false, last_ms, 0.5), Verdict::Wait);
}

// Guards against retries that come back together.
#[test]
fn retries_are_spread() {
    let retry_ms = |spread: f64| match judge(&short(0), Some(50_000), true, 0, spread) {
        Verdict::TurnAway { retry_after_ms } => retry_after_ms,
        Verdict::Wait => panic!("a stream that waits"),
    };
    assert!(retry_ms(1.0) - retry_ms(0.0) >= 500);
}

// Guards against a priority for engines that turns the order of priorities around.
#[test]
fn the_priority_for_engines_keeps_the_order_of_priorities_and_of_sizes() {
    for used in [vec![0, 1], vec![0, 3, 7], vec![0, 1, 2, 3, 4], (0..10).collect::<Vec<u8>>()] {
        let levels = PriorityLevels::of(used.iter().copied());
        let mut last = None;
        for priority in used {
            let small = request(0, priority, (50, 10), TARGETS);
            let large = request(0, priority, (4_000, 900), TARGETS);
            let (first, second) =
                (levels.engine_priority(&small, false), levels.engine_priority(&large, false));
            assert!(first <= second && second <= 9);
            assert!(last.is_none_or(|last| first > last), "{priority}: {first} after {last:?}");
            assert_eq!(levels.engine_priority(&large, true), first, "a stream that has run");
            last = Some(second);
        }
    }
    let levels = PriorityLevels::of([0, 1]);
    let (small, large) = (short(0), request(0, 0, (4_000, 900), TARGETS));
    assert!(levels.engine_priority(&small, false) < levels.engine_priority(&large, false));
    assert!(levels.engine_priority(&large, false) < levels.engine_priority(&long(0), false));
}
