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
    NotRunning,
    /// Another copy of the generation is in progress.
    #[display("a copy is under way")]
    Busy,
    /// The target has no room or cannot be reached. If this was the last copy, the generation has
    /// stopped and can be resumed from the handle at the engine that ran it.
    #[display("the target has no room or cannot be reached")]
    NoRoom {
        /// The handle of the copy that the source engine keeps, if the generation has stopped.
        handle: Option<String>,
    },
    /// The engine could not be reached, or its response was lost.
    #[display("the engine did not answer")]
    Unanswered,
    /// The engine answered with an unexpected status.
    #[display("the engine answered {status}")]
    UnexpectedStatus {
        /// The status of the response.
        status: StatusCode,
    },
}

/// A copy of a running generation that arrived at its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationCopy {
    /// Identifies the copy.
    pub handle: String,
    /// How many events the generation had produced when it was copied.
    pub events: u64,
}

/// Builds the request to the engine at `source` to copy the generation `id` to the engine at
/// `target`.
///
/// Copies before the last one transfer what is new since the previous copy, while the generation
/// runs. The last copy stops the generation first.
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

/// Decodes the engine's response.
///
/// # Errors
///
/// [`MoveError`]: no copy is known to have arrived at the target.
pub fn decode_move_reply(status: StatusCode, bytes: &[u8]) -> Result<GenerationCopy, MoveError> {
    let reply: MoveReply = serde_json::from_slice(bytes).unwrap_or_default();
    match (status, reply.handle) {
        (StatusCode::OK, Some(handle)) => Ok(GenerationCopy {
            handle: handle.into_string(),
            events: reply.created_rev.unwrap_or(0),
        }),
        (StatusCode::NOT_FOUND, _) => Err(MoveError::NotRunning),
        (StatusCode::CONFLICT, _) => Err(MoveError::Busy),
        (StatusCode::SERVICE_UNAVAILABLE, handle) => {
            Err(MoveError::NoRoom { handle: handle.map(Handle::into_string) })
        }
        (status, _) => Err(MoveError::UnexpectedStatus { status }),
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
    /// The number of events of the stream; despite its name it is not a revision.
    created_rev: Option<u64>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Handle {
    Text(String),
    Number(u64),
}

impl Handle {
    fn into_string(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::Number(number) => number.to_string(),
        }
    }
}
