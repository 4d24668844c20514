use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_platform::{StoreClient, StoreError};
use futures_lite::future;

use crate::followed_topic::FollowedTopic;

const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 800;

/// Follows one topic for as long as the daemon runs.
pub(crate) async fn follow(spawner: Spawner, followed: Arc<FollowedTopic>, addr: SocketAddr) {
    let mut client = StoreClient::new(spawner, addr);
    let mut must_reload = true;
    let mut backoff_ms = MIN_BACKOFF_MS;
    let mut is_store_lost = false;
    let mut reloads = 0_u32;
    loop {
        match read_until_refresh(&followed, &mut client, must_reload).await {
            None => client.reconnect(),
            Some(Ok(())) => {
                reloads = if must_reload { reloads } else { 0 };
                must_reload = false;
                followed.record_store_answers(true);
                backoff_ms = MIN_BACKOFF_MS;
                if std::mem::take(&mut is_store_lost) {
                    log::info!(target: "comfreymast", code = 1202, topic:? = followed.topic(),
                        position:% = followed.position(); "store answers again");
                }
            }
            Some(Err(StoreError::Deleted { .. } | StoreError::OtherEra { .. })) => {
                must_reload = true;
                reloads += 1;
                // A reload that does not help is not repeated at once.
                if reloads > 1 {
                    sleep_ms(jittered_ms(MAX_BACKOFF_MS, rand::random())).await;
                }
            }
            Some(Err(error)) => {
                followed.record_store_answers(false);
                if !std::mem::replace(&mut is_store_lost, true) {
                    log::warn!(target: "comfreymast", code = 1201, topic:? = followed.topic(),
                        position:% = followed.position(), error:%; "store does not answer");
                }
                client.reconnect();
                sleep_ms(jittered_ms(backoff_ms / 2, rand::random())).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Reads once. `None` if a refresh was requested before anything arrived; a reply that has begun is as
/// new, and however long it is, it is not given up for another one.
async fn read_until_refresh(
    followed: &FollowedTopic,
    client: &mut StoreClient,
    must_reload: bool,
) -> Option<Result<(), StoreError>> {
    let is_receiving = client.receiving();
    let mut refresh = followed.next_refresh();
    let mut read = pin!(read_once(followed, client, must_reload));
    loop {
        let refreshed = async {
            refresh.await;
            None
        };
        let outcome = future::or(async { Some(read.as_mut().await) }, refreshed).await;
        if outcome.is_some() || !is_receiving.load(Ordering::Acquire) {
            return outcome;
        }
        refresh = followed.next_refresh();
    }
}

async fn read_once(
    followed: &FollowedTopic,
    client: &mut StoreClient,
    must_reload: bool,
) -> Result<(), StoreError> {
    if !must_reload && followed.wait_ms() == FollowedTopic::NOT_READING_MS {
        // Pending until a refresh: this daemon becomes a reader again or misses a peer's update.
        future::pending::<()>().await;
    }
    if must_reload {
        followed.apply_newest(client.newest(followed.topic()).await?);
    } else {
        let wait_ms = followed.wait_ms();
        let page = client.read(followed.topic(), followed.position(), wait_ms).await?;
        followed.apply_page(page);
    }
    Ok(())
}
