use comfreymast_base::Service;
use serde::{Deserialize, Serialize};

/// One family of calls that pass to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, such as `/drawings`.
    pub prefix: String,
    /// The service that answers.
    pub service: Service,
    /// The methods allowed.
    pub methods: Vec<String>,
    /// Whether a call may be run again after a failure.
    #[serde(default)]
    pub repeatable: bool,
}

impl Route {
    /// True when this route carries `method` on `path`.
    ///
    /// A prefix ends at a path segment: `/drawings` carries `/drawings/7` but not `/drawings2`.
    #[must_use]
    pub fn carries(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.prefix.as_str()) else {
            return false;
        };
        let at_segment = rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/');
        at_segment && self.methods.iter().any(|allowed| allowed == method)
    }
}
