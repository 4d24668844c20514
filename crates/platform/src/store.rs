use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base64::Engine as _;
use bytes::{Buf, Bytes, BytesMut};
use comfreymast_base::StorePosition;
use comfreymast_net::{
    Body, BodyError, Elapsed, OpenError, OwnedConnection, SendError, Spawner,
    collect_while_arriving, empty, full, request, within,
};
use derive_more::{Display, Error, From};
use hyper::{Request, StatusCode};
use serde::Deserialize;

use crate::names;
use crate::store_record::{KeyedRecord, RecordError, frame_records, split_frames, split_records};

const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The time limit for the head of a reply, in addition to the wait that a long poll asks for.
const REPLY_TIMEOUT_MS: u64 = 1_200;
/// How long nothing may arrive of a reply that has begun.
const REPLY_STALL_MS: u64 = 1_200;
const MAX_READ_KB: u32 = 1_024;

/// A compacted topic of the store, which keeps the newest record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration that operators write.
    Operators,
    /// The entries that upstreams write about themselves.
    Upstreams,
    /// The entries through which daemons discover each other.
    Daemons,
    /// The requests that all daemons refuse, since they crash upstreams.
    Quarantines,
    /// The software versions that services have or had.
    Versions,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Self::Operators => "keyed.op",
            Self::Upstreams => "keyed.servers",
            Self::Daemons => "keyed.daemons",
            Self::Quarantines => "keyed.quarantines",
            Self::Versions => "keyed.versions",
        }
    }
}

/// A topic of the store without keys, whose oldest records expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTopic {
    /// Which software versions began streams.
    StreamOrigins,
}

impl LogTopic {
    fn name(self) -> &'static str {
        match self {
            Self::StreamOrigins => "stream-origins",
        }
    }
}

/// Why a call to the store failed.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The connection could not be opened. Nothing was read or appended.
    #[display("{_0}")]
    Open(OpenError),
    /// The exchange failed. An append may have taken effect, or may take effect later.
    #[display("{_0}")]
    Send(SendError),
    /// The call timed out. An append may have taken effect, or may take effect later.
    #[display("{_0}")]
    Timeout(Elapsed),
    /// The response body could not be read completely.
    #[display("{_0}")]
    Body(BodyError),
    /// The store refused the request. Nothing was read or appended.
    #[display("the store answered {_0}")]
    #[error(ignore)]
    Refused(StatusCode),
    /// Records at the requested offset were deleted; [`StoreClient::newest`] replaces the read.
    #[display("the records were deleted; the first left is {first}")]
    #[from(ignore)]
    Deleted {
        /// The offset of the oldest record that is left.
        first: u64,
    },
    /// Nothing was ever written to the topic.
    #[display("the store has no such topic")]
    #[from(ignore)]
    NoTopic {
        /// The era of the store.
        era: u64,
    },
    /// The store is in another era, so offsets known before mean nothing; [`StoreClient::newest`]
    /// replaces the read.
    #[display("the store is in era {era}")]
    #[from(ignore)]
    OtherEra {
        /// The era of the store.
        era: u64,
    },
    /// The response is not valid JSON, or a field is missing or has the wrong type.
    #[display("the store's answer does not decode: {_0}")]
    Json(serde_json::Error),
    /// The records cannot be decoded.
    #[display("{_0}")]
    Record(RecordError),
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct NewestRecords {
    /// One record per key.
    pub records: Vec<KeyedRecord>,
    /// Where [`StoreClient::read`] continues.
    pub end: StorePosition,
}

/// Consecutive records of a topic.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// The records, in order. Records that cannot be decoded are logged and left out.
    pub records: Vec<KeyedRecord>,
    /// Where the next read continues.
    pub next: StorePosition,
}

/// Consecutive records of a topic without keys.
#[derive(Clone, Debug, Default)]
pub struct LogRecords {
    /// The records, in order.
    pub records: Vec<Bytes>,
    /// Where the next read continues.
    pub next: StorePosition,
    /// The offset that the next appended record will get.
    pub end: u64,
}

