use std::fmt;

use comfreymast_base::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a bearer key. The key itself is never stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes the key that a caller presented.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    /// Formats the hash as 64 hexadecimal digits, as in a contract document.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0))
    }
}

/// One bearer key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// Display name of the key for operators, such as `site-office`.
    pub name: String,
    /// SHA-256 of the key, as 64 hexadecimal digits.
    pub sha256: String,
}

impl ApiKey {
    /// The decoded hash, or `None` if [`ApiKey::sha256`] is not 64 hexadecimal digits.
    #[must_use]
    pub fn hash(&self) -> Option<KeyHash> {
        hex::decode(&self.sha256).map(KeyHash)
    }
}
