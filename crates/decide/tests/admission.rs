//! Admission control: which requests start, wait or are refused.

use comfreymast_base::{DaemonName, Kind, Model, Organisation, Upstream};
use comfreymast_decide::admission::{
    Admission, AdmissionOptions, Decision, End, EngineFacts, EngineReport, Ticket, Work,
};

const MEMORY_TOKENS: u64 = 10_000;
const SEED: u64 = 1;

fn work(organisation: &str, priority: u8) -> Work {
    Work {
        organisation: Organisation::from(organisation),
        kind: Kind::from("report"),
        model: Model::from("m"),
        priority,
        prompt_tokens: 500,
        prefix: None,
        done_tokens: 0,
        max_tokens: 1_000,
        deadline_ms: 600_000,
        avoid: Vec::new(),
    }
}

fn admission(engines: &[&str]) -> Admission {
    let mut admission = Admission::new(AdmissionOptions::default(), SEED);
    set_engines(&mut admission, engines, &[]);
    for engine in engines {
        report(&mut admission, engine, 0);
    }
    admission
}

fn set_engines(admission: &mut Admission, engines: &[&str], leaving: &[&str]) {
    let facts = engines.iter().map(|name| EngineFacts {
        name: Upstream::from(*name),
        models: vec![Model::from("m")],
        is_near: true,
        leaving: leaving.contains(name),
    });
    admission.set_engines(facts.collect());
}

fn report(admission: &mut Admission, engine: &str, used_tokens: u64) {
    let report = EngineReport { used_tokens, memory_tokens: MEMORY_TOKENS, waiting: 0 };
    admission.report(&Upstream::from(engine), report);
}

fn engine_of(decision: &Decision) -> Option<&str> {
    match decision {
        Decision::Start { engine, .. } => Some(engine.as_str()),
        Decision::Refuse { .. } => None,
    }
}

/// Enqueues requests until one has to wait; returns the tickets of those that started.
fn fill(admission: &mut Admission, organisation: &str, priority: u8, now_ms: u64) -> Vec<Ticket> {
    let mut started = Vec::new();
    loop {
        let ticket = admission.enqueue(work(organisation, priority), now_ms);
        let decisions = admission.decide(now_ms);
        if !decisions.iter().any(|decision| engine_of(decision).is_some()) {
            admission.withdraw(ticket);
            return started;
        }
        started.push(ticket);
    }
}

/// Trains the length estimates with answers of 900 tokens, run one at a time for 27 s each.
fn train_lengths(admission: &mut Admission) {
    for number in 0..50 {
        let now_ms = number * 1_000;
        let ticket = admission.enqueue(work("a", 9), now_ms);
        assert!(engine_of(&admission.decide(now_ms)[0]).is_some());
        admission.finish(ticket, End::Completed { tokens: 900 }, now_ms + 27_000);
    }
}

#[test]
fn the_expected_peak_stays_under_the_bound() {
    let mut admission = admission(&["e0"]);
    train_lengths(&mut admission);
    let started = fill(&mut admission, "a", 9, 100_000);
    // Each grows to 1,400 tokens of the engine's 10,000.
    assert!((4..=9).contains(&started.len()), "{}", started.len());
}

#[test]
fn waiting_work_starts_by_priority_when_memory_is_released() {
    let mut admission = admission(&["e0"]);
    let started = fill(&mut admission, "a", 9, 0);
    admission.enqueue(work("a", 9), 10);
    let low = admission.enqueue(work("b", 3), 10);
    admission.withdraw(low);
    let low = admission.enqueue(work("b", 3), 10);
    let high = admission.enqueue(work("c", 9), 20);
    assert!(admission.decide(20).iter().all(|decision| engine_of(decision).is_none()));
    for ticket in started {
        admission.finish(ticket, End::Completed { tokens: 100 }, 1_000);
    }
    let order: Vec<_> = admission
        .decide(1_000)
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Start { ticket, .. } => Some(ticket),
            Decision::Refuse { .. } => None,
        })
        .collect();
    let position = |ticket| order.iter().position(|started| *started == ticket);
    assert!(position(high) < position(low), "{order:?}");
    assert!(position(low).is_some());
}

#[test]
fn an_organisation_with_less_service_goes_first() {
    let mut admission = admission(&["e0"]);
    let started = fill(&mut admission, "flood", 5, 0);
    let flooding = admission.enqueue(work("flood", 5), 10);
    let other = admission.enqueue(work("other", 5), 20);
    for ticket in started {
        admission.finish(ticket, End::Completed { tokens: 1_000 }, 30_000);
    }
    let decisions = admission.decide(5_000);
    let first = decisions.first().map(|decision| match decision {
        Decision::Start { ticket, .. } | Decision::Refuse { ticket, .. } => *ticket,
    });
    assert_eq!(first, Some(other));
    assert_ne!(first, Some(flooding));
}

