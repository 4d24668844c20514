//! What a fleet serves, as typed values: the configuration in force and the upstreams behind it.
//!
//! Nothing here does I/O or depends on the platform's serialization of these values.
//!
//! * [`Configuration`] — one version of routes, services, caller limits and organisations.
//! * [`Route`] and [`RouteTable`] — which service answers a host and path, and what may be retried.
//! * [`ServiceSpec`] and [`EngineSpec`] — properties common to all upstreams of one service.
//! * [`Keyring`] — which organisation holds an API key.
//! * [`UpstreamRecord`] — what one upstream reports about itself.

mod configuration;
mod keyring;
mod route;
mod route_table;
mod service_spec;
mod upstream_record;

pub use configuration::{CallerLimits, Configuration};
pub use keyring::{KeyHolder, Keyring};
pub use route::{RetryPolicy, Route, Target};
pub use route_table::RouteTable;
pub use service_spec::{EngineSpec, ServiceSpec};
pub use upstream_record::UpstreamRecord;
