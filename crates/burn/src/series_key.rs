use comfreymast_base::{Kind, Organisation};
use serde::{Deserialize, Serialize};

/// Whose work, and of which kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SeriesKey {
    /// The organisation.
    pub organisation: Organisation,
    /// The kind of work in its contract.
    pub kind: Kind,
}

impl SeriesKey {
    /// The key of one kind of work of one organisation.
    #[must_use]
    pub fn new(organisation: &str, kind: &str) -> Self {
        Self { organisation: Organisation::from(organisation), kind: Kind::from(kind) }
    }
}
