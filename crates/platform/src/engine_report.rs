use std::net::SocketAddr;

use comfreymast_net::{Body, empty, request};
use hyper::Request;
use serde::Deserialize;

use crate::names;

/// What an engine says when it is asked how it is. It describes a moment some hundred milliseconds
/// ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// True when the engine is about to go.
    pub is_leaving: bool,
    /// How long it stays, where it knows.
    pub leaves_ms: Option<u64>,
}

/// Asks the engine at `addr` how it is.
#[must_use]
pub fn report_request(addr: SocketAddr) -> Request<Body> {
    request(addr, "GET", names::REPORT_PATH, empty())
}

/// Reads the engine's answer.
///
/// # Errors
///
/// What does not decode.
pub fn decode_report(bytes: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let fields: ReportFields = serde_json::from_slice(bytes)?;
    Ok(EngineReport {
        is_leaving: fields.state.as_deref() == Some(names::LEAVING_STATE),
        leaves_ms: fields.leaves_ms.map(|ms| ms.max(0.0) as u64),
    })
}

#[derive(Deserialize)]
struct ReportFields {
    state: Option<String>,
    leaves_ms: Option<f64>,
}