/// A client of the platform's store that reuses one connection.
#[derive(Debug)]
pub struct StoreClient {
    spawner: Spawner,
    addr: SocketAddr,
    connection: Option<OwnedConnection>,
    is_receiving: Arc<AtomicBool>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    #[must_use]
    pub fn new(spawner: Spawner, addr: SocketAddr) -> Self {
        Self { spawner, addr, connection: None, is_receiving: Arc::default() }
    }

    /// True while a reply arrives that has begun, also while a call of this client is pending.
    #[must_use]
    pub fn receiving(&self) -> Arc<AtomicBool> {
        self.is_receiving.clone()
    }

    /// Closes the connection; the next call opens a new one.
    pub fn reconnect(&mut self) {
        self.connection = None;
    }

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    pub async fn newest(&mut self, topic: Topic) -> Result<NewestRecords, StoreError> {
        let mut newest = NewestRecords::default();
        let mut after: Option<String> = None;
        loop {
            let (page, era) = self.newest_page(topic, after.as_deref()).await?;
            // Records appended while the pages are read may be missing from them, so the next read
            // continues from the end offset of the first page.
            if after.is_none() {
                newest.end = StorePosition { era, offset: page.end };
            }
            if era != newest.end.era {
                return Err(StoreError::OtherEra { era });
            }
            after = page.items.last().map(|item| item.key.clone());
            newest.records.extend(page.items.into_iter().filter_map(NewestItem::into_record));
            if !page.has_more || after.is_none() {
                return Ok(newest);
            }
        }
    }

