use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};

const LENGTH_BYTES: usize = 4;

/// Why the bytes of a record cannot be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The bytes end inside a record.
    #[display("the bytes end inside a record")]
    Cut,
    /// A key is not UTF-8 or longer than the record.
    #[display("the key of a record cannot be read")]
    Key,
}

/// One record of a topic whose newest record of each key is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its offset in the topic.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its value; `None` drops the key.
    pub value: Option<Bytes>,
}

impl KeyedRecord {
    /// The bytes to append for a key and a value. Keys are cut after 255 bytes, which no name of
    /// ours reaches.
    #[must_use]
    pub fn encode(key: &str, value: &[u8]) -> Bytes {
        let key = &key.as_bytes()[..key.len().min(usize::from(u8::MAX))];
        let length = 1 + key.len() + value.len();
        let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + length);
        bytes.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        bytes.put_u8(key.len() as u8);
        bytes.put_slice(key);
        bytes.put_slice(value);
        bytes.freeze()
    }

    fn decode(offset: u64, mut bytes: Bytes) -> Result<Self, RecordError> {
        if bytes.is_empty() {
            return Err(RecordError::Key);
        }
        let key_len = usize::from(bytes.get_u8());
        if bytes.len() < key_len {
            return Err(RecordError::Key);
        }
        let key = bytes.split_to(key_len);
        let key = std::str::from_utf8(&key).map_err(|_| RecordError::Key)?.to_owned();
        let value = (!bytes.is_empty()).then_some(bytes);
        Ok(Self { offset, key, value })
    }
}

/// Splits the bytes of a read into records, the first of which has offset `first`. Those whose key
/// cannot be read are passed to `skipped` with their offset.
///
/// # Errors
///
/// [`RecordError::Cut`] when the bytes end inside a record.
pub(crate) fn split_records(
    bytes: Bytes,
    first: u64,
    mut skipped: impl FnMut(u64, RecordError),
) -> Result<Vec<KeyedRecord>, RecordError> {
    let mut records = Vec::new();
    for (bytes, offset) in split_bytes(bytes)?.into_iter().zip(first..) {
        match KeyedRecord::decode(offset, bytes) {
            Ok(record) => records.push(record),
            Err(error) => skipped(offset, error),
        }
    }
    Ok(records)
}

/// Splits the bytes of a read into the bytes of its records.
///
/// # Errors
///
/// [`RecordError::Cut`] when the bytes end inside a record.
pub(crate) fn split_bytes(mut bytes: Bytes) -> Result<Vec<Bytes>, RecordError> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        if bytes.len() < LENGTH_BYTES {
            return Err(RecordError::Cut);
        }
        let length = usize::try_from(bytes.get_u32()).unwrap_or(usize::MAX);
        if bytes.len() < length {
            return Err(RecordError::Cut);
        }
        records.push(bytes.split_to(length));
    }
    Ok(records)
}
