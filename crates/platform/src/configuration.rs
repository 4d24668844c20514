use std::collections::BTreeMap;
use std::sync::Arc;

use comfreymast_base::{Organisation, Region, Service};
use comfreymast_fleet::{
    CallerLimits, Configuration, EngineSpec, KeyHolder, Keyring, RetryPolicy, Route, RouteTable,
    ServiceSpec, Target,
};
use derive_more::{Display, Error, From};
use serde::Deserialize;

/// Why a configuration cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum ConfigurationError {
    /// It is not valid JSON, or a field is missing or has the wrong type.
    #[display("the configuration does not decode: {_0}")]
    Decode(serde_json::Error),
}

/// The version of an encoded configuration, as a revision; `None` if it has none.
#[must_use]
pub fn configuration_revision(bytes: &[u8]) -> Option<(u64, u64)> {
    let fields: VersionField = serde_json::from_slice(bytes).ok()?;
    Some((fields.version, 0))
}

#[derive(Deserialize)]
struct VersionField {
    version: u64,
}

/// Decodes a version of the configuration that operators wrote to the store.
///
/// # Errors
///
/// [`ConfigurationError::Decode`]; the caller keeps the version in force.
pub fn decode_configuration(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
    let fields: ConfigurationFields = serde_json::from_slice(bytes)?;
    let mut routes = RouteTable::default();
    for route in fields.routes {
        routes.insert(route.into_route());
    }
    let specs = fields.services.into_iter().map(ServiceFields::into_spec);
    let services: BTreeMap<_, _> = specs.map(|spec| (spec.name.clone(), Arc::new(spec))).collect();
    Ok(Configuration {
        version: fields.version,
        routes,
        services,
        limits: fields.limits.into_limits(),
        keyring: build_keyring(fields.tenants),
    })
}

fn build_keyring(tenants: Option<Vec<TenantFields>>) -> Keyring {
    let Some(tenants) = tenants else { return Keyring::default() };
    let mut keyring = Keyring::enforced();
    for tenant in tenants {
        let holder = Arc::new(KeyHolder {
            organisation: Organisation::from(tenant.name),
            priority: tenant.priority,
            allowed_regions: tenant.allowed_regions,
        });
        for key in &tenant.api_keys {
            keyring.insert(key, &holder);
        }
    }
    keyring
}

#[derive(Deserialize)]
struct ConfigurationFields {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteFields>,
    #[serde(default)]
    services: Vec<ServiceFields>,
    #[serde(default)]
    limits: LimitFields,
    tenants: Option<Vec<TenantFields>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteFields {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    kind: KindField,
    #[serde(default)]
    resumable: bool,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    gap_aim_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    allowed_regions: Option<Vec<Region>>,
    service: Option<String>,
    traffic_split: Option<Vec<SplitFields>>,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum KindField {
    Safe,
    Streaming,
    /// Unknown kinds are treated as unsafe as well.
    #[serde(other)]
    Unsafe,
}

#[derive(Deserialize)]
struct SplitFields {
    service: String,
    weight: f64,
}

impl RouteFields {
    fn into_route(self) -> Route {
        const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
        const DEFAULT_TARGET_LATENCY_MS: f64 = 1_000.0;
        let targets = self.targets();
        let retry_policy = match self.kind {
            KindField::Safe => RetryPolicy::Idempotent,
            KindField::Streaming if self.resumable => RetryPolicy::Resumable,
            KindField::Streaming | KindField::Unsafe => RetryPolicy::Once,
        };
        let target_latency_ms = self.target_latency_ms.unwrap_or(DEFAULT_TARGET_LATENCY_MS);
        Route {
            name: self.name.into(),
            host: self.host.to_ascii_lowercase().into(),
            path_prefix: self.path_prefix.into(),
            retry_policy,
            is_stream: self.kind == KindField::Streaming,
            timeout_ms: self.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS) as u64,
            target_latency_ms: target_latency_ms as u64,
            max_pause_ms: self.gap_aim_ms.unwrap_or(target_latency_ms) as u64,
            priority: self.priority,
            max_attempts: self.max_attempts.unwrap_or(1).max(1),
            is_public: self.public,
            allowed_regions: self.allowed_regions,
            targets,
        }
    }

    fn targets(&self) -> Vec<Target> {
        const WEIGHT_UNITS: f64 = 1_000.0;
        let split = self.traffic_split.iter().flatten().map(|share| Target {
            service: Service::from(share.service.as_str()),
            weight: (share.weight.max(0.0) * WEIGHT_UNITS) as u32,
        });
        let unsplit = self.service.iter().map(|service| Target {
            service: Service::from(service.as_str()),
            weight: WEIGHT_UNITS as u32,
        });
        let targets: Vec<_> = split.collect();
        if targets.is_empty() { unsplit.collect() } else { targets }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceFields {
    name: String,
    max_connections: Option<u32>,
    health_path: Option<String>,
    engine: Option<EngineFields>,
    #[serde(default)]
    cold_per_s: f64,
    #[serde(default)]
    cold_start_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineFields {
    slots: u32,
    kv_capacity_tokens: u64,
    #[serde(default)]
    kv_token_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
    #[serde(default)]
    moves: bool,
    stride: Option<u32>,
}

impl ServiceFields {
    fn into_spec(self) -> ServiceSpec {
        const DEFAULT_CONNECTIONS: u32 = 100;
        const DEFAULT_HEALTH_PATH: &str = "/health";
        const MS_PER_S: f64 = 1_000.0;
        ServiceSpec {
            name: Service::from(self.name),
            max_connections: self.max_connections.unwrap_or(DEFAULT_CONNECTIONS),
            health_path: self.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
            cold_per_s: Some(self.cold_per_s).filter(|per_s| *per_s > 0.0),
            cold_start_ms: (self.cold_start_s * MS_PER_S) as u64,
            engine: self.engine.map(|engine| EngineSpec {
                slots: engine.slots,
                memory_tokens: engine.kv_capacity_tokens,
                token_bytes: engine.kv_token_bytes as u64,
                link_mbps: engine.link_mbps,
                can_move: engine.moves,
                tokens_per_event: engine.stride.unwrap_or(1),
            }),
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitFields {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

impl LimitFields {
    fn into_limits(self) -> CallerLimits {
        let default = CallerLimits::default();
        CallerLimits {
            max_head_bytes: self.max_header_bytes.unwrap_or(default.max_head_bytes),
            max_body_bytes: self.max_body_bytes.unwrap_or(default.max_body_bytes),
            head_timeout_ms: self.header_timeout_ms.map_or(default.head_timeout_ms, |ms| ms as u64),
            idle_timeout_ms: self.idle_timeout_ms.map_or(default.idle_timeout_ms, |ms| ms as u64),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantFields {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    allowed_regions: Option<Vec<Region>>,
}
