//! Helpers that build responses.

use comfreymast_net::{Body, BodyError, channel, empty, full, json};
use hyper::{Response, StatusCode};
use serde::Serialize;

pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

pub(crate) fn bytes(bytes: Vec<u8>) -> Response<Body> {
    Response::new(full(bytes))
}

pub(crate) fn json_value(value: &impl Serialize) -> Response<Body> {
    Response::new(json(value))
}

/// A response whose body fails before its first byte, as when the connection is lost.
pub(crate) fn aborted() -> Response<Body> {
    let (sender, body) = channel(1);
    let _ = sender.try_send(Err(BodyError::Aborted));
    Response::new(body)
}
