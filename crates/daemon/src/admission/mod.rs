//! The shell around [`comfreymast_decide::admission`]: requests wait here for an engine.
//!
//! * [`admit`] — waits for an engine; gives an [`EnginePermit`] that holds it.
//! * [`run`] — starts waiting requests as room comes up, and tells peers what runs here.

mod engine_permit;
mod engine_queue;
mod exchange;

pub(crate) use engine_permit::EnginePermit;
pub(crate) use engine_queue::{EngineQueue, EngineRequest, admit, engines_used};
pub(crate) use exchange::{run, take_use};
