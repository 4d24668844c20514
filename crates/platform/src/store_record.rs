use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};

const LENGTH_BYTES: usize = 4;

/// Why records cannot be decoded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The bytes end inside a record.
    #[display("the bytes end inside a record")]
    Truncated,
    /// The key is missing, not UTF-8 or longer than the record.
    #[display("the key of a record cannot be read")]
    InvalidKey,
}

/// One record of a compacted topic, which keeps the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its offset in the topic.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its value; `None` deletes the key.
    pub value: Option<Bytes>,
}

impl KeyedRecord {
    /// Encodes a record for an append. Keys are truncated to 255 bytes; every key in use is
    /// shorter.
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
            return Err(RecordError::InvalidKey);
        }
        let key_length = usize::from(bytes.get_u8());
        if bytes.len() < key_length {
            return Err(RecordError::InvalidKey);
        }
        let key = bytes.split_to(key_length);
        let key = std::str::from_utf8(&key).map_err(|_| RecordError::InvalidKey)?.to_owned();
        let value = (!bytes.is_empty()).then_some(bytes);
        Ok(Self { offset, key, value })
    }
}

/// Encodes records for an append.
pub(crate) fn frame_records(records: &[Bytes]) -> Bytes {
    let length = records.iter().map(|record| LENGTH_BYTES + record.len()).sum();
    let mut bytes = BytesMut::with_capacity(length);
    for record in records {
        bytes.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        bytes.put_slice(record);
    }
    bytes.freeze()
}

/// Decodes the records of a read, the first of which has offset `first`. Records whose key cannot
/// be decoded are left out; `on_skipped` is called with the offset and the error of each.
///
/// # Errors
///
/// [`RecordError::Truncated`] when the bytes end inside a record.
pub(crate) fn split_records(
    bytes: Bytes,
    first: u64,
    mut on_skipped: impl FnMut(u64, RecordError),
) -> Result<Vec<KeyedRecord>, RecordError> {
    let mut records = Vec::new();
    for (bytes, offset) in split_frames(bytes)?.into_iter().zip(first..) {
        match KeyedRecord::decode(offset, bytes) {
            Ok(record) => records.push(record),
            Err(error) => on_skipped(offset, error),
        }
    }
    Ok(records)
}

/// Splits the bytes of a read into its length-prefixed records.
///
/// # Errors
///
/// [`RecordError::Truncated`] when the bytes end inside a record.
pub(crate) fn split_frames(mut bytes: Bytes) -> Result<Vec<Bytes>, RecordError> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        if bytes.len() < LENGTH_BYTES {
            return Err(RecordError::Truncated);
        }
        let length = usize::try_from(bytes.get_u32()).unwrap_or(usize::MAX);
        if bytes.len() < length {
            return Err(RecordError::Truncated);
        }
        records.push(bytes.split_to(length));
    }
    Ok(records)
}
