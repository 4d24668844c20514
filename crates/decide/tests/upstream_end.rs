//! Whether an upstream has ended.

use comfreymast_decide::upstream_end::{EndSign, EndStep, EndWatch, EndWatchOptions};
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
            dials += u32::from(step == EndStep::Dial);
        }
        prop_assert!(dials <= EndWatchOptions::default().max_dials);
    }
}
