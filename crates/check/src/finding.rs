use serde::Serialize;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The document is used as it says, which is hardly intended.
    Warning,
    /// A daemon rejects the document, or reads something else than it says.
    Error,
}

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Names the kind of finding, for programs.
    pub code: &'static str,
    /// Where it is, such as `routes[3].timeoutMs`; empty for the document as a whole.
    pub location: String,
    /// The line of the document, from 1; `None` if the document could not be read so far.
    pub line: Option<usize>,
    /// What is wrong, and what a daemon makes of it.
    pub message: String,
}
