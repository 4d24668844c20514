//! Moves over links that lose calls and answers: a generation continues elsewhere only after its
//! engine has stopped it, and every move terminates.

use comfreymast_decide::evacuation::EvacuationOptions;
use comfreymast_decide::move_steps::{CopyOutcome, MoveProgress, MoveStep, StayReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 21;
const MAX_STEPS: usize = 400;

/// What a link does with one call.
#[derive(Clone, Copy, Debug)]
enum Link {
    Delivers,
    DropsCall,
    DropsAnswer,
    /// The call arrives twice, and the second answer is the one that counts.
    Duplicates,
}

/// How the source engine handles a call that arrives.
#[derive(Clone, Copy, Debug)]
enum Handling {
    Copies,
    Busy,
    TargetFull,
    NotRunning,
}

/// The source engine, which runs one generation until it is told to stop.
#[derive(Debug, Default)]
struct Engine {
    is_stopped: bool,
}

impl Engine {
    fn copy(&mut self, handling: Handling, is_last: bool) -> CopyOutcome {
        match handling {
            Handling::Busy => CopyOutcome::Busy,
            Handling::NotRunning => CopyOutcome::Unknown,
            Handling::Copies => {
                self.is_stopped |= is_last;
                CopyOutcome::Arrived
            }
            Handling::TargetFull => {
                self.is_stopped |= is_last;
                if is_last { CopyOutcome::Kept } else { CopyOutcome::NoRoom }
            }
        }
    }

    fn call(&mut self, link: Link, handling: Handling, is_last: bool) -> CopyOutcome {
        match link {
            Link::DropsCall => CopyOutcome::Unanswered,
            Link::Delivers => self.copy(handling, is_last),
            Link::DropsAnswer => {
                self.copy(handling, is_last);
                CopyOutcome::Unanswered
            }
            Link::Duplicates => {
                self.copy(handling, is_last);
                self.copy(handling, is_last)
            }
        }
    }
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        3 => Just(Link::Delivers),
        1 => Just(Link::DropsCall),
        1 => Just(Link::DropsAnswer),
        1 => Just(Link::Duplicates),
    ]
}

fn handling() -> impl Strategy<Value = Handling> {
    prop_oneof![
        6 => Just(Handling::Copies),
        2 => Just(Handling::Busy),
        2 => Just(Handling::TargetFull),
        1 => Just(Handling::NotRunning),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_generation_continues_only_after_it_has_stopped(
        calls in prop::collection::vec((link(), handling(), 1_u64..400), 1..40),
    ) {
        let options = EvacuationOptions::default();
        let mut engine = Engine::default();
        let mut progress = MoveProgress::default();
        let mut is_last = false;
        let mut since_notice_ms = 0;
        for number in 0..MAX_STEPS {
            let (link, handling, took_ms) = calls[number % calls.len()];
            let outcome = engine.call(link, handling, is_last);
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
        // Only targets without room can prolong a move this much; in practice they run out.
        prop_assert!(calls.iter().any(|(_, handling, _)| matches!(handling, Handling::TargetFull)));
    }
}

#[test]
fn the_request_for_the_last_copy_is_retried_when_its_answer_is_lost() {
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
fn a_running_generation_does_not_continue_from_a_copy_that_its_engine_keeps() {
    let options = EvacuationOptions::default();
    let step = MoveProgress::default().after(CopyOutcome::Kept, 10, 200, &options);
    assert_eq!(step, MoveStep::OtherTarget { is_last: false });
}
