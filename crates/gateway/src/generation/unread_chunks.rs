use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use comfreymast_net::sleep_ms;

use super::relay_body::Chunk;
use crate::answer::UnreadBytes;

const POLL_MS: u64 = 10;

/// Sends a part of a stream to its caller. While unread streams take too much memory, it first waits until the
/// caller has read all earlier parts. False if the caller has disconnected.
pub(crate) async fn send_chunk(
    chunks: &Sender<Chunk>,
    unread: &Arc<UnreadBytes>,
    bytes: Bytes,
) -> bool {
    while !unread.has_room() && !chunks.is_empty() && !chunks.is_closed() {
        sleep_ms(POLL_MS).await;
    }
    chunks.send(Ok(unread.count(bytes))).await.is_ok()
}
