//! Limits across daemons: what is leased never exceeds the pool, whatever messages do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use comfreymast_base::DaemonName;
use comfreymast_decide::limits::{
    Grant, Grants, LimitOptions, Rate, RateMeter, Report, Share, owner_of,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const DAEMONS: usize = 4;
const POOL_SLOTS: u32 = 10;

fn config() -> Config {
    Config {
        cases: 400,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(792),
        failure_persistence: None,
        ..Config::default()
    }
}

fn daemon(index: usize) -> DaemonName {
    DaemonName::from(format!("d{index}"))
}

fn all_daemons() -> BTreeSet<DaemonName> {
    (0..DAEMONS).map(daemon).collect()
}

#[derive(Clone, Debug)]
enum Op {
    Acquire(usize),
    Release(usize),
    SendReport(usize),
    DeliverReport(usize),
    DeliverGrant(usize),
    LoseGrant(usize),
    Wait(u64),
    NewOwner,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..DAEMONS).prop_map(Op::Acquire),
        2 => (0..DAEMONS).prop_map(Op::Release),
        4 => (0..DAEMONS).prop_map(Op::SendReport),
        4 => (0..DAEMONS).prop_map(Op::DeliverReport),
        4 => (0..DAEMONS).prop_map(Op::DeliverGrant),
        1 => (0..DAEMONS).prop_map(Op::LoseGrant),
        2 => (0_u64..900).prop_map(Op::Wait),
        1 => Just(Op::NewOwner),
    ]
}

struct World {
    now_ms: u64,
    owner: Grants,
    shares: Vec<Share>,
    reports: Vec<VecDeque<(u64, Report)>>,
    grants: Vec<VecDeque<(u64, Grant)>>,
}

impl World {
    fn new() -> Self {
        let owner = Grants::take_over(LimitOptions::default(), 1, all_daemons(), 0);
        Self {
            now_ms: 0,
            owner,
            shares: (0..DAEMONS).map(|_| Share::default()).collect(),
            reports: vec![VecDeque::new(); DAEMONS],
            grants: vec![VecDeque::new(); DAEMONS],
        }
    }

    fn run(&mut self, op: &Op) {
        match *op {
            Op::Acquire(index) => {
                self.shares[index].try_acquire(0, self.now_ms);
            }
            Op::Release(index) => {
                if self.shares[index].in_use() > 0 {
                    self.shares[index].release();
                }
            }
            Op::SendReport(index) => {
                let share = &self.shares[index];
                let slots_wanted = share.wanted(0, self.now_ms);
                share.give_back(slots_wanted);
                let report = Report {
                    generation: share.generation(),
                    slots_held: share.held(0, self.now_ms),
                    slots_wanted,
                };
                self.reports[index].push_back((self.now_ms, report));
            }
            Op::DeliverReport(index) => {
                if let Some((sent_ms, report)) = self.reports[index].pop_front() {
                    self.owner.report(&daemon(index), report, self.now_ms);
                    let grant = self.owner.grant(&daemon(index), POOL_SLOTS, self.now_ms);
                    self.grants[index].push_back((sent_ms, grant));
                }
            }
            Op::DeliverGrant(index) => {
                if let Some((sent_ms, grant)) = self.grants[index].pop_front() {
                    self.shares[index].accept(grant, sent_ms);
                }
            }
            Op::LoseGrant(index) => {
                self.grants[index].pop_front();
            }
            Op::Wait(wait_ms) => self.now_ms += wait_ms,
            Op::NewOwner => {
                // Reports to the owner that died are lost; its grants may still arrive.
                self.reports.iter_mut().for_each(VecDeque::clear);
                let generation = self.owner.generation() + 1;
                let options = LimitOptions::default();
                self.owner = Grants::take_over(options, generation, all_daemons(), self.now_ms);
            }
        }
    }

