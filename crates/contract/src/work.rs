use comfreymast_base::{Kind, Model};
use serde::{Deserialize, Serialize};

use crate::ServiceLevel;

/// One kind of generation that an organisation may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The value of the `comfreymast-kind` header that selects this entry, such as `report`.
    pub kind: Kind,
    /// The model that engines run for it.
    pub model: Model,
    /// Priority from 0, which waits first under load, to 9.
    pub priority: u8,
    /// Maximum number of tokens of an answer.
    pub max_output_tokens: u32,
    /// Whether a request may be retried after a failure when it does not say so itself.
    #[serde(default)]
    pub repeatable: bool,
    /// The service level objective.
    #[serde(default)]
    pub service_level: ServiceLevel,
}
