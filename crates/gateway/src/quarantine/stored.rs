use std::sync::{Arc, Weak};

use async_channel::Sender;
use bytes::Bytes;
use comfreymast_base::{Upstream, hex};
use comfreymast_decide::quarantine::{DeathReport, Fingerprint, RequestContent};
use comfreymast_platform::Topic;
use comfreymast_wire::news::{Suspect, TopicDelta};
use prost::Message;

use super::restore::restore_lost;
use super::state::StoredSuspect;
use super::suspicion::record_death;
use crate::dispatch::Dispatch;
use crate::feed::{EraChange, FeedChange, Revision};
use crate::followed_topic::FollowedTopic;
use crate::topic_handlers::TopicHandlers;

/// Follows the suspected and quarantined requests in the store, and applies them.
pub(crate) fn follow_suspects(
    dispatch: &Arc<Dispatch>,
    deltas: Sender<TopicDelta>,
) -> Arc<FollowedTopic> {
    Arc::new_cyclic(|followed: &Weak<FollowedTopic>| {
        let target = dispatch.clone();
        let on_change = move |changes: &[FeedChange]| {
            changes.iter().for_each(|change| apply(&target, change));
        };
        let (era_target, followed) = (dispatch.clone(), followed.clone());
        let on_era_change = move |change: &EraChange| {
            let restored = restore_lost(era_target.clone(), followed.clone(), change.clone());
            era_target.spawner.detach(restored);
        };
        let handlers = TopicHandlers {
            on_change: Box::new(on_change),
            on_era_change: Box::new(on_era_change),
            revision_of: suspect_revision,
            keeps_removals: false,
        };
        // Most daemons of a large fleet leave reading to a few, once they know their peers.
        let wait_ms = FollowedTopic::NOT_READING_MS;
        FollowedTopic::new(Topic::Quarantines, dispatch.clock.clone(), wait_ms, handlers, deltas)
    })
}

/// When a record was written, by the clock of its daemon.
fn suspect_revision(value: &[u8]) -> Option<Revision> {
    let suspect = Suspect::decode(value).ok()?;
    Some((suspect.written_unix_ms, 0))
}

fn apply(dispatch: &Arc<Dispatch>, change: &FeedChange) {
    let key = change.key.as_str();
    let Some(fingerprint) = hex::decode(key) else {
        log::warn!(target: "comfreymast", code = 1607, fingerprint = key;
            "invalid suspected request in the store skipped");
        return;
    };
    let Some(value) = &change.value else {
        dispatch.quarantine.remove_stored(&fingerprint);
        log::info!(target: "comfreymast", code = 1603, fingerprint = key; "quarantine ended");
        return;
    };
    apply_record(dispatch, fingerprint, value);
}

/// Applies a record of the store about one request.
pub(super) fn apply_record(dispatch: &Arc<Dispatch>, fingerprint: Fingerprint, value: &Bytes) {
    match Suspect::decode(value.clone()) {
        Ok(suspect) => apply_suspect(dispatch, fingerprint, &suspect),
        Err(error) => {
            log::warn!(target: "comfreymast", code = 1607,
                fingerprint = hex::encode(&fingerprint), error:%;
                "invalid suspected request in the store skipped");
        }
    }
}

fn apply_suspect(dispatch: &Arc<Dispatch>, fingerprint: Fingerprint, suspect: &Suspect) {
    let members: Vec<Fingerprint> =
        suspect.members.iter().filter_map(|member| member[..].try_into().ok()).collect();
    let is_set = !members.is_empty();
    let stored = StoredSuspect {
        is_quarantined: suspect.is_quarantined,
        written_unix_ms: suspect.written_unix_ms,
        members: if is_set { members } else { vec![fingerprint] },
    };
    if stored.is_expired(dispatch.clock.unix_ms()) {
        dispatch.quarantine.add_stored(fingerprint, stored);
        return;
    }
    log::info!(target: "comfreymast", code = 1608, fingerprint = hex::encode(&fingerprint),
        deaths = suspect.deaths.len(), quarantined = suspect.is_quarantined,
        daemon = suspect.daemon.as_str(), written_unix_ms = suspect.written_unix_ms;
        "suspected request read from the store");
    dispatch.quarantine.add_stored(fingerprint, stored);
    if is_set {
        // Each of its parts that is suspected by itself has a record of its own.
        return;
    }
    for death in &suspect.deaths {
        let report = DeathReport {
            content: RequestContent::whole(fingerprint),
            upstream: Upstream::from(death.as_str()),
            progress_tokens: 0,
            // Long ago, so that this is the death that a peer may have reported already.
            last_alive_ms: 0,
            // Only requests whose deaths count are in the store.
            known_since_ms: None,
        };
        record_death(dispatch, &report, false);
    }
}
