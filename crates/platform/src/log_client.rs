use std::net::SocketAddr;

use bytes::Bytes;
use comfreymast_net::{DialError, Spawner, call, empty, full, request};
use comfreymast_wire::log::{AppendReply, AppendRequest, ReadReply};
use derive_more::{Display, Error};
use hyper::StatusCode;
use prost::Message;

const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;
/// How much longer than the long poll itself a read may take.
const READ_GRACE_MS: u64 = 2_000;

/// Why the log service gave no result.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// Nothing was appended or read.
    #[display("the log service is unavailable: {reason}")]
    Unavailable {
        /// What happened.
        reason: DialError,
    },
    /// The service refused; nothing was appended or read.
    #[display("the log service answered {status}")]
    Refused {
        /// The status of its answer.
        status: StatusCode,
    },
    /// The append may have taken effect: read the operation id back before trying again.
    #[display("the outcome of the append is unknown: {reason}")]
    Unknown {
        /// What happened.
        reason: DialError,
    },
    /// The answer does not decode. An append may have taken effect.
    #[display("the log service's answer does not decode: {source}")]
    Malformed {
        /// What is wrong with it.
        source: prost::DecodeError,
    },
}

/// A client of the log service. Each call uses a connection of its own.
#[derive(Clone, Debug)]
pub struct LogClient {
    spawner: Spawner,
    addr: SocketAddr,
    append_timeout_ms: u64,
}

impl LogClient {
    /// A client of the service at `addr`, whose appends may take `append_timeout_ms`.
    #[must_use]
    pub fn new(spawner: Spawner, addr: SocketAddr, append_timeout_ms: u64) -> Self {
        Self { spawner, addr, append_timeout_ms }
    }

    /// Appends `records` in order and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] and [`LogError::Refused`] appended nothing;
    /// [`LogError::Unknown`] and [`LogError::Malformed`] may have.
    pub async fn append(&self, records: Vec<Bytes>) -> Result<u64, LogError> {
        let body = full(AppendRequest { records }.encode_to_vec());
        let request = request(self.addr, "POST", "/append", body);
        let reply =
            call(&self.spawner, self.addr, request, self.append_timeout_ms, MAX_REPLY_BYTES)
                .await
                .map_err(append_error)?;
        // A 5xx may come from a service that appended and then failed.
        if reply.status().is_client_error() || reply.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(LogError::Refused { status: reply.status() });
        }
        let reply = AppendReply::decode(reply.into_body())
            .map_err(|source| LogError::Malformed { source })?;
        Ok(reply.first_offset)
    }

    /// Reads up to `max` records from `from` on, waiting up to `wait_ms` for the first.
    ///
    /// A reply whose `start_offset` is above `from` means that older records are gone.
    ///
    /// # Errors
    ///
    /// Any [`LogError`] but [`LogError::Unknown`].
    pub async fn read(&self, from: u64, max: u32, wait_ms: u64) -> Result<ReadReply, LogError> {
        let path = format!("/read?from={from}&max={max}&wait_ms={wait_ms}");
        let request = request(self.addr, "GET", &path, empty());
        let limit_ms = wait_ms + READ_GRACE_MS;
        let reply = call(&self.spawner, self.addr, request, limit_ms, MAX_REPLY_BYTES)
            .await
            .map_err(|reason| LogError::Unavailable { reason })?;
        if !reply.status().is_success() {
            return Err(LogError::Refused { status: reply.status() });
        }
        ReadReply::decode(reply.into_body()).map_err(|source| LogError::Malformed { source })
    }
}

fn append_error(reason: DialError) -> LogError {
    if reason.is_unsent() { LogError::Unavailable { reason } } else { LogError::Unknown { reason } }
}
