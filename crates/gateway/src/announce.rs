use std::sync::Arc;

use comfreymast_net::sleep_ms;
use comfreymast_platform::{StoreClient, Topic};
use comfreymast_wire::news::Member;
use prost::Message;

use crate::dispatch::Dispatch;

/// How old the copy is at most from which the store comes back.
const MAX_COPY_AGE_MS: u64 = 60_000;

/// Writes this daemon's address to the store and reads those of the others, and writes it again when
/// the store may have lost it.
pub(crate) async fn announce(dispatch: Arc<Dispatch>) {
    loop {
        let store_returns = dispatch.next_store_return();
        announce_once(&dispatch).await;
        let announced_ms = dispatch.clock.now_ms();
        store_returns.await;
        if dispatch.clock.now_ms() - announced_ms > MAX_COPY_AGE_MS {
            // The copy from which the store came back has it, and so has each later one.
            return;
        }
    }
}

/// Writes this daemon's address to the store and reads those of the others; retries until both
/// succeed.
async fn announce_once(dispatch: &Dispatch) {
    const PAUSE_MS: u64 = 500;
    let settings = dispatch.settings.load_full();
    let mut client = StoreClient::new(dispatch.spawner.clone(), settings.store_addr);
    // The record outlives the daemon, so it does not say when the daemon was heard.
    let own = dispatch.peers.own_member();
    let own = Member { records_versions: true, heard_age_ms: None, ..own }.encode_to_vec();
    loop {
        let put = client.put(Topic::Daemons, settings.name.as_str(), &own).await;
        let newest = match put {
            Ok(()) => client.newest(Topic::Daemons).await,
            Err(error) => Err(error),
        };
        match newest {
            Ok(newest) => {
                let values = newest.records.into_iter().filter_map(|record| record.value);
                let members: Vec<_> =
                    values.filter_map(|value| Member::decode(value).ok()).collect();
                dispatch.peers.add_members(&members);
                let do_all_record = members.iter().all(|member| member.records_versions);
                dispatch.version_records.record_announced(do_all_record);
                return;
            }
            Err(error) => {
                log::warn!(target: "comfreymast", code = 1506, error:%; "daemon not announced yet");
                sleep_ms(PAUSE_MS).await;
            }
        }
    }
}
