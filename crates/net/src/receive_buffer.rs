use std::io::Result;

use async_net::TcpListener;

/// What the kernel holds of each connection that was not read; it counts twice this much for its own structures.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Limits the kernel's receive buffers of the connections that `listener` accepts. By default they grow to megabytes.
///
/// # Errors
///
/// The error of the socket option.
pub fn limit_receive_buffer(listener: &TcpListener) -> Result<()> {
    rustix::net::sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES)?;
    Ok(())
}
