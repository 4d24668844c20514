//! How the platform speaks. Names, formats and calls live here and nowhere else; nothing is decided.
//!
//! * [`VmSettings`] — what the platform tells a process about its VM.
//! * [`StoreClient`] — the platform's store: topics of records with offsets.
//! * [`decode_configuration`], [`decode_upstream`] — records of the store as typed values.
//! * [`CallHead`] — what the headers of a caller's request say; [`forward_head`] — what an upstream
//!   is sent instead.
//! * [`AnswerHead`] — what the headers of an upstream's answer say.
//! * [`move_request`], [`decode_move_reply`] — copying a running generation to another engine.
//! * [`report_request`], [`decode_report`] — asking an engine how it is.
//! * [`LogClient`] — appends and reads; a lost append reply is [`LogError::Unknown`].
//! * [`VmList`] — reads the list of VMs; [`Vm`] is one entry.

mod answer_head;
mod call_head;
mod configuration;
mod engine_move;
mod engine_report;
mod log_client;
mod names;
mod settings;
mod store;
mod store_record;
mod upstream;
mod vm;
mod vm_list;

pub use answer_head::AnswerHead;
pub use call_head::{
    CallHead, CallHeadError, Forward, Origin, PromptPart, PromptShape, forward_head, request_id,
};
pub use configuration::{ConfigurationError, decode_configuration};
pub use engine_move::{Copied, MoveError, decode_move_reply, move_request};
pub use engine_report::{EngineReport, decode_report, report_request};
pub use log_client::{LogClient, LogEntry, LogError, LogPage};
pub use settings::{SettingsError, VmSettings, settings_path};
pub use store::{Newest, Page, StoreClient, StoreError, Topic};
pub use store_record::{KeyedRecord, RecordError};
pub use upstream::{UpstreamError, decode_upstream};
pub use vm::{Vm, VmRole, VmState};
pub use vm_list::{VmList, VmListError};

/// The path at which the balancer asks whether a daemon takes connections.
pub const READY_PATH: &str = names::READY_PATH;
/// The key of the configuration in [`Topic::Operators`].
pub const CONFIGURATION_KEY: &str = "config";
