//! Compares the strategies of limits by counts, as described in the design note.

use comfreymast_experiments::limit_strategies::{LimitRun, Strategy};

fn run(strategy: Strategy) -> comfreymast_experiments::limit_strategies::LimitOutcome {
    LimitRun { strategy, daemons: 9, limit_slots: 64, seed: 1 }.simulate()
}

#[test]
fn leases_never_overshoot_when_owners_fail() {
    assert_eq!(run(Strategy::Leases).overshoot, 0);
    assert!(run(Strategy::Gossip).overshoot > 0);
}

#[test]
fn leases_refuse_fewer_requests_while_slots_are_free_than_a_static_split() {
    let (leases, split) = (run(Strategy::Leases), run(Strategy::StaticSplit));
    assert_eq!(leases.offered, split.offered, "the same arrivals");
    assert!(leases.refused_while_free < split.refused_while_free, "{leases:?} {split:?}");
}
