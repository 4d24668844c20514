//! Limits across daemons: leased slots never exceed the pool, even if messages are delayed or lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use comfreymast_base::DaemonName;
use comfreymast_decide::limits::{
    Grant, Grants, HolderReport, LimitOptions, Rate, RateMeter, Share, owner_of,
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
enum Event {
    Acquire(usize),
    Release(usize),
    SendReport(usize),
    DeliverReport(usize),
    DeliverGrant(usize),
    DropGrant(usize),
    AdvanceTime(u64),
    NewOwner,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..DAEMONS).prop_map(Event::Acquire),
        2 => (0..DAEMONS).prop_map(Event::Release),
        4 => (0..DAEMONS).prop_map(Event::SendReport),
        4 => (0..DAEMONS).prop_map(Event::DeliverReport),
        4 => (0..DAEMONS).prop_map(Event::DeliverGrant),
        1 => (0..DAEMONS).prop_map(Event::DropGrant),
        2 => (0_u64..900).prop_map(Event::AdvanceTime),
        1 => Just(Event::NewOwner),
    ]
}

struct Simulation {
    now_ms: u64,
    owner: Grants,
    shares: Vec<Share>,
    reports: Vec<VecDeque<(u64, HolderReport)>>,
    grants: Vec<VecDeque<(u64, Grant)>>,
}

impl Simulation {
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

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Acquire(index) => {
                self.shares[index].try_acquire(0, self.now_ms);
            }
            Event::Release(index) => {
                if self.shares[index].in_use() > 0 {
                    self.shares[index].release();
                }
            }
            Event::SendReport(index) => {
                let share = &self.shares[index];
                let slots_wanted = share.slots_wanted(0, self.now_ms);
                share.reduce_lease(slots_wanted);
                let report = HolderReport {
                    generation: share.generation(),
                    slots_held: share.slots_held(0, self.now_ms),
                    slots_wanted,
                };
                self.reports[index].push_back((self.now_ms, report));
            }
            Event::DeliverReport(index) => {
                if let Some((sent_ms, report)) = self.reports[index].pop_front() {
                    self.owner.apply_report(&daemon(index), report, self.now_ms);
                    let grant = self.owner.grant(&daemon(index), POOL_SLOTS, self.now_ms);
                    self.grants[index].push_back((sent_ms, grant));
                }
            }
            Event::DeliverGrant(index) => {
                if let Some((sent_ms, grant)) = self.grants[index].pop_front() {
                    self.shares[index].accept(grant, sent_ms);
                }
            }
            Event::DropGrant(index) => {
                self.grants[index].pop_front();
            }
            Event::AdvanceTime(elapsed_ms) => self.now_ms += elapsed_ms,
            Event::NewOwner => {
                // Reports to the previous owner are lost; its grants may still arrive.
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
    fn leases_never_exceed_the_pool(events in prop::collection::vec(event(), 1..200)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.apply(event);
            prop_assert!(
                simulation.leased() <= POOL_SLOTS,
                "{} leased after {event:?}",
                simulation.leased()
            );
        }
    }

    #[test]
    fn only_organisations_of_a_lost_daemon_change_owner(lost in 0_usize..20, count in 2_usize..20) {
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

fn report(generation: u64, slots_held: u32, slots_wanted: u32) -> HolderReport {
    HolderReport { generation, slots_held, slots_wanted }
}

#[test]
fn a_report_sent_before_the_grant_arrived_frees_no_slots() {
    let mut owner = Grants::take_over(LimitOptions::default(), 1, BTreeSet::new(), 0);
    owner.apply_report(&daemon(0), report(0, 0, 10), 0);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 10);
    // The holder reports that it holds nothing, but it has not received the grant yet.
    owner.apply_report(&daemon(0), report(0, 0, 0), 1);
    owner.apply_report(&daemon(1), report(0, 0, 10), 1);
    assert_eq!(owner.grant(&daemon(1), POOL_SLOTS, 1).slots, 0);
}

#[test]
fn slots_are_divided_by_demand() {
    let mut owner = Grants::take_over(LimitOptions::default(), 1, BTreeSet::new(), 0);
    let wanted = BTreeMap::from([(0, 2), (1, 20), (2, 20)]);
    for (index, wanted) in &wanted {
        owner.apply_report(&daemon(*index), report(0, 0, *wanted), 0);
    }
    let mut granted = |index| owner.grant(&daemon(index), POOL_SLOTS, 0).slots;
    assert_eq!([granted(0), granted(1), granted(2)], [2, 4, 4]);
}

#[test]
fn a_new_owner_waits_for_daemons_that_have_not_reported() {
    let mut owner = Grants::take_over(LimitOptions::default(), 5, all_daemons(), 0);
    owner.apply_report(&daemon(0), report(3, 4, 10), 0);
    assert_eq!(
        owner.grant(&daemon(0), POOL_SLOTS, 0).slots,
        4,
        "the lease is renewed, but not increased"
    );
    for index in 1..DAEMONS {
        owner.mark_reported(&daemon(index));
    }
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 10);
}

#[test]
fn a_new_owner_grants_after_every_older_lease_has_expired() {
    let options = LimitOptions::default();
    let mut owner = Grants::take_over(options, 5, all_daemons(), 0);
    owner.apply_report(&daemon(0), report(3, 0, 10), 0);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, 0).slots, 0);
    owner.apply_report(&daemon(0), report(3, 0, 10), options.lease_ms);
    assert_eq!(owner.grant(&daemon(0), POOL_SLOTS, options.lease_ms).slots, 10);
}

#[test]
fn a_grant_of_a_paused_owner_has_expired_on_arrival() {
    let share = Share::default();
    assert!(share.accept(Grant { generation: 1, slots: 9, lease_ms: 2_000 }, 0));
    assert_eq!(share.leased(1_999), 9);
    assert_eq!(share.leased(2_000), 0);
    assert!(!share.accept(Grant { generation: 0, slots: 9, lease_ms: 2_000 }, 5_000));
}

#[test]
fn generated_tokens_delay_later_requests() {
    let meter = RateMeter::default();
    let rate = Rate { per_s: 100.0, burst_ms: 1_000 };
    meter.charge(rate, 300, 0);
    assert_eq!(meter.wait_ms(rate, 0), 2_001);
    assert_eq!(meter.try_charge(rate, 1, 0), Err(2_001));
    assert_eq!(meter.try_charge(rate, 1, 2_001), Ok(()));
}

#[test]
fn an_increased_rate_drains_earlier_usage_faster() {
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
fn frequent_calls_do_not_lose_the_fractions_of_a_slow_rate() {
    let meter = RateMeter::default();
    let rate = Rate { per_s: 0.5, burst_ms: 1_000 };
    assert_eq!(meter.try_charge(rate, 1, 0), Ok(()));
    let allowed_ms = (0..10_000).find(|now_ms| meter.try_charge(rate, 1, *now_ms).is_ok());
    assert_eq!(allowed_ms, Some(2));
}