    fn leased(&self) -> u32 {
        self.shares.iter().map(|share| share.leased(self.now_ms)).sum()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn leases_never_exceed_the_pool(ops in prop::collection::vec(op(), 1..200)) {
        let mut world = World::new();
        for op in &ops {
            world.run(op);
            prop_assert!(world.leased() <= POOL_SLOTS, "{} leased after {op:?}", world.leased());
        }
    }

    #[test]
    fn only_organisations_of_a_lost_daemon_change_hands(lost in 0_usize..20, count in 2_usize..20) {
        let daemons: Vec<_> = (0..count).map(daemon).collect();
        let lost = daemon(lost % count);
        for index in 0..200 {
            let organisation = format!("org-{index}");
            let before = owner_of(&organisation, &daemons);
            let after = owner_of(&organisation, daemons.iter().filter(|name| **name != lost));
            prop_assert!(before == Some(&lost) || before == after);
        }
    }
}

fn report(generation: u64, slots_held: u32, slots_wanted: u32) -> Report {
    Report { generation, slots_held, slots_wanted }
}

#[test]
fn a_report_sent_before_the_grant_arrived_frees_nothing() {
    let mut owner = Grants::take_over(LimitOptions::default(), 1, BTreeSet::new(), 0);
    owner.report(&daemon(0), report(0, 0, 10), 0);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 10);
    // The holder says that it holds nothing, but it has not seen the grant yet.
    owner.report(&daemon(0), report(0, 0, 0), 1);
    owner.report(&daemon(1), report(0, 0, 10), 1);
    assert_eq!(owner.grant(&daemon(1), POOL_SLOTS, 1).slots, 0);
}

#[test]
fn slots_are_divided_by_what_is_wanted() {
    let mut owner = Grants::take_over(LimitOptions::default(), 1, BTreeSet::new(), 0);
    let wanted = BTreeMap::from([(0, 2), (1, 20), (2, 20)]);
    for (index, wanted) in &wanted {
        owner.report(&daemon(*index), report(0, 0, *wanted), 0);
    }
    let mut granted = |index| owner.grant(&daemon(index), POOL_SLOTS, 0).slots;
    assert_eq!([granted(0), granted(1), granted(2)], [2, 4, 4]);
}

#[test]
fn a_new_owner_waits_for_daemons_it_has_not_heard() {
    let mut owner = Grants::take_over(LimitOptions::default(), 5, all_daemons(), 0);
    owner.report(&daemon(0), report(3, 4, 10), 0);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 4, "renewed, not raised");
    for index in 1..DAEMONS {
        owner.heard(&daemon(index));
    }
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 10);
}

#[test]
fn a_new_owner_grants_after_every_older_lease_has_ended() {
    let options = LimitOptions::default();
    let mut owner = Grants::take_over(options, 5, all_daemons(), 0);
    owner.report(&daemon(0), report(3, 0, 10), 0);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 0);
    owner.report(&daemon(0), report(3, 0, 10), options.lease_ms);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, options.lease_ms).slots, 10);
}

#[test]
fn a_grant_of_a_frozen_owner_has_lapsed_when_it_arrives() {
    let share = Share::default();
    assert!(share.accept(Grant { generation: 1, slots: 9, lease_ms: 2_000 }, 0));
    assert_eq!(share.leased(1_999), 9);
    assert_eq!(share.leased(2_000), 0);
    assert!(!share.accept(Grant { generation: 0, slots: 9, lease_ms: 2_000 }, 5_000));
}

#[test]
fn tokens_made_are_charged_to_later_requests() {
    let meter = RateMeter::default();
    let rate = Rate { per_s: 100.0, burst_ms: 1_000 };
    meter.charge(rate, 300, 0);
    assert_eq!(meter.wait_ms(rate, 0), 2_001);
    assert_eq!(meter.try_charge(rate, 1, 0), Err(2_001));
    assert_eq!(meter.try_charge(rate, 1, 2_001), Ok(()));
}

#[test]
fn a_rate_that_rises_pays_an_old_debt_faster() {
    let meter = RateMeter::default();
    let slow = Rate { per_s: 1.0, burst_ms: 1_000 };
    let fast = Rate { per_s: 100.0, burst_ms: 1_000 };
    assert_eq!(meter.try_charge(slow, 1, 0), Ok(()));
    assert!(meter.try_charge(slow, 1, 0).is_err());
    for _ in 0..90 {
        assert_eq!(meter.try_charge(fast, 1, 0), Ok(()));
    }
}

#[test]
fn a_slow_rate_is_not_lost_to_frequent_calls() {
    let meter = RateMeter::default();
    let rate = Rate { per_s: 0.5, burst_ms: 1_000 };
    assert_eq!(meter.try_charge(rate, 1, 0), Ok(()));
    let first_ms = (0..10_000).find(|now_ms| meter.try_charge(rate, 1, *now_ms).is_ok());
    assert_eq!(first_ms, Some(2));
}
