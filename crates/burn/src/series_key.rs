use comfreymast_base::{Kind, Organisation};
use serde::{Deserialize, Serialize};

/// Key of a series: an organisation and a kind of work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SeriesKey {
    /// The organisation.
    pub organisation: Organisation,
    /// The kind of work, as the organisation's contract names it.
    pub kind: Kind,
}

impl SeriesKey {
    /// Creates the key of one kind of work of one organisation.
    #[must_use]
    pub fn new(organisation: &str, kind: &str) -> Self {
        Self { organisation: Organisation::from(organisation), kind: Kind::from(kind) }
    }
}
