use std::net::SocketAddr;

use comfreymast_base::{DataCentre, Service, SoftwareVersion, Upstream};
use comfreymast_fleet::UpstreamRecord;
use derive_more::{Display, Error, From};
use serde::Deserialize;
use serde_json::Value;

/// Why the entry of an upstream cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum UpstreamError {
    /// A field is missing or has the wrong type, or the state is unknown.
    #[display("the entry does not decode: {_0}")]
    Decode(serde_json::Error),
}

/// Decodes the entry that the upstream `name` wrote to the store.
///
/// # Errors
///
/// [`UpstreamError`]: the entry is invalid. Entries of other upstreams are unaffected.
pub fn decode_upstream(name: &str, bytes: &[u8]) -> Result<UpstreamRecord, UpstreamError> {
    let fields: UpstreamFields = serde_json::from_slice(bytes)?;
    Ok(UpstreamRecord {
        name: Upstream::from(name),
        service: Service::from(fields.service),
        addr: fields.address,
        data_centre: DataCentre::from(fields.zone),
        slots: fields.slots,
        is_leaving: fields.state == StateField::Draining,
        cold_ms: fields.cold_remaining_ms as u64,
        version: software_version(&fields.version),
        started_unix_ms: fields.born,
    })
}

/// A version that is a text or a number. An entry with anything else is used like one without.
fn software_version(value: &Value) -> Option<SoftwareVersion> {
    match value {
        Value::String(text) => Some(SoftwareVersion::from(text.as_str())),
        Value::Number(number) => Some(SoftwareVersion::from(number.to_string())),
        _ => None,
    }
}

/// When the upstream of an entry started, and the number of the entry since then. Of two entries of
/// one upstream the higher pair is newer. `None` if the entry does not say.
#[must_use]
pub fn upstream_revision(bytes: &[u8]) -> Option<(u64, u64)> {
    let fields: RevisionFields = serde_json::from_slice(bytes).ok()?;
    Some((fields.born.unwrap_or(0), fields.sequence?))
}

#[derive(Deserialize)]
struct RevisionFields {
    born: Option<u64>,
    sequence: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct UpstreamFields {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: StateField,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    version: Value,
    born: Option<u64>,
}

#[derive(PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateField {
    Ready,
    Draining,
}
