//! Moves over links that lose calls and answers: a generation goes on elsewhere only once its
//! engine has stopped it, and every move comes to an end.

use comfreymast_decide::evacuation::EvacuationOptions;
use comfreymast_decide::move_steps::{CopyOutcome, MoveProgress, MoveStep, StayReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 21;
const MOST_STEPS: usize = 400;

/// What a link does with one call.
#[derive(Clone, Copy, Debug)]
enum Link {
    Carries,
    LosesCall,
    LosesAnswer,
    /// The call arrives twice, and the second answer is the one that counts.
    Doubles,
}

/// What the engine that leaves makes of a call that arrives.
#[derive(Clone, Copy, Debug)]
enum Will {
    Copies,
    IsBusy,
    TargetIsFull,
    Ended,
}

/// The engine that leaves: runs one generation until it is told to stop.
#[derive(Debug, Default)]
struct Engine {
    is_stopped: bool,
}

impl Engine {
    fn copy(&mut self, will: Will, is_last: bool) -> CopyOutcome {
        match will {
            Will::IsBusy => CopyOutcome::Busy,
            Will::Ended => CopyOutcome::Unknown,
            Will::Copies => {
                self.is_stopped |= is_last;
                CopyOutcome::Arrived
            }
            Will::TargetIsFull => {
                self.is_stopped |= is_last;
                if is_last { CopyOutcome::Kept } else { CopyOutcome::NoRoom }
            }
        }
    }

    fn call(&mut self, link: Link, will: Will, is_last: bool) -> CopyOutcome {
        match link {
            Link::LosesCall => CopyOutcome::Unanswered,
            Link::Carries => self.copy(will, is_last),
            Link::LosesAnswer => {
                self.copy(will, is_last);
                CopyOutcome::Unanswered
            }
            Link::Doubles => {
                self.copy(will, is_last);
                self.copy(will, is_last)
            }
        }
    }
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        3 => Just(Link::Carries),
        1 => Just(Link::LosesCall),
        1 => Just(Link::LosesAnswer),
        1 => Just(Link::Doubles),
    ]
}

fn will() -> impl Strategy<Value = Will> {
    prop_oneof![
        6 => Just(Will::Copies),
        2 => Just(Will::IsBusy),
        2 => Just(Will::TargetIsFull),
        1 => Just(Will::Ended),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_generation_goes_on_only_where_it_has_stopped(
        calls in prop::collection::vec((link(), will(), 1_u64..400), 1..40),
    ) {
        let options = EvacuationOptions::default();
        let mut engine = Engine::default();
        let mut progress = MoveProgress::default();
        let mut is_last = false;
        let mut since_notice_ms = 0;
        for number in 0..MOST_STEPS {
            let (link, will, took_ms) = calls[number % calls.len()];
            let outcome = engine.call(link, will, is_last);
            since_notice_ms += took_ms;
            match progress.after(outcome, took_ms, since_notice_ms, &options) {
                MoveStep::Copy { pause_ms, is_last: next } => {
                    since_notice_ms += pause_ms;
                    prop_assert!(next || !is_last, "a stop is never taken back");
                    is_last = next;
                }
                MoveStep::OtherTarget { is_last: next } => {
                    prop_assert!(next || !is_last, "a stop is never taken back");
                    is_last = next;
                }
                MoveStep::ContinueAtTarget => {
                    prop_assert!(engine.is_stopped);
                    prop_assert_eq!(outcome, CopyOutcome::Arrived);
                    return Ok(());
                }
                MoveStep::ContinueAtSource => {
                    prop_assert!(engine.is_stopped);
                    prop_assert_eq!(outcome, CopyOutcome::Kept);
                    return Ok(());
                }
                MoveStep::Stay(StayReason::Unanswered) => {
                    prop_assert!(since_notice_ms >= options.give_up_ms);
                    return Ok(());
                }
                MoveStep::Stay(StayReason::NotRunning) => return Ok(()),
            }
        }
        // Only targets without room can keep a move busy for so long; they run out.
        prop_assert!(calls.iter().any(|(_, will, _)| matches!(will, Will::TargetIsFull)));
    }
}

#[test]
fn a_lost_answer_to_the_last_copy_is_asked_for_again() {
    let options = EvacuationOptions::default();
    let mut progress = MoveProgress::default();
    let step = progress.after(CopyOutcome::Arrived, 10, 200, &options);
    assert_eq!(step, MoveStep::Copy { pause_ms: 0, is_last: true });
    let step = progress.after(CopyOutcome::Unanswered, 300, 500, &options);
    assert_eq!(step, MoveStep::Copy { pause_ms: options.retry_pause_ms, is_last: true });
    let step = progress.after(CopyOutcome::Arrived, 10, 540, &options);
    assert_eq!(step, MoveStep::ContinueAtTarget);
}

#[test]
fn a_copy_that_the_engine_keeps_of_a_running_generation_is_not_gone_on_from() {
    let options = EvacuationOptions::default();
    let step = MoveProgress::default().after(CopyOutcome::Kept, 10, 200, &options);
    assert_eq!(step, MoveStep::OtherTarget { is_last: false });
}
