use comfreymast_base::{Kind, Organisation};
use serde::{Deserialize, Serialize};

use crate::check::violations;
use crate::{ApiKey, ContractError, Limits, Route, Work};

/// The checked contract of one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Whose contract this is.
    pub organisation: Organisation,
    /// False refuses everything without forgetting the contract.
    #[serde(default = "enabled_by_default")]
    pub enabled: bool,
    /// How much may run at once.
    #[serde(default)]
    pub limits: Limits,
    /// Who may call.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// Which generations may run.
    #[serde(default)]
    pub work: Vec<Work>,
    /// Which plain calls may pass.
    #[serde(default)]
    pub routes: Vec<Route>,
}

fn enabled_by_default() -> bool {
    true
}

impl Contract {
    /// Reads a TOML document and checks every rule.
    ///
    /// # Errors
    ///
    /// [`ContractError::Syntax`], or [`ContractError::Violations`] naming every broken rule.
    pub fn parse(document: &str) -> Result<Self, ContractError> {
        let contract: Self = toml::from_str(document)?;
        let violations = violations(&contract);
        if violations.is_empty() { Ok(contract) } else { Err(violations.into()) }
    }

    /// The work that a request asks for: by kind, or the first entry of the model.
    #[must_use]
    pub fn work_for(&self, kind: Option<&str>, model: &str) -> Option<&Work> {
        self.work
            .iter()
            .filter(|work| work.model.as_str() == model)
            .find(|work| kind.is_none_or(|kind| work.kind == Kind::from(kind)))
    }

    /// The route that carries a plain call.
    #[must_use]
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.carries(method, path))
    }
}