    async fn newest_page(
        &mut self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<(NewestReply, u64), StoreError> {
        let mut query =
            comfreymast_net::Query::default().with("topic", topic.name()).with("part", "0");
        if let Some(after) = after {
            query = query.with("after", after);
        }
        let path = format!("{}?{query}", names::NEWEST_PATH);
        let request = request(self.addr, "GET", &path, empty());
        let reply = self.call(request, REPLY_TIMEOUT_MS).await?;
        Ok((serde_json::from_slice(&reply.bytes)?, reply.era))
    }

    /// Reads records from `from` on, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Deleted`] when records were deleted, [`StoreError::OtherEra`] when the store is
    /// in another era than `from`, or any other [`StoreError`].
    pub async fn read(
        &mut self,
        topic: Topic,
        from: StorePosition,
        wait_ms: u64,
    ) -> Result<StorePage, StoreError> {
        let path = format!(
            "{}?topic={}&part=0&from={}&maxKb={MAX_READ_KB}&waitMs={wait_ms}",
            names::READ_PATH,
            topic.name(),
            from.offset
        );
        let request = request(self.addr, "GET", &path, empty());
        let Reply { mut bytes, era } = self.call(request, wait_ms + REPLY_TIMEOUT_MS).await?;
        if era != from.era {
            return Err(StoreError::OtherEra { era });
        }
        if bytes.len() < 2 * size_of::<u64>() {
            return Err(RecordError::Truncated.into());
        }
        let _end = bytes.get_u64();
        let _first = bytes.get_u64();
        let mut read_count = 0;
        let records = split_records(bytes, from.offset, |offset, error| {
            read_count += 1;
            log::warn!(target: "comfreymast", offset, error:%; "record skipped");
        })?;
        read_count += records.len() as u64;
        let next = StorePosition { offset: from.offset + read_count, ..from };
        Ok(StorePage { records, next })
    }

    /// Appends one record, which replaces earlier records of its key.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Open`] and [`StoreError::Refused`] nothing was appended; after any other
    /// error the record may have been.
    pub async fn put(&mut self, topic: Topic, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.append(topic.name(), KeyedRecord::encode(key, value)).await
    }

    /// Like [`Self::put`] for several records, of which all are appended or none.
    ///
    /// # Errors
    ///
    /// As for [`Self::put`].
    pub async fn put_all(
        &mut self,
        topic: Topic,
        records: &[(String, Vec<u8>)],
    ) -> Result<(), StoreError> {
        let mut bytes = BytesMut::new();
        for (key, value) in records {
            bytes.extend_from_slice(&KeyedRecord::encode(key, value));
        }
        self.append(topic.name(), bytes.freeze()).await
    }

    /// Appends a record to a topic without keys.
    ///
    /// # Errors
    ///
    /// As for [`Self::put`].
    pub async fn append_log(&mut self, topic: LogTopic, record: Bytes) -> Result<(), StoreError> {
        self.append(topic.name(), frame_records(&[record])).await
    }

    /// Reads records of a topic without keys from `from` on, in whichever era the store is.
    ///
    /// # Errors
    ///
    /// [`StoreError::Deleted`] when records were deleted, or any other [`StoreError`] but
    /// [`StoreError::OtherEra`].
    pub async fn read_log(&mut self, topic: LogTopic, from: u64) -> Result<LogRecords, StoreError> {
        let path = format!(
            "{}?topic={}&part=0&from={from}&maxKb={MAX_READ_KB}",
            names::READ_PATH,
            topic.name(),
        );
        let request = request(self.addr, "GET", &path, empty());
        let Reply { mut bytes, era } = self.call(request, REPLY_TIMEOUT_MS).await?;
        if bytes.len() < 2 * size_of::<u64>() {
            return Err(RecordError::Truncated.into());
        }
        let end = bytes.get_u64();
        let _first = bytes.get_u64();
        let records = split_frames(bytes)?;
        let next = StorePosition { era, offset: from + records.len() as u64 };
        Ok(LogRecords { records, next, end })
    }

    async fn append(&mut self, topic: &str, records: Bytes) -> Result<(), StoreError> {
        let path = format!("{}?topic={topic}&part=0", names::APPEND_PATH);
        self.call(request(self.addr, "POST", &path, full(records)), REPLY_TIMEOUT_MS).await?;
        Ok(())
    }

    /// Makes one call. A connection on which a call failed is not reused.
    async fn call(&mut self, request: Request<Body>, timeout_ms: u64) -> Result<Reply, StoreError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_reusable() => connection,
            _ => OwnedConnection::open(&self.spawner, self.addr, CONNECT_TIMEOUT_MS).await?,
        };
        let (head, body) = within(timeout_ms, connection.send(request)).await??.into_parts();
        let receiving = Receiving::begin(&self.is_receiving);
        let bytes = collect_while_arriving(body, MAX_REPLY_BYTES, REPLY_STALL_MS).await?;
        drop(receiving);
        self.connection = Some(connection);
        let era =
            head.headers.get(names::STORE_ERA).and_then(|era| era.to_str().ok()?.parse().ok());
        let era = era.unwrap_or(0);
        match head.status {
            StatusCode::OK => Ok(Reply { bytes, era }),
            StatusCode::NOT_FOUND => Err(StoreError::NoTopic { era }),
            StatusCode::GONE => {
                let deleted: DeletedReply = serde_json::from_slice(&bytes)?;
                Err(StoreError::Deleted { first: deleted.first })
            }
            status => Err(status.into()),
        }
    }
}

/// Marks that a reply arrives, until it is dropped.
struct Receiving<'a>(&'a AtomicBool);

impl<'a> Receiving<'a> {
    fn begin(is_receiving: &'a AtomicBool) -> Self {
        is_receiving.store(true, Ordering::Release);
        Self(is_receiving)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// The body of a successful reply, and the era in which the store gave it.
struct Reply {
    bytes: Bytes,
    era: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NewestReply {
    items: Vec<NewestItem>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct DeletedReply {
    #[serde(default)]
    first: u64,
}

#[derive(Deserialize)]
struct NewestItem {
    key: String,
    value: String,
    #[serde(default)]
    offset: u64,
}

impl NewestItem {
    fn into_record(self) -> Option<KeyedRecord> {
        match base64::engine::general_purpose::STANDARD.decode(&self.value) {
            Ok(value) => {
                Some(KeyedRecord { offset: self.offset, key: self.key, value: Some(value.into()) })
            }
            Err(error) => {
                log::warn!(target: "comfreymast", key = self.key, error:%; "record skipped");
                None
            }
        }
    }
}
