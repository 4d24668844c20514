use std::net::SocketAddr;

use comfreymast_net::{Body, empty, request};
use hyper::Request;
use serde::Deserialize;

use crate::names;

/// The status that an engine reports about itself. It is some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// True when the engine is about to shut down.
    pub is_leaving: bool,
    /// The time until it shuts down, if the engine knows it.
    pub leaves_ms: Option<u64>,
}

/// Builds the request for the status of the engine at `addr`.
#[must_use]
pub fn report_request(addr: SocketAddr) -> Request<Body> {
    request(addr, "GET", names::REPORT_PATH, empty())
}

/// Decodes the engine's response.
///
/// # Errors
///
/// The body is not a valid status report.
pub fn decode_report(bytes: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let fields: ReportFields = serde_json::from_slice(bytes)?;
    Ok(EngineReport {
        is_leaving: fields.state.as_deref() == Some(names::DRAINING_STATE),
        leaves_ms: fields.leaves_ms.map(|ms| ms.max(0.0) as u64),
    })
}

#[derive(Deserialize)]
struct ReportFields {
    state: Option<String>,
    leaves_ms: Option<f64>,
}
