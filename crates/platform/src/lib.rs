//! Protocols and data formats of the surrounding platform.
//!
//! This is the only crate that knows the platform's header names, JSON formats and HTTP endpoints.
//! It encodes, decodes and makes calls; policy belongs to other crates.
//!
//! * [`VmSettings`] — the settings that the platform gives a process about its VM.
//! * [`StoreClient`] — client of the platform's store: topics of records with offsets.
//! * [`decode_configuration`], [`decode_upstream`] — decode records of the store.
//! * [`RequestHead`] — the decoded head of a caller's request.
//! * [`upstream_headers`] — the headers that are sent to an upstream.
//! * [`ResponseHead`] — the decoded head of an upstream's response.
//! * [`move_request`], [`decode_move_reply`] — copy a running generation to another engine.
//! * [`report_request`], [`decode_report`] — query the status of an engine.
//! * [`LogClient`] — client of the log service; a lost append reply is
//!   [`LogError::OutcomeUnknown`].
//! * [`VmListClient`] — client of the VM list; [`Vm`] is one entry.

mod configuration;
pub mod configuration_fields;
mod engine_move;
mod engine_report;
mod log_client;
mod names;
mod request_head;
mod response_head;
mod settings;
mod store;
mod store_record;
mod upstream;
mod vm;
mod vm_list;

pub use configuration::{ConfigurationError, configuration_revision, decode_configuration};
pub use engine_move::{GenerationCopy, MoveError, decode_move_reply, move_request};
pub use engine_report::{EngineReport, decode_report, report_request};
pub use log_client::{LogClient, LogEntry, LogError, LogPage};
pub use request_head::{
    CopyLocation, ForwardOptions, PromptPart, PromptShape, RequestHead, RequestHeadError, Resumes,
    request_id, set_resumption, upstream_headers,
};
pub use response_head::{ColdTime, NamedRate, Pause, ResponseHead};
pub use settings::{SettingsError, VmSettings, settings_path};
pub use store::{LogRecords, LogTopic, NewestRecords, StoreClient, StoreError, StorePage, Topic};
pub use store_record::{KeyedRecord, RecordError};
pub use upstream::{UpstreamError, decode_upstream, upstream_revision};
pub use vm::{Vm, VmRole, VmState};
pub use vm_list::{VmListClient, VmListError};

/// The path of the readiness probe that the load balancer sends to a daemon.
pub const READY_PATH: &str = names::READY_PATH;
/// The key of the configuration in [`Topic::Operators`].
pub const CONFIGURATION_KEY: &str = "config";
/// The prefix of the keys in [`Topic::Operators`] that evacuate a data centre, whose name follows.
pub const EVACUATION_PREFIX: &str = "evacuate/";
