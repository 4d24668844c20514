use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// A customer with one contract.
    Organisation
}
name! {
    /// A back end: an engine, which runs models, or a plain server.
    Upstream
}
name! {
    /// The version of an upstream's software, not of the weights of its models.
    SoftwareVersion
}
name! {
    /// A running comfreymast daemon, named after its VM.
    DaemonName
}
name! {
    /// The data centre of a VM.
    DataCentre
}
name! {
    /// The region of a data centre.
    Region
}
name! {
    /// A model run by engines.
    Model
}
name! {
    /// A service other than the engines, such as drawings or boards.
    Service
}
name! {
    /// A kind of request in a contract, such as `report` or `caption`.
    Kind
}
