//! The state machine of one move: the next request to the source engine after each of its answers.
//!
//! A generation continues elsewhere only after its engine has confirmed that it stopped. A lost
//! answer is inconclusive, so the request is retried while the engine is expected to be alive.
//!
//! Load pattern: engines that leave with several long answers each, over links that drop calls.

use crate::evacuation::{EvacuationOptions, NextCopy, next_copy};

/// The outcome of one copy request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is at the target.
    Arrived,
    /// Another copy of the generation is in progress.
    Busy,
    /// The target has no room, or cannot be reached from the engine.
    NoRoom,
    /// Like `NoRoom`, and the engine named a copy that it keeps itself.
    Kept,
    /// The engine does not run the generation.
    Unknown,
    /// The engine could not be asked, or its answer was lost.
    Unanswered,
}

/// Why a generation stays on an engine that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StayReason {
    /// The engine does not run it.
    NotRunning,
    /// The engine did not answer in time.
    Unanswered,
}

/// The next step of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Request a copy to the same target, after a pause unless `pause_ms` is 0.
    Copy {
        /// The time to wait before the request.
        pause_ms: u64,
        /// True when the engine is to stop the generation for this copy.
        is_last: bool,
    },
    /// Choose another target and request a copy there.
    OtherTarget {
        /// True when the engine is to stop the generation for this copy.
        is_last: bool,
    },
    /// Continue at the target.
    ContinueAtTarget,
    /// Continue from the copy that the source engine keeps.
    ContinueAtSource,
    /// Leave the generation on its engine.
    Stay(StayReason),
}

/// The state of one move. Create one per move with `MoveProgress::default()`, and request the first
/// copy without stopping the generation:
///
/// ```
/// use comfreymast_decide::evacuation::EvacuationOptions;
/// use comfreymast_decide::move_steps::{CopyOutcome, MoveProgress, MoveStep};
///
/// let mut progress = MoveProgress::default();
/// let step = progress.after(CopyOutcome::Arrived, 12, 300, &EvacuationOptions::default());
/// assert_eq!(step, MoveStep::Copy { pause_ms: 0, is_last: true });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveProgress {
    /// True once the engine has been asked to stop the generation.
    is_stopping: bool,
}

impl MoveProgress {
    /// True when the engine is to stop the generation for the next copy.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.is_stopping
    }

    /// The step after a copy with this outcome that took `copy_ms` and ended `since_notice_ms`
    /// after the engine's notice.
    pub fn after(
        &mut self,
        outcome: CopyOutcome,
        copy_ms: u64,
        since_notice_ms: u64,
        options: &EvacuationOptions,
    ) -> MoveStep {
        let is_last = self.is_stopping;
        match outcome {
            CopyOutcome::Arrived if is_last => MoveStep::ContinueAtTarget,
            CopyOutcome::Arrived => {
                self.is_stopping = next_copy(copy_ms, since_notice_ms, options) == NextCopy::Last;
                MoveStep::Copy { pause_ms: 0, is_last: self.is_stopping }
            }
            CopyOutcome::Kept if is_last => MoveStep::ContinueAtSource,
            // Unless asked to stop, the generation keeps running, whatever copy its engine keeps.
            CopyOutcome::Kept | CopyOutcome::NoRoom => MoveStep::OtherTarget { is_last },
            CopyOutcome::Unknown => MoveStep::Stay(StayReason::NotRunning),
            CopyOutcome::Busy | CopyOutcome::Unanswered
                if since_notice_ms >= options.give_up_ms =>
            {
                MoveStep::Stay(StayReason::Unanswered)
            }
            CopyOutcome::Busy | CopyOutcome::Unanswered => {
                MoveStep::Copy { pause_ms: options.retry_pause_ms, is_last }
            }
        }
    }
}
