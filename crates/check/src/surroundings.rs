use std::collections::BTreeMap;

/// The memory of the smallest VM that runs a daemon.
const SMALLEST_VM_BYTES: u64 = 88_000_000;

/// An upstream that is registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredUpstream {
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
}

/// What is known of where a document is to be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// The memory of a VM that runs a daemon.
    pub memory_bytes: u64,
    /// The region of each data centre; empty if it is not known.
    pub regions: BTreeMap<String, String>,
    /// The upstreams; `None` if they are not known.
    pub upstreams: Option<Vec<RegisteredUpstream>>,
}

impl Default for Surroundings {
    fn default() -> Self {
        Self { memory_bytes: SMALLEST_VM_BYTES, regions: BTreeMap::new(), upstreams: None }
    }
}
