use std::sync::Arc;

use comfreymast_decide::suspension::{ClockPair, suspended_ms};
use comfreymast_net::sleep_ms;
use rustix::time::{ClockId, clock_gettime};

use crate::dispatch::Dispatch;
use crate::followed_topic::FollowedTopic;

const INTERVAL_MS: u64 = 200;

/// Detects that the VM was suspended. The monotonic clock did not count that time, so pooled
/// connections and updates look fresher than they are: the connections are closed and the store
/// is queried again.
pub(crate) async fn watch(dispatch: Arc<Dispatch>, followed: [Arc<FollowedTopic>; 3]) {
    let mut before = read_clocks(&dispatch);
    loop {
        sleep_ms(INTERVAL_MS).await;
        let now = read_clocks(&dispatch);
        if let Some(suspended_ms) = suspended_ms(before, now) {
            log::warn!(target: "comfreymast", code = 1006, suspended_ms;
                "VM was suspended and its monotonic clock stopped");
            for upstream in dispatch.directory.load().all() {
                upstream.pool.clear();
            }
            dispatch.directory.with_versions(|versions, now_ms| versions.record_gap(now_ms));
            followed.iter().for_each(|followed| followed.refresh());
        }
        before = now;
    }
}

fn read_clocks(dispatch: &Dispatch) -> ClockPair {
    const MS_PER_S: u64 = 1_000;
    const NS_PER_MS: u64 = 1_000_000;
    let boot = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(boot.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(boot.tv_nsec).unwrap_or(0);
    ClockPair {
        monotonic_ms: dispatch.clock.now_ms(),
        boot_ms: seconds * MS_PER_S + nanoseconds / NS_PER_MS,
    }
}
