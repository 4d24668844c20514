//! A daemon on the platform: routes callers' requests to upstreams and keeps generations alive
//! when their engines shut down.
//!
//! * [`run`] — runs one daemon until its stop channel closes, then drains.
//! * [`GatewayAddresses`] — where it listens.
//! * [`GatewayOptions`] — its time limits.
//! * [`install_log`] — JSON log lines, queued and written off the request path.
//!
//! A caller's request enters at `request_handler`, a change of the configuration at `follow`.

mod announce;
mod answer;
mod brittleness;
mod call;
mod call_error;
mod departed_traffic;
mod directory;
mod dispatch;
mod end_probe;
mod end_witness;
mod engine_watch;
mod exchange;
mod feed;
mod fleet_sum;
mod follow;
mod followed_topic;
mod forward;
mod gateway;
mod generation;
mod head_wait;
mod json_log;
mod lag_monitor;
mod link_probe;
mod metrics;
mod named_limit;
mod on_demand;
mod options;
mod outbox;
mod pause;
mod peers;
mod places;
mod plain;
mod pool;
mod quarantine;
mod records;
mod removed_keys;
mod request_handler;
mod room;
mod roster;
mod send;
mod server;
mod service_links;
mod settings_watch;
mod stream_origin;
mod suspension_watch;
mod topic_fetch;
mod topic_handlers;
mod topic_message;
mod topic_positions;
mod topic_server;
mod unserved;
mod upstream_state;
mod version_records;

pub use gateway::{GatewayAddresses, GatewayError, run};
pub use json_log::install_log;
pub use options::GatewayOptions;
