use comfreymast_base::Service;
use comfreymast_platform::PromptShape;

use super::stream_need::room_request;
use crate::call::Call;
use crate::dispatch::Dispatch;

/// The priority of a stream at the engine that starts it.
pub(crate) fn first_priority(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
    shape: &PromptShape,
) -> u8 {
    priority(dispatch, call, service, shape, false)
}

/// The priority of a stream at an engine that continues it.
pub(crate) fn continued_priority(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
    shape: &PromptShape,
) -> u8 {
    priority(dispatch, call, service, shape, true)
}

fn priority(
    dispatch: &Dispatch,
    call: &Call,
    service: &Service,
    shape: &PromptShape,
    has_run: bool,
) -> u8 {
    let configuration = dispatch.configuration.load();
    let spec = configuration.as_ref().and_then(|configuration| configuration.service(service));
    if spec.is_none_or(|spec| spec.engine.is_none()) {
        return call.priority();
    }
    dispatch.rooms.priority_levels().engine_priority(&room_request(call, shape), has_run)
}
