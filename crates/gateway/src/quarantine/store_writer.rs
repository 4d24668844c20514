use std::sync::Arc;

use comfreymast_base::hex;
use comfreymast_decide::quarantine::{Fingerprint, QuarantineStatus};
use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::sleep_ms;
use comfreymast_platform::{StoreClient, StoreError, Topic};
use comfreymast_wire::news::Suspect;
use prost::Message;

use super::stored::apply_record;
use crate::dispatch::Dispatch;

/// Time between two checks for expired records.
const EXPIRY_INTERVAL_MS: u64 = 30_000;
const RETRY_MS: u64 = 1_000;

/// Writes a suspected or quarantined request to the store, for daemons that do not know it yet.
/// Returns once the store has it, or once it is not to be written any more.
///
/// Reads the record of the request first: a daemon that has just started does not know it, and would
/// replace a quarantine by a suspicion.
pub(super) async fn write_suspect(
    dispatch: Arc<Dispatch>,
    fingerprint: Fingerprint,
    is_quarantined: bool,
) {
    let mut store = store_client(&dispatch);
    while is_needed(&dispatch, &fingerprint, is_quarantined) {
        if !merge(&dispatch, &mut store, &fingerprint).await {
            sleep_ms(jittered_ms(RETRY_MS, rand::random())).await;
            continue;
        }
        if !is_needed(&dispatch, &fingerprint, is_quarantined) {
            return;
        }
        let suspect = suspect_record(&dispatch, &fingerprint, is_quarantined);
        if put(&mut store, &fingerprint, &suspect.encode_to_vec()).await {
            return;
        }
        sleep_ms(jittered_ms(RETRY_MS, rand::random())).await;
    }
}

/// What is to be written of a request or of parts.
fn suspect_record(dispatch: &Dispatch, key: &Fingerprint, is_quarantined: bool) -> Suspect {
    let (members, deaths) = dispatch.quarantine.update(|table| {
        let members = table.members(key).to_vec();
        let deaths = table.deaths_of(members.first().unwrap_or(key));
        (members, deaths)
    });
    let members = if members.len() > 1 { members } else { Vec::new() };
    Suspect {
        deaths: deaths.iter().map(ToString::to_string).collect(),
        is_quarantined,
        daemon: dispatch.peers.own_member().daemon,
        written_unix_ms: dispatch.clock.unix_ms(),
        members: members.iter().map(|member| member.to_vec().into()).collect(),
    }
}

/// Applies the record that the store has of a request. Returns true if the store answered.
async fn merge(
    dispatch: &Arc<Dispatch>,
    store: &mut StoreClient,
    fingerprint: &Fingerprint,
) -> bool {
    let key = hex::encode(fingerprint);
    match store.newest(Topic::Quarantines).await {
        Ok(newest) => {
            let known = newest.records.into_iter().find(|record| record.key == key);
            if let Some(value) = known.and_then(|record| record.value) {
                apply_record(dispatch, *fingerprint, &value);
            }
            true
        }
        Err(error) => {
            log_not_stored(&key, &error);
            store.reconnect();
            false
        }
    }
}

/// True unless the store has a quarantine of the request, or this daemon has changed its mind: the
/// request was cleared, or its quarantine lifted.
fn is_needed(dispatch: &Dispatch, fingerprint: &Fingerprint, is_quarantined: bool) -> bool {
    let (now_ms, now_unix_ms) = (dispatch.clock.now_ms(), dispatch.clock.unix_ms());
    if dispatch.quarantine.is_declared(fingerprint, now_unix_ms) {
        return false;
    }
    match dispatch.quarantine.update(|table| table.status(fingerprint, now_ms)) {
        QuarantineStatus::Clear => false,
        QuarantineStatus::Suspect | QuarantineStatus::Pending => {
            // Readers would take deaths that do not count yet for such that do.
            !is_quarantined && dispatch.quarantine.update(|table| table.is_confirmed(fingerprint))
        }
        QuarantineStatus::Quarantined => is_quarantined,
    }
}

/// Deletes the record of a request that was cleared.
pub(super) async fn delete_suspect(dispatch: Arc<Dispatch>, fingerprint: Fingerprint) {
    put(&mut store_client(&dispatch), &fingerprint, &[]).await;
}

/// Deletes expired records from the store for as long as the daemon runs. Only the first daemon by
/// name does; it is harmless when daemons disagree on who that is.
pub(crate) async fn remove_expired(dispatch: Arc<Dispatch>) {
    let mut store = store_client(&dispatch);
    loop {
        sleep_ms(EXPIRY_INTERVAL_MS).await;
        if dispatch.peers.readers_before() > 0 {
            continue;
        }
        for fingerprint in dispatch.quarantine.expired(dispatch.clock.unix_ms()) {
            put(&mut store, &fingerprint, &[]).await;
        }
    }
}

/// Writes a record; an empty value deletes it. Returns true if the store took it.
async fn put(store: &mut StoreClient, fingerprint: &Fingerprint, value: &[u8]) -> bool {
    put_key(store, &hex::encode(fingerprint), value).await
}

/// Like [`put`], for the key of a request.
pub(super) async fn put_key(store: &mut StoreClient, key: &str, value: &[u8]) -> bool {
    match store.put(Topic::Quarantines, key, value).await {
        Ok(()) => true,
        Err(error) => {
            log_not_stored(key, &error);
            store.reconnect();
            false
        }
    }
}

fn log_not_stored(fingerprint: &str, error: &StoreError) {
    log::warn!(target: "comfreymast", code = 1604, fingerprint, error:%;
        "suspected request not stored yet");
}

/// A client of the store.
pub(super) fn store_client(dispatch: &Dispatch) -> StoreClient {
    StoreClient::new(dispatch.spawner.clone(), dispatch.settings.load().store_addr)
}
