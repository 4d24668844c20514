use std::sync::{Arc, Weak};

use async_channel::Sender;
use comfreymast_base::StorePosition;
use comfreymast_decide::entry_expiry::{EntryExpiryOptions, keep_ms};
use comfreymast_net::sleep_ms;
use comfreymast_platform::{
    CONFIGURATION_KEY, Topic, configuration_revision, decode_configuration, decode_upstream,
    upstream_revision,
};
use comfreymast_wire::news::TopicDelta;

use crate::dispatch::Dispatch;
use crate::evacuation::apply_changes;
use crate::feed::{EraChange, FeedChange};
use crate::followed_topic::FollowedTopic;
use crate::topic_handlers::TopicHandlers;

/// Subtracted from the time within which a leaving upstream must stop getting new requests, for
/// those under way to it.
const LEAVE_MARGIN_MS: u64 = 100;

/// Follows the operators' topic, and puts each configuration and evacuation in force.
pub(crate) fn follow_operators(
    dispatch: &Arc<Dispatch>,
    deltas: Sender<TopicDelta>,
) -> Arc<FollowedTopic> {
    let target = dispatch.clone();
    let on_change = move |changes: &[FeedChange]| {
        apply_changes(&target, changes);
        for change in changes.iter().filter(|change| change.key == CONFIGURATION_KEY) {
            let Some(value) = &change.value else { continue };
            match decode_configuration(value) {
                Ok(configuration) => target.apply_configuration(configuration),
                Err(error) => {
                    log::error!(target: "comfreymast", code = 1204, error:%;
                        "configuration skipped");
                }
            }
        }
    };
    let target = dispatch.clone();
    let on_era_change = move |change: &EraChange| target.record_store_return(change.after.era);
    let wait_ms = first_wait_ms(dispatch);
    let handlers = TopicHandlers {
        on_change: Box::new(on_change),
        on_era_change: Box::new(on_era_change),
        revision_of: configuration_revision,
        keeps_removals: true,
    };
    let clock = dispatch.clock.clone();
    Arc::new(FollowedTopic::new(Topic::Operators, clock, wait_ms, handlers, deltas))
}

/// Follows the entries that upstreams write, and updates the directory.
pub(crate) fn follow_upstreams(
    dispatch: &Arc<Dispatch>,
    deltas: Sender<TopicDelta>,
) -> Arc<FollowedTopic> {
    Arc::new_cyclic(|followed: &Weak<FollowedTopic>| {
        let target = dispatch.clone();
        let followed = followed.clone();
        let (era_target, era_followed) = (dispatch.clone(), followed.clone());
        let on_era_change = move |change: &EraChange| {
            let drop_lost =
                drop_lost_upstreams(era_target.clone(), era_followed.clone(), change.after);
            era_target.spawner.detach(drop_lost);
        };
        let on_change = move |changes: &[FeedChange]| {
            for change in changes {
                match &change.value {
                    Some(value) => apply_upstream(&target, &change.key, value),
                    None => remove_upstream(&target, &followed, &change.key),
                }
            }
        };
        let wait_ms = first_wait_ms(dispatch);
        let handlers = TopicHandlers {
            on_change: Box::new(on_change),
            on_era_change: Box::new(on_era_change),
            revision_of: upstream_revision,
            keeps_removals: false,
        };
        FollowedTopic::new(Topic::Upstreams, dispatch.clock.clone(), wait_ms, handlers, deltas)
    })
}

/// How long reads wait for a change until peers are known.
fn first_wait_ms(dispatch: &Dispatch) -> u64 {
    if dispatch.is_awaiting_peers() {
        FollowedTopic::NOT_READING_MS
    } else {
        dispatch.options.store_wait_ms
    }
}

/// Removes the upstreams that the store lost when it came back from an older copy, once live ones
/// have had time to register again.
async fn drop_lost_upstreams(
    dispatch: Arc<Dispatch>,
    followed: Weak<FollowedTopic>,
    returned_at: StorePosition,
) {
    sleep_ms(dispatch.options.expired_entry_grace_ms).await;
    let Some(followed) = followed.upgrade() else { return };
    // After a later return, upstreams have more time.
    if followed.position().era == returned_at.era {
        followed.drop_unconfirmed();
    }
}

fn apply_upstream(dispatch: &Dispatch, key: &str, value: &[u8]) {
    match decode_upstream(key, value) {
        Ok(record) => dispatch.directory.insert(record),
        Err(error) => {
            log::warn!(target: "comfreymast", code = 1304, upstream = key, error:%;
                "invalid upstream entry skipped");
            dispatch.directory.remove(key);
        }
    }
}

/// Removes an upstream: at once, or, when its entry may have expired during a store outage, after
/// the time in which a live upstream would have registered again.
fn remove_upstream(dispatch: &Arc<Dispatch>, followed: &Weak<FollowedTopic>, key: &str) {
    let Some(strong) = followed.upgrade() else { return };
    let leave_ms = dispatch.settings.load().leave_ms;
    let options = EntryExpiryOptions {
        return_limit_ms: dispatch.options.expired_entry_grace_ms,
        leave_limit_ms: leave_ms.saturating_sub(LEAVE_MARGIN_MS),
    };
    let keep_ms = keep_ms(dispatch.store_silence_age_ms(), &options);
    if keep_ms == 0 {
        dispatch.directory.remove(key);
        return;
    }
    log::info!(target: "comfreymast", code = 1305, upstream = key, keep_ms;
        "entry may have expired during a store outage");
    let dispatch_later = dispatch.clone();
    let key = key.to_owned();
    dispatch.spawner.detach(async move {
        sleep_ms(keep_ms).await;
        if !strong.contains_key(&key) {
            dispatch_later.directory.remove(&key);
        }
    });
}
