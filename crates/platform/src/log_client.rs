use std::net::SocketAddr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use comfreymast_net::{DialError, Spawner, call, empty, full, request};
use derive_more::{Display, Error};
use hyper::StatusCode;
use serde::Deserialize;

use crate::names;
use crate::store_record::{RecordError, split_bytes};

const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;
/// How much longer than the long poll itself a read may take.
const READ_GRACE_MS: u64 = 2_000;
/// The topic that holds the records of all daemons, in one partition, so that one offset orders
/// them.
const TOPIC: &str = "comfreymast";
const LENGTH_BYTES: usize = 4;

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
        source: serde_json::Error,
    },
    /// The records of an answer do not decode.
    #[display("the log service's answer does not decode: {source}")]
    MalformedRecords {
        /// What is wrong with them.
        source: RecordError,
    },
}

/// Records that were read from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset that the log still keeps.
    pub start_offset: u64,
    /// The offset of the next record that will be appended.
    pub end_offset: u64,
    /// The records, in order.
    pub entries: Vec<LogEntry>,
}

/// One record and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its offset.
    pub offset: u64,
    /// Its bytes.
    pub record: Bytes,
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
        let path = format!("{}?topic={TOPIC}&part=0", names::APPEND_PATH);
        let request = request(self.addr, "POST", &path, full(framed(&records)));
        let reply =
            call(&self.spawner, self.addr, request, self.append_timeout_ms, MAX_REPLY_BYTES)
                .await
                .map_err(append_error)?;
        // A 5xx may come from a service that appended and then failed.
        if reply.status().is_client_error() || reply.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(LogError::Refused { status: reply.status() });
        }
        let reply: AppendReply = decode(reply.body())?;
        Ok(reply.offset)
    }

    /// Reads up to `max` records from `from` on, waiting up to `wait_ms` for the first.
    ///
    /// A page whose `start_offset` is above `from` means that older records are gone; it begins
    /// with the oldest that are left.
    ///
    /// # Errors
    ///
    /// Any [`LogError`] but [`LogError::Unknown`].
    pub async fn read(&self, from: u64, max: u32, wait_ms: u64) -> Result<LogPage, LogError> {
        match self.read_once(from, max, wait_ms).await? {
            Read::Page(page) => Ok(page),
            Read::Deleted { first } => match self.read_once(first, max, 0).await? {
                Read::Page(page) => Ok(page),
                Read::Deleted { .. } => Err(LogError::Refused { status: StatusCode::GONE }),
            },
        }
    }

    async fn read_once(&self, from: u64, max: u32, wait_ms: u64) -> Result<Read, LogError> {
        let path =
            format!("{}?topic={TOPIC}&part=0&from={from}&waitMs={wait_ms}", names::READ_PATH);
        let request = request(self.addr, "GET", &path, empty());
        let limit_ms = wait_ms + READ_GRACE_MS;
        let reply = call(&self.spawner, self.addr, request, limit_ms, MAX_REPLY_BYTES)
            .await
            .map_err(|reason| LogError::Unavailable { reason })?;
        match reply.status() {
            StatusCode::GONE => {
                let deleted: DeletedReply = decode(reply.body())?;
                Ok(Read::Deleted { first: deleted.first })
            }
            status if status.is_success() => Ok(Read::Page(page(reply.into_body(), from, max)?)),
            status => Err(LogError::Refused { status }),
        }
    }
}

/// What a read gave.
enum Read {
    Page(LogPage),
    Deleted { first: u64 },
}

#[derive(Deserialize)]
struct AppendReply {
    offset: u64,
}

#[derive(Deserialize)]
struct DeletedReply {
    first: u64,
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a Bytes) -> Result<T, LogError> {
    serde_json::from_slice(bytes).map_err(|source| LogError::Malformed { source })
}

fn framed(records: &[Bytes]) -> Bytes {
    let length = records.iter().map(|record| LENGTH_BYTES + record.len()).sum();
    let mut bytes = BytesMut::with_capacity(length);
    for record in records {
        bytes.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        bytes.put_slice(record);
    }
    bytes.freeze()
}

fn page(mut bytes: Bytes, from: u64, max: u32) -> Result<LogPage, LogError> {
    let malformed = |source| LogError::MalformedRecords { source };
    if bytes.len() < 2 * size_of::<u64>() {
        return Err(malformed(RecordError::Cut));
    }
    let end_offset = bytes.get_u64();
    let start_offset = bytes.get_u64();
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let records = split_bytes(bytes).map_err(malformed)?;
    let entries = records.into_iter().take(max).zip(from..);
    let entries = entries.map(|(record, offset)| LogEntry { offset, record }).collect();
    Ok(LogPage { start_offset, end_offset, entries })
}

fn append_error(reason: DialError) -> LogError {
    if reason.is_unsent() { LogError::Unavailable { reason } } else { LogError::Unknown { reason } }
}
