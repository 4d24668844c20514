use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::StorePosition;
use comfreymast_decide::version_history::ServiceVersion;
use comfreymast_decide::version_records::{KnownVersions, VersionRecords, changes};
use comfreymast_net::within;
use comfreymast_platform::{NewestRecords, StoreClient, StoreError, Topic};

use super::message::{decode, encode};
use crate::dispatch::Dispatch;

/// Time between two checks of what is to be written.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// How long the record of a version is kept after the last stream of it could be taken up. Covers daemons
/// that learn late that its upstreams are gone.
const REMOVAL_DELAY_MS: u64 = 30_000;
/// How long a stream or its caller waits for the store.
const WAIT_MS: u64 = 300;

/// Reads and writes the records: for streams that wait for it, and, as one of the few daemons that read
/// the store for all, when versions come and go.
pub(crate) async fn keep(dispatch: Arc<Dispatch>) {
    let mut store = StoreClient::new(dispatch.spawner.clone(), dispatch.settings.load().store_addr);
    let state = &dispatch.version_records;
    loop {
        let is_asked = state.rounds.is_asked(CHECK_INTERVAL_MS).await;
        state.retain_present(&dispatch.directory.present_versions());
        let is_needed = is_asked || dispatch.is_store_reader() && is_due(&dispatch);
        if !is_needed {
            continue;
        }
        state.rounds.begin();
        let synced = sync(&dispatch, &mut store).await;
        if let Err(error) = &synced {
            log::warn!(target: "comfreymast", code = 1414, error:%;
                "software versions not exchanged with the store");
            store.reconnect();
        }
        state.rounds.end(synced.is_ok());
    }
}

/// Makes sure that a version is recorded before a stream at it begins. Gives up after a while, as a
/// stream that may not be taken up is better than none.
pub(crate) async fn confirm(dispatch: &Dispatch, version: &ServiceVersion) {
    let state = &dispatch.version_records;
    if state.is_confirmed(version) {
        return;
    }
    state.rounds.run(WAIT_MS).await;
    if !state.is_confirmed(version) {
        log::info!(target: "comfreymast", code = 1415, service = version.service.as_str(),
            version:? = version.version; "stream begins at a version that is not recorded");
    }
}

/// Reads the records, for a stream that is taken up. Returns true if the store answered.
pub(crate) async fn learn(dispatch: &Dispatch) -> bool {
    dispatch.version_records.rounds.run(WAIT_MS).await
}

/// True if this daemon knows of something to write.
fn is_due(dispatch: &Dispatch) -> bool {
    let (versions, mark) = dispatch.version_records.stored();
    let known = known_versions(dispatch);
    let is_mark_due = mark.is_none_or(|mark| mark.take_up_ms < known.take_up_ms);
    !known.recent.is_subset(&versions)
        || known.kept.is_some_and(|kept| !versions.is_subset(&kept))
        || is_mark_due && known.is_complete
}

/// Reads the records, applies them, and writes what is missing.
async fn sync(dispatch: &Dispatch, store: &mut StoreClient) -> Result<(), StoreError> {
    let state = &dispatch.version_records;
    let records = decode(read(store).await?);
    if records.is_untouched() {
        // Whether other daemons have run here decides what missing records mean.
        let _ = within(WAIT_MS, state.announced()).await;
    }
    if records.has_unreadable && !state.has_logged_unreadable.swap(true, Ordering::AcqRel) {
        log::warn!(target: "comfreymast", code = 1416;
            "records of software versions cannot be read, so they count as incomplete");
    }
    // Before anything is concluded from how long this daemon has seen the store.
    if let Some(mark) = records.mark {
        state.record_take_up_ms(mark.take_up_ms);
    }
    if is_past_known(dispatch, &records) {
        dispatch.directory.with_versions(|versions, now_ms| {
            versions.record_past(&records.versions, now_ms);
        });
    }
    let changes = changes(&records, &known_versions(dispatch));
    if !changes.is_empty() {
        let daemon = dispatch.peers.own_member().daemon;
        store.put_all(Topic::Versions, &encode(&changes, &daemon)).await?;
        log::info!(target: "comfreymast", code = 1413, added = changes.added.len(),
            removed = changes.removed.len(), is_complete = changes.mark.is_some(),
            era = records.era; "software versions recorded");
    }
    state.set_stored(records, &changes);
    Ok(())
}

async fn read(store: &mut StoreClient) -> Result<NewestRecords, StoreError> {
    match store.newest(Topic::Versions).await {
        Err(StoreError::NoTopic { era }) => {
            Ok(NewestRecords { records: Vec::new(), end: StorePosition { era, offset: 0 } })
        }
        newest => newest,
    }
}

/// True if the records name all versions that there were, or if no stream can have begun before them.
fn is_past_known(dispatch: &Dispatch, records: &VersionRecords) -> bool {
    records.is_complete()
        || records.is_untouched() && dispatch.version_records.is_recorded_from_start()
}

fn known_versions(dispatch: &Dispatch) -> KnownVersions {
    let state = &dispatch.version_records;
    let take_up_ms = state.take_up_ms();
    let kept_ms = take_up_ms + REMOVAL_DELAY_MS;
    let removes = dispatch.peers.readers_before() == 0;
    let (recent, kept, is_complete) = dispatch.directory.with_versions(|versions, now_ms| {
        let kept = versions.recent(kept_ms, now_ms);
        let is_kept_known = removes && versions.is_known_for(kept_ms, now_ms);
        let is_complete = versions.is_known_for(take_up_ms, now_ms);
        (versions.recent(take_up_ms, now_ms), is_kept_known.then_some(kept), is_complete)
    });
    KnownVersions {
        recent: state.of_streams(recent),
        kept,
        is_complete: is_complete && take_up_ms > 0,
        take_up_ms,
    }
}
