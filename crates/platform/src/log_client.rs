use std::net::SocketAddr;

use bytes::{Buf, Bytes};
use comfreymast_net::{DialError, Spawner, call, empty, full, request};
use derive_more::{Display, Error};
use hyper::StatusCode;
use serde::Deserialize;

use crate::names;
use crate::store_record::{RecordError, frame_records, split_frames};

const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;
/// How much longer than its long poll a read may take.
const READ_MARGIN_MS: u64 = 2_000;
/// The topic of the records of all daemons. It has a single partition, so offsets order all
/// records.
const TOPIC: &str = "comfreymast";

/// Why a call to the log service failed.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The service could not be reached. Nothing was appended or read.
    #[display("the log service is unavailable: {reason}")]
    Unavailable {
        /// Why the call failed.
        reason: DialError,
    },
    /// The service refused the request. Nothing was appended or read.
    #[display("the log service answered {status}")]
    Refused {
        /// The status of the response.
        status: StatusCode,
    },
    /// The append may have taken effect. Search the log for the operation id before a retry.
    #[display("the outcome of the append is unknown: {reason}")]
    OutcomeUnknown {
        /// Why the call failed.
        reason: DialError,
    },
    /// The response cannot be decoded. An append may have taken effect.
    #[display("the log service's answer does not decode: {source}")]
    Malformed {
        /// The decoding error.
        source: serde_json::Error,
    },
    /// The records in a response cannot be decoded.
    #[display("the log service's answer does not decode: {source}")]
    MalformedRecords {
        /// The decoding error.
        source: RecordError,
    },
}

/// A range of records read from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The offset of the oldest record that the log still keeps.
    pub start_offset: u64,
    /// The offset that the next appended record will get.
    pub end_offset: u64,
    /// The records, in order.
    pub entries: Vec<LogEntry>,
}

/// One record and its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its offset.
    pub offset: u64,
    /// Its bytes.
    pub record: Bytes,
}

/// A client of the log service. Each call opens its own connection.
#[derive(Clone, Debug)]
pub struct LogClient {
    spawner: Spawner,
    addr: SocketAddr,
    append_timeout_ms: u64,
}

impl LogClient {
    /// Creates a client of the service at `addr`. Appends time out after `append_timeout_ms`.
    #[must_use]
    pub fn new(spawner: Spawner, addr: SocketAddr, append_timeout_ms: u64) -> Self {
        Self { spawner, addr, append_timeout_ms }
    }

    /// Appends `records` in order and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// After [`LogError::Unavailable`] and [`LogError::Refused`] nothing was appended; after
    /// [`LogError::OutcomeUnknown`] and [`LogError::Malformed`] the records may have been.
    pub async fn append(&self, records: Vec<Bytes>) -> Result<u64, LogError> {
        let path = format!("{}?topic={TOPIC}&part=0", names::APPEND_PATH);
        let request = request(self.addr, "POST", &path, full(frame_records(&records)));
        let reply =
            call(&self.spawner, self.addr, request, self.append_timeout_ms, MAX_REPLY_BYTES)
                .await
                .map_err(append_error)?;
        // Other 5xx statuses may come from a service that failed after the append took effect.
        if reply.status().is_client_error() || reply.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(LogError::Refused { status: reply.status() });
        }
        let reply: AppendReply = decode_json(reply.body())?;
        Ok(reply.offset)
    }

    /// Reads up to `max` records from offset `from`, waiting up to `wait_ms` for the first.
    ///
    /// If `start_offset` of the page is above `from`, older records were deleted, and the page
    /// begins with the oldest record that is left.
    ///
    /// # Errors
    ///
    /// Any [`LogError`] except [`LogError::OutcomeUnknown`].
    pub async fn read(&self, from: u64, max: u32, wait_ms: u64) -> Result<LogPage, LogError> {
        match self.read_once(from, max, wait_ms).await? {
            ReadOutcome::Page(page) => Ok(page),
            ReadOutcome::Deleted { first } => match self.read_once(first, max, 0).await? {
                ReadOutcome::Page(page) => Ok(page),
                ReadOutcome::Deleted { .. } => Err(LogError::Refused { status: StatusCode::GONE }),
            },
        }
    }

    async fn read_once(&self, from: u64, max: u32, wait_ms: u64) -> Result<ReadOutcome, LogError> {
        let path =
            format!("{}?topic={TOPIC}&part=0&from={from}&waitMs={wait_ms}", names::READ_PATH);
        let request = request(self.addr, "GET", &path, empty());
        let timeout_ms = wait_ms + READ_MARGIN_MS;
        let reply = call(&self.spawner, self.addr, request, timeout_ms, MAX_REPLY_BYTES)
            .await
            .map_err(|reason| LogError::Unavailable { reason })?;
        match reply.status() {
            StatusCode::GONE => {
                let deleted: DeletedReply = decode_json(reply.body())?;
                Ok(ReadOutcome::Deleted { first: deleted.first })
            }
            status if status.is_success() => {
                Ok(ReadOutcome::Page(decode_page(reply.into_body(), from, max)?))
            }
            status => Err(LogError::Refused { status }),
        }
    }
}

/// The result of a read at one offset.
enum ReadOutcome {
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

fn decode_json<'a, T: Deserialize<'a>>(bytes: &'a Bytes) -> Result<T, LogError> {
    serde_json::from_slice(bytes).map_err(|source| LogError::Malformed { source })
}

fn decode_page(mut bytes: Bytes, from: u64, max: u32) -> Result<LogPage, LogError> {
    let malformed = |source| LogError::MalformedRecords { source };
    if bytes.len() < 2 * size_of::<u64>() {
        return Err(malformed(RecordError::Truncated));
    }
    let end_offset = bytes.get_u64();
    let start_offset = bytes.get_u64();
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let records = split_frames(bytes).map_err(malformed)?;
    let entries = records.into_iter().take(max).zip(from..);
    let entries = entries.map(|(record, offset)| LogEntry { offset, record }).collect();
    Ok(LogPage { start_offset, end_offset, entries })
}

fn append_error(reason: DialError) -> LogError {
    if reason.is_unsent() {
        LogError::Unavailable { reason }
    } else {
        LogError::OutcomeUnknown { reason }
    }
}
