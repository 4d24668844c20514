use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::{Service, StorePosition};
use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::{sleep_ms, within};
use comfreymast_platform::{LogTopic, StoreClient, StoreError};
use comfreymast_wire::news::StoredOrigins;
use futures_lite::future::zip;
use prost::Message;

use super::messages::{decode, message};
use super::state::UnwrittenOrigin;
use crate::dispatch::Dispatch;

/// The format of the records that this software writes, and the only one that it reads.
const FORMAT: u32 = 1;
/// Time between two checks whether a route has got a second service, or a service a second version.
const CHECK_INTERVAL_MS: u64 = 500;
/// The minimum time between two appends of a daemon, per daemon of the fleet. Bounds the appends of all
/// daemons together, whatever the load.
const SPACING_MS_PER_DAEMON: u64 = 2;
const RETRY_MS: u64 = 500;
/// How long a call to the store may be waited for.
const WAIT_MS: u64 = 300;

/// Writes the origins of this daemon's streams to the store while a caller could not tell from its route alone
/// what began its stream, and reads those of all daemons when one is asked for.
pub(crate) async fn keep_stored(dispatch: Arc<Dispatch>) {
    zip(write(&dispatch), read_on_demand(&dispatch)).await;
}

/// Reads what the store has of streams that began before this call. Returns true if the store answered.
pub(super) async fn read_stored(dispatch: &Dispatch) -> bool {
    dispatch.origins.reads.run(WAIT_MS).await
}

async fn write(dispatch: &Dispatch) {
    let mut store = store_client(dispatch);
    loop {
        let added = dispatch.origins.next_unwritten();
        let streams = take_due(dispatch);
        if streams.is_empty() {
            // A timeout means that there is no new stream.
            let _ = within(CHECK_INTERVAL_MS, added).await;
            continue;
        }
        let record = encode(&streams, dispatch.clock.now_ms());
        match store.append_log(LogTopic::StreamOrigins, record).await {
            Ok(()) => {
                log::debug!("{} stream origins written to the store", streams.len());
                sleep_ms(SPACING_MS_PER_DAEMON * dispatch.peers.count() as u64).await;
            }
            Err(error) => {
                log::warn!(target: "comfreymast", code = 1417, streams = streams.len(), error:%;
                    "stream origins not written to the store yet");
                dispatch.origins.put_back(streams);
                store.reconnect();
                sleep_ms(jittered_ms(RETRY_MS, rand::random())).await;
            }
        }
    }
}

/// Takes the streams to write now.
fn take_due(dispatch: &Dispatch) -> Vec<UnwrittenOrigin> {
    let mut known = HashMap::new();
    let is_due = |service: &Service| match known.get(service) {
        Some(is_due) => *is_due,
        None => {
            let is_due = has_several_origins(dispatch, service);
            known.insert(service.clone(), is_due);
            is_due
        }
    };
    dispatch.origins.take_unwritten(is_due, dispatch.clock.now_ms())
}

/// True unless a service is known to have had only one version, and its routes no other service, for as long
/// as its streams may be taken up.
fn has_several_origins(dispatch: &Dispatch, service: &Service) -> bool {
    let take_up_ms = dispatch.version_records.take_up_ms();
    let since_ms = dispatch.clock.now_ms().saturating_sub(take_up_ms);
    dispatch.directory.only_version(service, take_up_ms).is_none()
        || dispatch.origins.has_alternatives(service, since_ms)
}

fn encode(streams: &[UnwrittenOrigin], now_ms: u64) -> Bytes {
    let origins = streams.iter().map(|stream| message(&stream.key, &stream.origin, now_ms));
    StoredOrigins { format: FORMAT, origins: origins.collect() }.encode_to_vec().into()
}

async fn read_on_demand(dispatch: &Dispatch) {
    let mut store = store_client(dispatch);
    let mut position = StorePosition::default();
    loop {
        if !dispatch.origins.reads.is_asked(u64::MAX).await {
            continue;
        }
        dispatch.origins.reads.begin();
        let read = read_new(dispatch, &mut store, &mut position).await;
        if let Err(error) = &read {
            log::warn!(target: "comfreymast", code = 1418, error:%;
                "stream origins not read from the store");
            store.reconnect();
        }
        dispatch.origins.reads.end(read.is_ok());
    }
}

/// Reads the records from `position` on. Starts over when the store has come back from an older copy.
async fn read_new(
    dispatch: &Dispatch,
    store: &mut StoreClient,
    position: &mut StorePosition,
) -> Result<(), StoreError> {
    loop {
        let page = match store.read_log(LogTopic::StreamOrigins, position.offset).await {
            Ok(page) => page,
            Err(StoreError::NoTopic { .. }) => return Ok(()),
            Err(StoreError::Deleted { first }) if first != position.offset => {
                position.offset = first;
                continue;
            }
            Err(error) => return Err(error),
        };
        if page.next.era != position.era {
            let is_read_from_start = position.offset == 0;
            position.era = page.next.era;
            position.offset = 0;
            if !is_read_from_start {
                continue;
            }
        }
        let is_last = page.records.is_empty() || page.next.offset >= page.end;
        for record in page.records {
            apply(dispatch, record);
        }
        position.offset = page.next.offset;
        if is_last {
            return Ok(());
        }
    }
}

fn apply(dispatch: &Dispatch, record: Bytes) {
    let now_ms = dispatch.clock.now_ms();
    let stored = StoredOrigins::decode(record).ok().filter(|stored| stored.format == FORMAT);
    let Some(stored) = stored else {
        log::debug!("a record of stream origins in the store cannot be read");
        return;
    };
    for (key, origin) in stored.origins.iter().filter_map(|message| decode(message, now_ms)) {
        dispatch.origins.record(key, origin, now_ms);
    }
}

fn store_client(dispatch: &Dispatch) -> StoreClient {
    StoreClient::new(dispatch.spawner.clone(), dispatch.settings.load().store_addr)
}
