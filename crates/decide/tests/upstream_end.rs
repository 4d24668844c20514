//! Whether an upstream has ended.

use comfreymast_decide::upstream_end::{
    EndSign, EndStep, EndWatch, EndWatchOptions, PeerFinding, has_ended,
};
use proptest::prelude::*;

fn watch() -> EndWatch {
    EndWatch::new(EndWatchOptions::default())
}

#[test]
fn silence_is_no_end_unless_a_new_start_follows() {
    let mut silent = watch();
    assert!(matches!(silent.after(EndSign::Unanswered), EndStep::AwaitRestart { .. }));
    assert_eq!(silent.after(EndSign::NoNews), EndStep::NotEnded);
    let mut restarted = watch();
    restarted.after(EndSign::Unanswered);
    assert_eq!(restarted.after(EndSign::Restarted), EndStep::Ended);
}

#[test]
fn an_upstream_that_announced_its_leave_has_not_ended_under_a_request() {
    let mut left = watch();
    left.after(EndSign::Accepted);
    left.after(EndSign::StayedOpen);
    assert_eq!(left.after(EndSign::Left), EndStep::NotEnded);
}

/// The step at which a watch ends whose upstream closes each connection at once until its port closes
/// `port_delay_ms` after its end.
fn watch_closing_upstream(port_delay_ms: u64) -> EndStep {
    const ROUND_TRIP_MS: u64 = 1;
    let mut watch = watch();
    let mut now_ms = 0;
    loop {
        now_ms += ROUND_TRIP_MS;
        let first = if now_ms > port_delay_ms { EndSign::Refused } else { EndSign::Accepted };
        let mut step = watch.after(first);
        if first == EndSign::Accepted {
            now_ms += ROUND_TRIP_MS;
            step = watch.after(EndSign::Closed);
        }
        match step {
            EndStep::Dial { after_ms } => now_ms += after_ms,
            step => return step,
        }
    }
}

#[test]
fn an_upstream_that_closes_new_connections_is_dialled_until_its_port_closes() {
    for port_delay_ms in 0..=300 {
        assert_eq!(watch_closing_upstream(port_delay_ms), EndStep::Ended, "{port_delay_ms} ms");
    }
}

proptest! {
    #[test]
    fn an_end_needs_a_refusal_or_a_new_start(signs in prop::collection::vec(prop::sample::select(vec![
        EndSign::Accepted, EndSign::Unanswered, EndSign::Closed, EndSign::StayedOpen, EndSign::NoNews,
    ]), 0..20)) {
        let mut watch = watch();
        let mut dials = 1;
        for sign in signs {
            let step = watch.after(sign);
            prop_assert_ne!(step, EndStep::Ended);
            dials += u32::from(matches!(step, EndStep::Dial { .. }));
        }
        prop_assert!(dials <= EndWatchOptions::default().max_dials);
    }
}

#[test]
fn a_refusal_shows_an_end_unless_somebody_else_is_let_in() {
    assert!(has_ended(&[]), "a fleet of one daemon");
    assert!(has_ended(&[PeerFinding::NotAccepted, PeerFinding::NotAccepted]));
    assert!(!has_ended(&[PeerFinding::NotAccepted, PeerFinding::Accepted]));
}
