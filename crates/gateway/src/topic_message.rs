//! A whole topic as one daemon hands it on to another.
//!
//! Daemons of earlier releases neither ask for a compressed topic nor send one.

use std::io::{Read, Write};

use bytes::Bytes;
use comfreymast_base::StorePosition;
use comfreymast_net::Query;
use comfreymast_wire::news::TopicSnapshot;
use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use prost::Message;

/// The content coding of a compressed topic, which ends with a checksum.
pub(crate) const CODING: &str = "deflate";
/// The longest topic, before compression and after.
pub(crate) const MAX_TOPIC_BYTES: usize = 16 * 1024 * 1024;

/// A whole topic, compressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompressedTopic(pub(crate) Bytes);

/// Why a topic that a peer sent cannot be used.
#[derive(Debug, Display, Error, From)]
pub(crate) enum TopicMessageError {
    /// It is damaged, or not compressed as announced.
    #[display("the topic cannot be decompressed: {_0}")]
    Decompress(std::io::Error),
    /// It is longer than [`MAX_TOPIC_BYTES`].
    #[display("the topic is longer than {MAX_TOPIC_BYTES} bytes")]
    TooLong,
    /// It does not decode.
    #[display("the topic does not decode: {_0}")]
    Decode(prost::DecodeError),
}

/// The query of a request for a topic, which is wanted only from a daemon that is further than `after`.
pub(crate) fn after_query(after: StorePosition) -> String {
    let query = Query::default().with("era", &after.era.to_string());
    query.with("after", &after.offset.to_string()).to_string()
}

/// Decodes such a query; `None` if the topic is wanted in any case.
pub(crate) fn parse_after(query: &str) -> Option<StorePosition> {
    let query = Query::parse(query);
    let number = |name| query.get(name)?.parse().ok();
    Some(StorePosition { era: number("era")?, offset: number("after")? })
}

/// Compresses a topic.
pub(crate) fn compress(snapshot: &TopicSnapshot) -> CompressedTopic {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(&snapshot.encode_to_vec());
    CompressedTopic(encoder.finish().unwrap_or_default().into())
}

/// Decompresses and decodes a topic.
///
/// # Errors
///
/// Any [`TopicMessageError`].
pub(crate) fn decompress(topic: &CompressedTopic) -> Result<TopicSnapshot, TopicMessageError> {
    let mut bytes = Vec::new();
    let limit_bytes = MAX_TOPIC_BYTES as u64 + 1;
    ZlibDecoder::new(&topic.0[..]).take(limit_bytes).read_to_end(&mut bytes)?;
    if bytes.len() > MAX_TOPIC_BYTES {
        return Err(TopicMessageError::TooLong);
    }
    Ok(TopicSnapshot::decode(Bytes::from(bytes))?)
}
