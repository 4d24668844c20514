//! The steps of one move: what is asked of the engine that leaves after each of its answers.
//!
//! A generation goes on elsewhere only once its engine has said that it stopped. An answer that is
//! lost decides nothing, so the same is asked again while the engine is expected to be there.
//!
//! Load pattern: engines that leave with several long answers each, over links that drop calls.

use crate::evacuation::{EvacuationOptions, NextCopy, next_copy};

/// What came of one request to copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is at the target.
    Arrived,
    /// Another copy of the generation is under way.
    Busy,
    /// The target has no room, or cannot be reached from the engine.
    NoRoom,
    /// The same, and the engine named a copy that it keeps itself.
    Kept,
    /// The engine runs no such generation.
    Unknown,
    /// The engine was not asked, or its answer was lost.
    Unanswered,
}

/// Why a generation stays on an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StayReason {
    /// The engine does not run it.
    NotRunning,
    /// The engine did not answer in time.
    Unanswered,
}

/// What a move does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Ask for a copy to the same target, after a pause unless `pause_ms` is 0.
    Copy {
        /// The time to wait before.
        pause_ms: u64,
        /// True when the generation is to stop for it.
        is_last: bool,
    },
    /// Choose another target and ask for a copy there.
    OtherTarget {
        /// True when the generation is to stop for it.
        is_last: bool,
    },
    /// Go on at the target.
    GoOnAtTarget,
    /// Go on from the copy that the engine keeps.
    GoOnAtSource,
    /// Leave the generation where it is.
    Stay(StayReason),
}

/// How far a move has come. Make one for each move with `MoveProgress::default()`, and ask for the
/// first copy without stopping the generation:
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
    /// True once the engine was asked to stop the generation.
    is_stopping: bool,
}

impl MoveProgress {
    /// True when the next copy is to stop the generation.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.is_stopping
    }

    /// The step that follows the outcome of a copy which took `copy_ms` and ended `since_notice_ms`
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
            CopyOutcome::Arrived if is_last => MoveStep::GoOnAtTarget,
            CopyOutcome::Arrived => {
                self.is_stopping = next_copy(copy_ms, since_notice_ms, options) == NextCopy::Last;
                MoveStep::Copy { pause_ms: 0, is_last: self.is_stopping }
            }
            CopyOutcome::Kept if is_last => MoveStep::GoOnAtSource,
            // Without being asked to stop, the generation runs on whatever its engine keeps.
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
