use derive_more::{Display, Error, From};

/// A validation rule that a contract breaks.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field} = {value}: {rule}")]
pub struct Violation {
    /// The field, such as `work[0].priority`.
    pub field: String,
    /// The invalid value.
    pub value: String,
    /// The rule it breaks.
    pub rule: &'static str,
}

/// Why a document was rejected as a contract.
#[derive(Clone, Debug, Display, Error, From)]
pub enum ContractError {
    /// The document is not TOML, or a field is missing, unknown or of the wrong type.
    #[display("the document does not read as a contract: {_0}")]
    Syntax(toml::de::Error),
    /// The document parses but breaks rules. The list is never empty.
    #[display("the contract breaks {} rule(s): {}", _0.len(), _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    #[error(ignore)]
    Violations(Vec<Violation>),
}
