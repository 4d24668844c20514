use comfreymast_base::{Kind, Model};
use serde::{Deserialize, Serialize};

use crate::ServiceLevel;

/// One kind of generation an organisation may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// What callers name in the `comfreymast-kind` header, such as `report`.
    pub kind: Kind,
    /// The model that engines run for it.
    pub model: Model,
    /// From 0, the first to wait, to 9.
    pub priority: u8,
    /// The most tokens one answer may have.
    pub max_output_tokens: u32,
    /// Whether a request without a word on it may be run again after a failure.
    #[serde(default)]
    pub repeatable: bool,
    /// What is promised.
    #[serde(default)]
    pub service_level: ServiceLevel,
}
