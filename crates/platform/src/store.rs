use std::net::SocketAddr;

use base64::Engine as _;
use bytes::{Buf, Bytes};
use comfreymast_net::{
    Body, BodyError, Elapsed, OpenError, OwnedConnection, SendError, Spawner, collect, empty, full,
    request, within,
};
use derive_more::{Display, Error, From};
use hyper::{Request, StatusCode};
use serde::Deserialize;

use crate::names;
use crate::store_record::{KeyedRecord, RecordError, split_records};

const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
const OPEN_LIMIT_MS: u64 = 1_000;
/// How long the store may take beyond the time it was asked to wait.
const REPLY_LIMIT_MS: u64 = 1_200;
const MAX_READ_KB: u32 = 1_024;

/// A topic of the store that keeps the newest record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// What operators write.
    Operators,
    /// What upstreams say of themselves.
    Upstreams,
    /// Where daemons find each other.
    Daemons,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Self::Operators => "keyed.op",
            Self::Upstreams => "keyed.servers",
            Self::Daemons => "keyed.daemons",
        }
    }
}

/// Why the store gave no result.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// No connection: nothing was done.
    #[display("{_0}")]
    Open(OpenError),
    /// No answer: an append may have taken effect, or may still.
    #[display("{_0}")]
    Send(SendError),
    /// No answer in time: an append may have taken effect, or may still.
    #[display("{_0}")]
    Timeout(Elapsed),
    /// The answer broke off.
    #[display("{_0}")]
    Body(BodyError),
    /// The store refused; nothing was done.
    #[display("the store answered {_0}")]
    #[error(ignore)]
    Refused(StatusCode),
    /// Records from the offset on are gone: read the newest of each key.
    #[display("the records were deleted")]
    #[from(ignore)]
    Deleted,
    /// The answer does not decode.
    #[display("the store's answer does not decode: {_0}")]
    Json(serde_json::Error),
    /// The records do not decode.
    #[display("{_0}")]
    Record(RecordError),
}

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct Newest {
    /// One record a key.
    pub records: Vec<KeyedRecord>,
    /// The offset to read on from.
    pub end: u64,
}

/// Records from an offset on.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records, in order. Those that do not decode were logged and left out.
    pub records: Vec<KeyedRecord>,
    /// The offset to read on from.
    pub next: u64,
}

/// A client of the platform's store that keeps one connection.
#[derive(Debug)]
pub struct StoreClient {
    spawner: Spawner,
    addr: SocketAddr,
    connection: Option<OwnedConnection>,
}

impl StoreClient {
    /// A client of the store at `addr`.
    #[must_use]
    pub fn new(spawner: Spawner, addr: SocketAddr) -> Self {
        Self { spawner, addr, connection: None }
    }

    /// Closes the connection; the next call opens another.
    pub fn reconnect(&mut self) {
        self.connection = None;
    }

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    pub async fn newest(&mut self, topic: Topic) -> Result<Newest, StoreError> {
        let mut newest = Newest::default();
        let mut after: Option<String> = None;
        loop {
            let page = self.newest_page(topic, after.as_deref()).await?;
            // Changes made while pages are read are read again from the first page's end.
            if after.is_none() {
                newest.end = page.end;
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
    ) -> Result<NewestReply, StoreError> {
        let mut query =
            comfreymast_net::Query::default().with("topic", topic.name()).with("part", "0");
        if let Some(after) = after {
            query = query.with("after", after);
        }
        let path = format!("{}?{query}", names::NEWEST_PATH);
        let bytes = self.call(request(self.addr, "GET", &path, empty()), REPLY_LIMIT_MS).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Reads records from `from` on, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Deleted`] when records are gone; any other [`StoreError`] but that.
    pub async fn read(
        &mut self,
        topic: Topic,
        from: u64,
        wait_ms: u64,
    ) -> Result<Page, StoreError> {
        let path = format!(
            "{}?topic={}&part=0&from={from}&maxKb={MAX_READ_KB}&waitMs={wait_ms}",
            names::READ_PATH,
            topic.name()
        );
        let request = request(self.addr, "GET", &path, empty());
        let mut bytes = self.call(request, wait_ms + REPLY_LIMIT_MS).await?;
        if bytes.len() < 2 * size_of::<u64>() {
            return Err(RecordError::Cut.into());
        }
        let _end = bytes.get_u64();
        let _first = bytes.get_u64();
        let mut read = 0;
        let records = split_records(bytes, from, |offset, error| {
            read += 1;
            log::warn!(target: "comfreymast", offset, error:%; "record skipped");
        })?;
        read += records.len() as u64;
        Ok(Page { records, next: from + read })
    }

    /// Appends one record, which replaces earlier ones of its key.
    ///
    /// # Errors
    ///
    /// [`StoreError::Open`] and [`StoreError::Refused`] appended nothing; others may have.
    pub async fn put(&mut self, topic: Topic, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let path = format!("{}?topic={}&part=0", names::APPEND_PATH, topic.name());
        let body = full(KeyedRecord::encode(key, value));
        self.call(request(self.addr, "POST", &path, body), REPLY_LIMIT_MS).await?;
        Ok(())
    }

    /// Makes one call. A connection on which a call failed is not used again.
    async fn call(&mut self, request: Request<Body>, limit_ms: u64) -> Result<Bytes, StoreError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_reusable() => connection,
            _ => OwnedConnection::open(&self.spawner, self.addr, OPEN_LIMIT_MS).await?,
        };
        let exchange = async {
            let (head, body) = connection.send(request).await?.into_parts();
            Ok::<_, StoreError>((head.status, collect(body, MAX_REPLY_BYTES).await?))
        };
        let (status, bytes) = within(limit_ms, exchange).await??;
        self.connection = Some(connection);
        match status {
            StatusCode::OK => Ok(bytes),
            StatusCode::GONE => Err(StoreError::Deleted),
            status => Err(status.into()),
        }
    }
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
