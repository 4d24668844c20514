use std::sync::{Arc, Weak};

use comfreymast_net::sleep_ms;

use super::store_writer::{put_key, store_client};
use crate::dispatch::Dispatch;
use crate::feed::EraChange;
use crate::followed_topic::FollowedTopic;

/// The delay of the first daemon by name, and that of each further one behind the one before it.
/// Longer than daemons take to see what another one wrote.
const STAGGER_MS: u64 = 500;
/// Daemons behind this many write at the same time.
const MAX_RANK: usize = 8;

/// Writes again what the store lost when it came back from an older copy, and deletes again what the
/// copy brought back. Daemons take turns, and each writes only what nobody has written before it.
pub(super) async fn restore_lost(
    dispatch: Arc<Dispatch>,
    followed: Weak<FollowedTopic>,
    change: EraChange,
) {
    let rank = dispatch.peers.readers_before().min(MAX_RANK) as u64;
    sleep_ms((rank + 1) * STAGGER_MS).await;
    let Some(followed) = followed.upgrade() else { return };
    let mut store = store_client(&dispatch);
    for key in &change.lost {
        while let Some(value) = followed.unconfirmed_value(key) {
            if followed.position().era != change.after.era {
                return;
            }
            log::info!(target: "comfreymast", code = 1609, fingerprint = key.as_str();
                "suspected request written again");
            if put_key(&mut store, key, &value).await {
                break;
            }
            sleep_ms(STAGGER_MS).await;
        }
    }
    for key in change.resurrected.iter().filter(|key| followed.was_removed_before(key)) {
        // If it fails, the record stays in the store, and daemons that start later apply it.
        put_key(&mut store, key, &[]).await;
    }
}
