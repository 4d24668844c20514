use std::fmt;

use comfreymast_base::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a bearer key. The key itself is stored nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as a caller sent it.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    /// As 64 hexadecimal digits, the way a contract holds it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0))
    }
}

/// One bearer key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// What operators call the key, such as `site-office`.
    pub name: String,
    /// SHA-256 of the key, as 64 hexadecimal digits.
    pub sha256: String,
}

impl ApiKey {
    /// The hash as bytes, or `None` if [`ApiKey::sha256`] is not 64 hexadecimal digits.
    #[must_use]
    pub fn hash(&self) -> Option<KeyHash> {
        hex::decode(&self.sha256).map(KeyHash)
    }
}
