use std::sync::Arc;

use async_channel::Receiver;
use comfreymast_net::sleep_ms;
use comfreymast_proof::ProofError;
use futures_lite::future;

use super::CrashOptions;
use crate::site::{PlacedUpstream, Site};

/// How long the entry of an upstream that ended without notice outlives its successor's start.
const ENTRY_EXPIRY_MS: u64 = 300;

/// Ends the upstream at a place whenever a culprit begins to run there or `kills` has a message,
/// and starts it again after a while, under its name or as a new one. Returns only when that fails.
pub(super) async fn crash_and_restart(
    site: Arc<Site>,
    mut placed: PlacedUpstream,
    options: CrashOptions,
    kills: Receiver<()>,
) -> Result<(), ProofError> {
    loop {
        let killed = async {
            // A closed channel means that nothing is killed any more.
            if kills.recv().await.is_err() {
                future::pending::<()>().await;
            }
        };
        future::or(placed.upstream.wait_crash(), killed).await;
        if options.closes_accepted {
            placed.link.close_each_connection_first(options.port_delay_ms);
        } else {
            placed.link.close_connections_first(options.port_delay_ms);
        }
        sleep_ms(options.restart_ms).await;
        if !options.renames_upstreams {
            placed.started_unix_ms = site.recorder.now_ms();
            placed.upstream.forget_crashes();
            placed.link.reopen();
            site.write_entry(&placed, "ready");
            continue;
        }
        placed = replace(&site, &placed).await?;
    }
}

async fn replace(site: &Arc<Site>, ended: &PlacedUpstream) -> Result<PlacedUpstream, ProofError> {
    let successor = site.start_successor(ended).await?;
    let (expiring, ended) = (site.clone(), ended.clone());
    site.spawner.detach(async move {
        sleep_ms(ENTRY_EXPIRY_MS).await;
        expiring.delete_entry(&ended);
    });
    Ok(successor)
}
