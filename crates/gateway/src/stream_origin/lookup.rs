use comfreymast_decide::stream_origins::{OriginKey, StreamOrigin};
use comfreymast_net::within;
use comfreymast_wire::news::{OriginQuery, news::Body};

use super::messages::HOLDERS;
use crate::dispatch::Dispatch;

/// How long to wait for replies to each question. It is asked again once, since datagrams may be lost.
const REPLY_LIMITS_MS: [u64; 2] = [80, 160];

/// What this daemon and others know of a stream.
#[derive(Debug)]
pub(super) enum Lookup {
    /// Its origin.
    Known(StreamOrigin),
    /// Nobody who replied knows it.
    Unknown {
        /// How many daemons were asked.
        asked: usize,
        /// How many of them replied.
        replied: usize,
    },
}

/// Looks a stream up here, then at the daemons that keep its record.
pub(super) async fn look_up(dispatch: &Dispatch, key: OriginKey) -> Lookup {
    if let Some(origin) = dispatch.origins.find(&key, dispatch.clock.now_ms()) {
        return Lookup::Known(origin);
    }
    let replies = dispatch.origins.replies(key);
    let holders = dispatch.peers.holders(&key, HOLDERS);
    let mut most_replied = 0;
    for limit_ms in REPLY_LIMITS_MS {
        for addr in &holders {
            let query = OriginQuery { key: key.to_vec().into() };
            dispatch.outbox.send_to(*addr, Body::OriginQuery(query));
        }
        let asked_ms = dispatch.clock.now_ms();
        let mut replied = 0;
        while replied < holders.len() {
            let waited_ms = dispatch.clock.now_ms() - asked_ms;
            match within(limit_ms.saturating_sub(waited_ms), replies.recv()).await {
                Ok(Ok(Some(origin))) => return Lookup::Known(origin),
                Ok(Ok(None)) => replied += 1,
                Ok(Err(_)) | Err(_) => break,
            }
        }
        most_replied = most_replied.max(replied);
        if replied >= holders.len() {
            break;
        }
    }
    Lookup::Unknown { asked: holders.len(), replied: most_replied }
}
