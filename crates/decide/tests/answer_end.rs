//! Whether an answer that has ended is whole.

use comfreymast_base::EndMark;
use comfreymast_decide::answer_end::{AnswerEnd, BreakReason, Verdict, judge};
use proptest::prelude::*;

fn closed() -> AnswerEnd {
    AnswerEnd::of(EndMark::ConnectionClosed)
}

#[test]
fn an_unframed_answer_is_whole_only_while_its_upstream_lives() {
    assert_eq!(judge(closed()), Verdict::WholeIfUpstreamLives);
    let stopped = AnswerEnd { may_be_stopped: true, ..closed() };
    assert_eq!(judge(stopped), Verdict::Broken(BreakReason::Stopped));
}

#[test]
fn a_framed_answer_is_whole_although_its_generation_may_have_been_stopped() {
    let end = AnswerEnd { mark: EndMark::Framed, may_be_stopped: true, ..closed() };
    assert_eq!(judge(end), Verdict::Whole);
}

proptest! {
    #[test]
    fn an_answer_that_ends_inside_an_event_or_without_one_or_with_a_failure_is_never_whole(
        mark in prop::sample::select(vec![EndMark::Framed, EndMark::ConnectionClosed, EndMark::Failed]),
        is_inside_event: bool,
        may_be_stopped: bool,
        lacks_event: bool,
    ) {
        let verdict = judge(AnswerEnd { mark, is_inside_event, may_be_stopped, lacks_event });
        if is_inside_event || lacks_event || mark == EndMark::Failed {
            prop_assert!(matches!(verdict, Verdict::Broken(_)));
        }
    }
}
