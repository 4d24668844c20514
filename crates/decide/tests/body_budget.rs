//! The memory of request bodies: who takes more, who waits, and who gives back.

use comfreymast_base::Organisation;
use comfreymast_decide::body_budget::{BodyBudget, BodyId, Grant, SMALL_BODY_BYTES, STALL_MS};
use comfreymast_decide::connection_choice::{ConnectionUse, ConnectionView, choose_connection};

const LIMIT_BYTES: usize = 8 * 1024 * 1024;
const LARGE_BYTES: usize = 1024 * 1024;

fn open(budget: &mut BodyBudget, organisation: &str, now_ms: u64) -> BodyId {
    budget.open(Some(Organisation::from(organisation)), now_ms)
}

/// Bodies of `organisation` that have filled what large ones may take.
fn fill(budget: &mut BodyBudget, organisation: &str, now_ms: u64) -> Vec<BodyId> {
    let mut filled = Vec::new();
    loop {
        let id = open(budget, organisation, now_ms);
        if budget.take(id, LARGE_BYTES, now_ms) != Grant::Granted {
            budget.release(id);
            return filled;
        }
        filled.push(id);
    }
}

/// Guards against a budget that large bodies exceed, or that keeps small ones waiting.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut budget = BodyBudget::new(LIMIT_BYTES);
    assert_eq!(fill(&mut budget, "a", 0).len(), 7);
    for _ in 0..LARGE_BYTES / SMALL_BODY_BYTES {
        let small = open(&mut budget, "a", 0);
        assert_eq!(budget.take(small, SMALL_BODY_BYTES, 0), Grant::Granted);
    }
    assert_eq!(budget.held_bytes(), LIMIT_BYTES);
}

/// Guards against callers that keep memory by falling silent, or by sending single bytes.
#[test]
fn the_longest_stalled_body_is_cancelled_first_and_only_as_many_as_needed() {
    let mut budget = BodyBudget::new(LIMIT_BYTES);
    let filled = fill(&mut budget, "a", 0);
    budget.record_arrival(filled[0], LARGE_BYTES / 2, 1);
    budget.record_arrival(filled[2], 1, STALL_MS);
    let late = open(&mut budget, "a", STALL_MS);
    assert_eq!(budget.take(late, LARGE_BYTES, STALL_MS), Grant::Wait);
    assert!(!budget.reclaim(late, STALL_MS - 1));
    assert!(budget.reclaim(late, STALL_MS + 1));
    let cancelled: Vec<_> = filled.iter().filter(|id| budget.is_cancelled(**id)).collect();
    assert_eq!(cancelled, [&filled[1]]);
    assert!(!budget.reclaim(late, STALL_MS + 1), "what was cancelled suffices");
    budget.release(filled[1]);
    assert_eq!(budget.take(late, LARGE_BYTES, STALL_MS + 2), Grant::Granted);
}

/// Guards against a request that was passed on and loses its body.
#[test]
fn a_whole_body_is_never_cancelled() {
    let mut budget = BodyBudget::new(LIMIT_BYTES);
    for id in fill(&mut budget, "a", 0) {
        budget.complete(id);
    }
    let late = open(&mut budget, "a", 0);
    assert_eq!(budget.take(late, LARGE_BYTES, 0), Grant::Wait);
    assert!(!budget.reclaim(late, 100 * STALL_MS));
}

/// Guards against one organisation that keeps others waiting.
#[test]
fn an_organisation_within_its_share_goes_first() {
    let mut budget = BodyBudget::new(LIMIT_BYTES);
    let filled = fill(&mut budget, "a", 0);
    let (own, other) = (open(&mut budget, "a", 1), open(&mut budget, "b", 2));
    assert_eq!(budget.take(own, LARGE_BYTES, 1), Grant::Wait);
    assert_eq!(budget.take(other, LARGE_BYTES, 2), Grant::Wait);
    budget.release(filled[0]);
    assert_eq!(budget.take(own, LARGE_BYTES, 3), Grant::Wait);
    assert_eq!(budget.take(other, LARGE_BYTES, 3), Grant::Granted);
}

/// Guards against a VM that is too small for the longest body and never serves it.
#[test]
fn a_body_over_the_budget_is_taken_alone() {
    let mut budget = BodyBudget::new(LIMIT_BYTES);
    let long = open(&mut budget, "a", 0);
    assert_eq!(budget.take(long, 2 * LIMIT_BYTES, 0), Grant::Granted);
    let second = open(&mut budget, "a", 0);
    assert_eq!(budget.take(second, 2 * LIMIT_BYTES, 0), Grant::Refused);
    budget.release(long);
    assert_eq!(budget.take(second, 2 * LIMIT_BYTES, 0), Grant::Granted);
}

/// Guards against closing a connection on which a whole request is served.
#[test]
fn the_connection_that_waits_longest_for_a_whole_request_is_closed() {
    let view = |usage, since_ms| ConnectionView { usage, since_ms };
    let serving = view(ConnectionUse::Serving, 0);
    let views = [serving, view(ConnectionUse::Idle, 9), view(ConnectionUse::Incomplete, 8)];
    assert_eq!(choose_connection(views.into_iter()), Some(2));
    assert_eq!(choose_connection([serving].into_iter()), None);
}
