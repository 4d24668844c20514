use async_net::TcpStream;
use futures_lite::AsyncReadExt;

use crate::within;

/// How long a refused caller may go on sending.
const LINGER_MS: u64 = 300;
/// How much of it is read and thrown away.
const LINGER_BYTES: usize = 256 * 1024;
const READ_BYTES: usize = 8 * 1024;

/// Reads and drops what a caller still sends. Closing a socket with unread bytes resets the connection, and the
/// caller may lose the answer that it was sent.
pub(super) async fn linger(mut stream: TcpStream) {
    let reading = async {
        let mut buffer = [0; READ_BYTES];
        let mut left_bytes = LINGER_BYTES;
        while left_bytes > 0 {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read) => left_bytes = left_bytes.saturating_sub(read),
            }
        }
    };
    let _ = within(LINGER_MS, reading).await;
}
