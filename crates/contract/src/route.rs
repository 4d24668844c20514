use comfreymast_base::Service;
use serde::{Deserialize, Serialize};

/// Routes calls under a path prefix to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, such as `/drawings`.
    pub prefix: String,
    /// The service that handles the calls.
    pub service: Service,
    /// The allowed HTTP methods.
    pub methods: Vec<String>,
    /// Whether a call may be retried after a failure.
    #[serde(default)]
    pub repeatable: bool,
}

impl Route {
    /// Returns true if this route matches `method` and `path`.
    ///
    /// Prefixes match whole path segments: `/drawings` matches `/drawings/7` but not `/drawings2`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.prefix.as_str()) else {
            return false;
        };
        let at_segment_boundary =
            rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/');
        at_segment_boundary && self.methods.iter().any(|allowed| allowed == method)
    }
}
