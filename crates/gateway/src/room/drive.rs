use std::sync::Arc;

use comfreymast_net::{sleep_ms, within};

use super::service_room::ServiceRoom;
use crate::dispatch::Dispatch;

/// Time between two walks over the queue, so that events that come together cause one.
const WALK_SPACING_MS: u64 = 2;

/// Starts the waiting streams of one service when room becomes free, until none waits.
pub(super) async fn drive(dispatch: Arc<Dispatch>, room: Arc<ServiceRoom>) {
    loop {
        // Registered before the walk, so that no later event is missed.
        let changed = room.signal.listen();
        let Some(next_ms) = room.walk(&dispatch) else { return };
        let pause_ms = next_ms.saturating_sub(dispatch.clock.now_ms());
        // A timeout means that a stream has waited long enough for another decision.
        let _ = within(pause_ms, changed).await;
        sleep_ms(WALK_SPACING_MS).await;
    }
}
