use std::sync::Arc;

use comfreymast_base::Upstream;
use comfreymast_decide::room::order::RoomRequest;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::EngineSpec;
use comfreymast_platform::PromptShape;

use crate::call::Call;
use crate::generation::expected_tokens;

/// A stream that needs an engine with room.
#[derive(Clone, Debug)]
pub(crate) struct StreamNeed {
    /// What decides its place among others.
    pub(crate) request: RoomRequest,
    /// The id of its request.
    pub(crate) id: Arc<str>,
    /// What the engines are.
    pub(crate) spec: EngineSpec,
    /// True if the configuration describes the engines.
    pub(crate) has_engine: bool,
    /// The software versions that may run it.
    pub(crate) version: VersionNeed,
    /// The engines that were tried.
    pub(crate) excluded: Vec<Upstream>,
    /// True while none of these was reached.
    pub(crate) is_unsent: bool,
}

/// What decides the place of a call among those that wait.
pub(crate) fn room_request(call: &Call, shape: &PromptShape) -> RoomRequest {
    RoomRequest {
        priority: call.priority(),
        organisation: call.key_holder.as_ref().map(|holder| holder.organisation.clone()),
        arrived_ms: call.started_ms,
        target_latency_ms: call.route.target_latency_ms,
        timeout_at_ms: call.timeout_at_ms,
        prompt_tokens: shape.prompt_tokens,
        output_tokens: shape.expected_output_tokens.unwrap_or(shape.max_output_tokens),
        need_tokens: expected_tokens(shape, 0),
    }
}
