use std::collections::HashMap;
use std::sync::Arc;

use comfreymast_base::Organisation;

/// An organisation as the holder of an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Its name.
    pub organisation: Organisation,
    /// Its priority, where 0 is served first; overrides the priority of a route.
    pub priority: Option<u8>,
}

/// Maps API keys to the organisations that hold them.
#[derive(Clone, Debug, Default)]
pub struct Keyring {
    holders: HashMap<Box<str>, Arc<KeyHolder>>,
    is_enforced: bool,
}

impl Keyring {
    /// An empty keyring that requires a key from every caller.
    #[must_use]
    pub fn enforced() -> Self {
        Self { holders: HashMap::new(), is_enforced: true }
    }

    /// Adds an API key held by `holder`.
    pub fn insert(&mut self, key: &str, holder: &Arc<KeyHolder>) {
        self.holders.insert(key.into(), holder.clone());
    }

    /// True when requests must carry a key.
    #[must_use]
    pub fn is_enforced(&self) -> bool {
        self.is_enforced
    }

    /// The holders of all keys. One with several keys comes several times.
    pub fn holders(&self) -> impl Iterator<Item = &Arc<KeyHolder>> {
        self.holders.values()
    }

    /// The holder of `key`.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Arc<KeyHolder>> {
        self.holders.get(key)
    }
}
