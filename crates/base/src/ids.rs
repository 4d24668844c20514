use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::hex;

const ID_BYTES: usize = 16;

/// The text or bytes are not a 16-byte identifier.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an identifier is 32 hexadecimal digits")]
pub struct ParseIdError;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name([u8; ID_BYTES]);

        impl $name {
            /// Generates an identifier with the thread-local random number generator.
            #[must_use]
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Creates an identifier from its bytes.
            #[must_use]
            pub const fn from_bytes(bytes: [u8; ID_BYTES]) -> Self {
                Self(bytes)
            }

            /// The bytes as encoded in messages.
            #[must_use]
            pub fn to_vec(self) -> Vec<u8> {
                self.0.to_vec()
            }
        }

        impl TryFrom<&[u8]> for $name {
            type Error = ParseIdError;

            fn try_from(bytes: &[u8]) -> Result<Self, ParseIdError> {
                bytes.try_into().map(Self).map_err(|_| ParseIdError)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                hex::decode(text).map(Self).ok_or(ParseIdError)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(&self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

id! {
    /// Identifies a generation. All tokens that a reader receives for one request carry its id.
    GenerationId
}
id! {
    /// Identifies an operation on the log. When the reply to an append is lost, reading the log for
    /// this id tells whether the append took effect.
    OperationId
}
