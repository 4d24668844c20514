use comfreymast_base::{Kind, Organisation};
use serde::{Deserialize, Serialize};

use crate::check::violations;
use crate::{ApiKey, ContractError, Limits, Route, Work};

/// The validated contract of one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The organisation that the contract applies to.
    pub organisation: Organisation,
    /// If false, all requests are refused while the contract is kept.
    #[serde(default = "enabled_by_default")]
    pub enabled: bool,
    /// Limits on concurrency and rates.
    #[serde(default)]
    pub limits: Limits,
    /// Bearer keys accepted from callers.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// Kinds of generations that may run.
    #[serde(default)]
    pub work: Vec<Work>,
    /// Routes for plain (non-generation) calls.
    #[serde(default)]
    pub routes: Vec<Route>,
}

fn enabled_by_default() -> bool {
    true
}

impl Contract {
    /// Parses a TOML document and validates every rule.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError::Syntax`], or [`ContractError::Violations`] with every broken rule.
    pub fn parse(document: &str) -> Result<Self, ContractError> {
        let contract: Self = toml::from_str(document)?;
        let violations = violations(&contract);
        if violations.is_empty() { Ok(contract) } else { Err(violations.into()) }
    }

    /// The work entry for a request: the first entry with this model and, if given, this kind.
    #[must_use]
    pub fn work_for(&self, kind: Option<&str>, model: &str) -> Option<&Work> {
        self.work
            .iter()
            .filter(|work| work.model.as_str() == model)
            .find(|work| kind.is_none_or(|kind| work.kind == Kind::from(kind)))
    }

    /// The first route that matches a plain call.
    #[must_use]
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }
}
