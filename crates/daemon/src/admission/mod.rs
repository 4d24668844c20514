//! Queues requests for engines, using the decisions of [`comfreymast_decide::admission`].
//!
//! * [`admit`] — waits for an engine and returns an [`EnginePermit`] for it.
//! * [`run`] — starts queued requests as engines get room, and reports engine use to peers.

mod engine_permit;
mod engine_queue;
mod exchange;

pub(crate) use engine_permit::EnginePermit;
pub(crate) use engine_queue::{EngineQueue, EngineRequest, admit, engines_used};
pub(crate) use exchange::{handle_peer_use, run};