#[test]
fn work_that_cannot_meet_its_deadline_is_refused_at_once_with_a_retry_delay() {
    let mut admission = admission(&["e0"]);
    train_lengths(&mut admission);
    fill(&mut admission, "a", 5, 100_000);
    let within_deadline = admission.enqueue(work("a", 5), 100_000);
    assert!(admission.decide(100_000).is_empty());
    admission.withdraw(within_deadline);
    // Answers have taken 27 s so far, which is longer than the deadline allows.
    let ticket = admission.enqueue(Work { deadline_ms: 110_000, ..work("a", 5) }, 100_000);
    let decisions = admission.decide(100_000);
    let refusal = decisions.iter().find_map(|decision| match decision {
        Decision::Refuse { ticket: refused, retry_after_ms } if *refused == ticket => {
            Some(*retry_after_ms)
        }
        _ => None,
    });
    assert!(refusal.is_some_and(|retry_after_ms| retry_after_ms >= 1_000), "{decisions:?}");
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn no_request_waits_longer_than_the_maximum_wait() {
    let mut admission = admission(&["e0"]);
    fill(&mut admission, "a", 5, 0);
    admission.enqueue(work("b", 5), 0);
    admission.decide(0);
    let limit_ms = AdmissionOptions::default().max_wait_ms;
    let decisions = admission.decide(limit_ms + 1);
    assert!(matches!(decisions[..], [Decision::Refuse { .. }]), "{decisions:?}");
}

#[test]
fn a_leaving_engine_gets_no_work() {
    let mut admission = admission(&["e0", "e1"]);
    set_engines(&mut admission, &["e0", "e1"], &["e0"]);
    for _ in 0..3 {
        admission.enqueue(work("a", 5), 0);
    }
    let decisions = admission.decide(0);
    assert_eq!(decisions.iter().map(engine_of).collect::<Vec<_>>(), [Some("e1"); 3]);
}

#[test]
fn an_avoided_engine_gets_no_work_and_without_another_the_work_is_refused_at_once() {
    let mut admission = admission(&["e0", "e1"]);
    let avoid = |names: &[&str]| names.iter().map(|name| Upstream::from(*name)).collect();
    admission.enqueue(Work { avoid: avoid(&["e0"]), ..work("a", 5) }, 0);
    assert_eq!(engine_of(&admission.decide(0)[0]), Some("e1"));
    admission.enqueue(Work { avoid: avoid(&["e0", "e1"]), ..work("a", 5) }, 0);
    assert!(matches!(admission.decide(0)[..], [Decision::Refuse { .. }]));
}

#[test]
fn the_use_of_a_peer_counts_before_the_engine_reports_it() {
    let (mut one, mut other) = (admission(&["e0"]), admission(&["e0"]));
    fill(&mut one, "a", 9, 0);
    let uses = one.own_use(0);
    other.peer_use(&DaemonName::from("d0"), &uses, 0, 0);
    assert!(fill(&mut other, "a", 9, 0).len() <= 1);
    // The use of a peer that stops reporting expires; the engine's report still counts.
    let later_ms = AdmissionOptions::default().peer_use_ms + 1;
    assert!(!fill(&mut other, "a", 9, later_ms).is_empty());
}

#[test]
fn use_that_only_the_report_shows_counts() {
    let mut admission = admission(&["e0"]);
    report(&mut admission, "e0", MEMORY_TOKENS - 100);
    assert!(fill(&mut admission, "a", 9, 0).is_empty());
}

#[test]
fn a_continued_generation_starts_where_fresh_work_has_to_wait() {
    let mut admission = admission(&["e0"]);
    train_lengths(&mut admission);
    fill(&mut admission, "a", 9, 100_000);
    let fresh = admission.enqueue(work("a", 9), 100_000);
    let continued = admission.enqueue(Work { done_tokens: 300, ..work("b", 1) }, 100_000);
    let decisions = admission.decide(100_000);
    let started = |of| {
        decisions
            .iter()
            .any(|decision| matches!(decision, Decision::Start { ticket, .. } if *ticket == of))
    };
    assert!(started(continued), "{decisions:?}");
    assert!(!started(fresh), "{decisions:?}");
}

#[test]
fn a_cached_prefix_attracts_work_until_the_hint_has_decayed() {
    let mut admission = admission(&["e0", "e1"]);
    let prefixed = Work { prefix: Some(7), ..work("a", 9) };
    admission.cache_event(&Upstream::from("e1"), 7, true, 0);
    admission.enqueue(prefixed.clone(), 0);
    assert_eq!(engine_of(&admission.decide(0)[0]), Some("e1"));
    // Once the hint has decayed, the empty engine is preferred to the one that has work.
    admission.enqueue(prefixed, 600_000);
    assert_eq!(engine_of(&admission.decide(600_000)[0]), Some("e0"));
}

#[test]
fn daemons_with_waiting_work_share_the_room_that_all_of_them_see() {
    const DAEMONS: usize = 8;
    let started_by_all = |waiting_at_peer: u32| {
        let started = (0..DAEMONS).map(|own| {
            let mut one = Admission::new(AdmissionOptions::default(), own as u64);
            set_engines(&mut one, &["e0"], &[]);
            report(&mut one, "e0", 0);
            for peer in (0..DAEMONS).filter(|peer| *peer != own) {
                one.peer_use(&DaemonName::from(format!("d{peer}")), &[], waiting_at_peer, 0);
            }
            // An empty engine takes any work, so the first start is not counted.
            fill(&mut one, "a", 9, 0).len().saturating_sub(1)
        });
        started.sum::<usize>()
    };
    let (without_competitors, with_competitors) = (started_by_all(0), started_by_all(1));
    assert!(
        with_competitors * 4 <= without_competitors,
        "{with_competitors} of {without_competitors}"
    );
}
