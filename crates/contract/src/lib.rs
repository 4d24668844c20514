//! The contract of one organisation: allowed work, limits, priorities and what may be retried.
//! Each contract is one TOML document.
//!
//! * [`Contract`] — the validated contract; [`Contract::parse`] reads a document.
//! * [`Work`] — one kind of generation; [`Route`] — a path prefix for plain calls.
//! * [`Limits`], [`ServiceLevel`], [`ApiKey`] — the parts of a contract.
//! * [`Violation`] — a broken rule with its field and value.

mod api_key;
mod check;
mod contract;
mod limits;
mod route;
mod service_level;
mod violation;
mod work;

pub use api_key::{ApiKey, KeyHash};
pub use contract::Contract;
pub use limits::Limits;
pub use route::Route;
pub use service_level::ServiceLevel;
pub use violation::{ContractError, Violation};
pub use work::Work;
