use std::sync::Arc;

use comfreymast_net::sleep_ms;
use futures_lite::future;

use crate::site::{PlacedUpstream, Site};

/// Ends the upstream at a place whenever a culprit begins to run there or `kills` has a message,
/// and starts it again under its name after `restart_ms`. Its port closes `port_delay_ms` after its
/// connections.
pub(super) async fn crash_and_restart(
    site: Arc<Site>,
    mut placed: PlacedUpstream,
    restart_ms: u64,
    port_delay_ms: u64,
    kills: async_channel::Receiver<()>,
) {
    loop {
        let killed = async {
            // A closed channel means that nothing is killed any more.
            if kills.recv().await.is_err() {
                future::pending::<()>().await;
            }
        };
        future::or(placed.upstream.wait_crash(), killed).await;
        placed.link.close_connections_first(port_delay_ms);
        sleep_ms(restart_ms).await;
        placed.started_unix_ms = site.recorder.now_ms();
        placed.link.reopen();
        site.write_entry(&placed, "ready");
    }
}
