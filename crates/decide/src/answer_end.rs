//! Whether an answer that has ended is whole.
//!
//! Load pattern: upstreams that crash, or fail single runs, in the middle of an answer. What the end
//! looks like depends on how the answer was framed: an unframed answer ends with its connection, and
//! a process that dies closes its connections in good order too.
//!
//! ```
//! use comfreymast_base::EndMark;
//! use comfreymast_decide::answer_end::{AnswerEnd, BreakReason, Verdict, judge};
//!
//! let end = AnswerEnd { is_inside_event: true, ..AnswerEnd::of(EndMark::Framed) };
//! assert_eq!(judge(end), Verdict::Broken(BreakReason::InsideEvent));
//! ```

use comfreymast_base::EndMark;
use derive_more::{Display, Error};

/// What is known of an answer when no more of it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// What marked the end.
    pub mark: EndMark,
    /// True when a stream of events ended inside an event.
    pub is_inside_event: bool,
    /// True when the upstream was asked to stop the generation and did not say that it has not.
    pub may_be_stopped: bool,
    /// True when an event that was under way when the stream broke off has not come since it went on.
    pub lacks_event: bool,
}

impl AnswerEnd {
    /// An end with this mark of which nothing else is known.
    #[must_use]
    pub fn of(mark: EndMark) -> Self {
        Self { mark, is_inside_event: false, may_be_stopped: false, lacks_event: false }
    }
}

/// Why an answer is not whole.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BreakReason {
    /// The connection failed before the end.
    #[display("connection failed")]
    ConnectionFailed,
    /// The answer, or an event of it, was longer than allowed.
    #[display("too long")]
    TooLong,
    /// The stream ended inside an event.
    #[display("ended inside an event")]
    InsideEvent,
    /// The stream went on elsewhere, and ended without the event that was under way before.
    #[display("ended without the event that was under way")]
    EventMissing,
    /// An event came that does not say where in the stream it belongs.
    #[display("event of another answer")]
    ForeignEvent,
    /// The generation may have been stopped, and only the connection marked the end.
    #[display("generation may have been stopped")]
    Stopped,
    /// The upstream has ended, and only the connection marked the end of the answer.
    #[display("upstream ended")]
    UpstreamEnded,
}

/// What an answer's end says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is whole.
    Whole,
    /// The answer broke off.
    Broken(BreakReason),
    /// The answer is whole unless its upstream has ended.
    WholeIfUpstreamLives,
}

/// Judges an answer by its end.
#[must_use]
pub fn judge(end: AnswerEnd) -> Verdict {
    match end.mark {
        EndMark::Failed => Verdict::Broken(BreakReason::ConnectionFailed),
        EndMark::TooLong => Verdict::Broken(BreakReason::TooLong),
        _ if end.is_inside_event => Verdict::Broken(BreakReason::InsideEvent),
        _ if end.lacks_event => Verdict::Broken(BreakReason::EventMissing),
        EndMark::Framed => Verdict::Whole,
        EndMark::ConnectionClosed if end.may_be_stopped => Verdict::Broken(BreakReason::Stopped),
        EndMark::ConnectionClosed => Verdict::WholeIfUpstreamLives,
    }
}
