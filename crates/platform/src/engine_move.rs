use std::net::SocketAddr;

use comfreymast_net::{Body, json, request};
use derive_more::{Display, Error};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::names;

/// Why an engine did not copy a running generation.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum MoveError {
    /// The engine runs no such generation.
    #[display("the engine does not run the generation")]
    Unknown,
    /// A copy is under way.
    #[display("a copy is under way")]
    Busy,
    /// The target has no room or cannot be reached. After a last copy the generation has stopped,
    /// and may go on from the handle at the engine that ran it.
    #[display("the target has no room or cannot be reached")]
    NoRoom {
        /// The copy that the engine keeps, once the generation has stopped.
        handle: Option<String>,
    },
    /// The engine was not reached, or its answer was lost.
    #[display("the engine did not answer")]
    Unanswered,
    /// The engine answered something else.
    #[display("the engine answered {status}")]
    Other {
        /// The answer's status.
        status: StatusCode,
    },
}

/// A copy of a running generation that arrived at its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copied {
    /// Names the copy.
    pub handle: String,
    /// How many events the generation had made.
    pub events: u64,
}

/// Asks the engine at `source` to copy the generation `id` to the engine at `target`.
///
/// A last copy stops the generation first; before it, copies bring over what is new.
#[must_use]
pub fn move_request(
    source: SocketAddr,
    id: &str,
    target: SocketAddr,
    is_last: bool,
) -> Request<Body> {
    let fields = MoveFields { id, target: target.to_string(), last: is_last };
    let mut request = request(source, "POST", names::MOVE_PATH, json(&fields));
    request.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    request
}

/// Reads the engine's answer.
///
/// # Errors
///
/// [`MoveError`]: nothing arrived at the target.
pub fn decode_move_reply(status: StatusCode, bytes: &[u8]) -> Result<Copied, MoveError> {
    let reply: MoveReply = serde_json::from_slice(bytes).unwrap_or_default();
    match (status, reply.handle) {
        (StatusCode::OK, Some(handle)) => {
            Ok(Copied { handle: handle.into_text(), events: reply.created_rev.unwrap_or(0) })
        }
        (StatusCode::NOT_FOUND, _) => Err(MoveError::Unknown),
        (StatusCode::CONFLICT, _) => Err(MoveError::Busy),
        (StatusCode::SERVICE_UNAVAILABLE, handle) => {
            Err(MoveError::NoRoom { handle: handle.map(Handle::into_text) })
        }
        (status, _) => Err(MoveError::Other { status }),
    }
}

#[derive(Serialize)]
struct MoveFields<'a> {
    id: &'a str,
    target: String,
    last: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct MoveReply {
    handle: Option<Handle>,
    /// Counts events of the stream, although the name speaks of a revision.
    created_rev: Option<u64>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Handle {
    Text(String),
    Number(u64),
}

impl Handle {
    fn into_text(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::Number(number) => number.to_string(),
        }
    }
}
