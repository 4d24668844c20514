//! At which software version of an upstream a stream may run.
//!
//! What two versions write of one answer does not fit together, and upstreams do not check it.
//!
//! ```
//! use comfreymast_base::SoftwareVersion;
//! use comfreymast_decide::software_version::VersionNeed;
//!
//! let need = VersionNeed::Only(Some(SoftwareVersion::from("v1")));
//! assert!(!need.allows(Some(&SoftwareVersion::from("v2"))));
//! ```

use comfreymast_base::SoftwareVersion;

/// The versions at which a stream may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionNeed {
    /// Any, as nothing has been written of it.
    #[default]
    Any,
    /// Only the version that wrote the first event. Upstreams that state none count as one version.
    Only(Option<SoftwareVersion>),
}

impl VersionNeed {
    /// True if the stream may run at an upstream of this version.
    #[must_use]
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(needed) => needed.as_ref() == version,
        }
    }
}
