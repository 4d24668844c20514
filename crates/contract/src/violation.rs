use derive_more::{Display, Error, From};

/// One rule that a contract breaks.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field} = {value}: {rule}")]
pub struct Violation {
    /// The field, such as `work[0].priority`.
    pub field: String,
    /// The value found.
    pub value: String,
    /// The rule it breaks.
    pub rule: &'static str,
}

/// Why a document is not a contract.
#[derive(Clone, Debug, Display, Error, From)]
pub enum ContractError {
    /// The document is not TOML, or a field is missing, unknown or of the wrong type.
    #[display("the document does not read as a contract: {_0}")]
    Syntax(toml::de::Error),
    /// The document reads, but breaks rules. There is at least one.
    #[display("the contract breaks {} rule(s): {}", _0.len(), _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    #[error(ignore)]
    Violations(Vec<Violation>),
}
