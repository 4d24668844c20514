//! The contract of one organisation: what may run, how much, at what priority, what may be
//! repeated. One readable TOML document each.
//!
//! * [`Contract`] — the checked contract; [`Contract::parse`] reads a document.
//! * [`Work`] — one kind of generation; [`Route`] — one family of plain calls.
//! * [`Limits`], [`ServiceLevel`], [`ApiKey`] — the parts they are made of.
//! * [`Violation`] — one broken rule, with the field, the value and the rule.

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
