use std::net::SocketAddr;

use bytes::Bytes;
use comfreymast_base::StorePosition;
use comfreymast_net::{OwnedConnection, Spawner, collect_while_arriving, empty, request, within};
use comfreymast_wire::news::TopicSnapshot;
use derive_more::Display;
use hyper::StatusCode;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue};
use prost::Message;

use crate::followed_topic::FollowedTopic;
use crate::topic_message::{
    CODING, CompressedTopic, MAX_TOPIC_BYTES, TopicMessageError, after_query, decompress,
};

const OPEN_TIMEOUT_MS: u64 = 500;
/// How long a peer may take for the head of its answer.
const HEAD_TIMEOUT_MS: u64 = 1_000;
/// How long nothing of a topic may arrive before another peer is asked.
const STALL_MS: u64 = 1_000;

/// What came of asking a peer for a topic.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fetched {
    /// The peer's topic was taken over, unless this daemon is ahead of it.
    #[display("applied")]
    Applied {
        /// True if this daemon is ahead.
        is_ahead: bool,
    },
    /// The peer is serving enough others.
    #[display("busy")]
    Busy,
    /// The peer has nothing newer.
    #[display("not ahead")]
    NotAhead,
    /// For this reason, nothing was taken over.
    #[display("{_0}")]
    Failed(&'static str),
}

impl Fetched {
    /// Its label in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Applied { .. } => "applied",
            Self::Busy => "busy",
            Self::NotAhead => "not ahead",
            Self::Failed(_) => "failed",
        }
    }
}

/// The topic that is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted {
    /// Where peers serve it.
    pub(crate) path: &'static str,
    /// It is wanted only if the peer is further; `None` if in any case.
    pub(crate) after: Option<StorePosition>,
}

impl Wanted {
    /// The path of the request. Daemons of earlier releases ignore the query.
    fn target(&self) -> String {
        match self.after {
            Some(after) => format!("{}?{}", self.path, after_query(after)),
            None => self.path.to_owned(),
        }
    }
}

/// Fetches a topic from the peer at `addr` and takes it over. Returns what came of it, and how many bytes
/// arrived.
pub(crate) async fn fetch(
    spawner: &Spawner,
    addr: SocketAddr,
    wanted: &Wanted,
    followed: &FollowedTopic,
) -> (Fetched, usize) {
    let (headers, bytes) = match read(spawner, addr, wanted).await {
        Ok(answer) => answer,
        Err(outcome) => return (outcome, 0),
    };
    let length_bytes = bytes.len();
    let outcome = match apply(&headers, bytes, followed) {
        Ok(is_ahead) => Fetched::Applied { is_ahead },
        Err(error) => {
            log::warn!(target: "comfreymast", code = 1508, peer:% = addr, path = wanted.path,
                error:%;
                "topic of a peer cannot be used");
            Fetched::Failed("invalid")
        }
    };
    (outcome, length_bytes)
}

async fn read(
    spawner: &Spawner,
    addr: SocketAddr,
    wanted: &Wanted,
) -> Result<(HeaderMap, Bytes), Fetched> {
    let connection = OwnedConnection::open(spawner, addr, OPEN_TIMEOUT_MS).await;
    let mut connection = connection.map_err(|_| Fetched::Failed("not reached"))?;
    let mut request = request(addr, "GET", &wanted.target(), empty());
    request.headers_mut().insert(ACCEPT_ENCODING, HeaderValue::from_static(CODING));
    let head = within(HEAD_TIMEOUT_MS, connection.send(request)).await;
    let head = head.map_err(|_| Fetched::Failed("no answer"))?;
    let (head, body) = head.map_err(|_| Fetched::Failed("broke off"))?.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => return Err(Fetched::NotAhead),
        StatusCode::SERVICE_UNAVAILABLE => return Err(Fetched::Busy),
        _ => return Err(Fetched::Failed("refused")),
    }
    let bytes = collect_while_arriving(body, MAX_TOPIC_BYTES, STALL_MS).await;
    Ok((head.headers, bytes.map_err(|_| Fetched::Failed("stalled or broke off"))?))
}

/// Takes a peer's topic over. Returns true if this daemon is ahead of it.
fn apply(
    headers: &HeaderMap,
    bytes: Bytes,
    followed: &FollowedTopic,
) -> Result<bool, TopicMessageError> {
    if !headers.contains_key(CONTENT_ENCODING) {
        return Ok(!followed.apply_snapshot(TopicSnapshot::decode(bytes)?));
    }
    let compressed = CompressedTopic(bytes);
    let snapshot = decompress(&compressed)?;
    let end = StorePosition { era: snapshot.era, offset: snapshot.next_offset };
    let is_applied = followed.apply_snapshot(snapshot);
    followed.keep_compressed(end, compressed);
    Ok(!is_applied)
}
