//! Keys that are not their organisation's, and organisations without any.

use std::collections::HashMap;

use crate::document::{Document, text, texts};
use crate::{Finding, Severity};

pub(crate) fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut names: HashMap<&str, String> = HashMap::new();
    let mut holders: HashMap<&str, (&str, String)> = HashMap::new();
    for (at, tenant) in document.list("tenants") {
        let name = text(tenant, "name");
        if let Some(earlier) = names.insert(name, at.clone()) {
            let message = format!("has the same name as {earlier}");
            findings.push(document.finding(
                Severity::Warning,
                "duplicate-tenant",
                at.clone(),
                message,
            ));
        }
        let keys = texts(tenant, "apiKeys").unwrap_or_default();
        if keys.is_empty() {
            let message = format!("the organisation {name:?} has no key");
            findings.push(document.finding(
                Severity::Warning,
                "tenant-without-key",
                at.clone(),
                message,
            ));
        }
        for (index, key) in keys.into_iter().enumerate() {
            let location = format!("{at}.apiKeys[{index}]");
            if key.trim().is_empty() || key.trim() != key {
                let message = "no caller can send this key: it is empty or has spaces around it";
                findings.push(document.finding(
                    Severity::Error,
                    "unusable-key",
                    location.clone(),
                    message.to_owned(),
                ));
            }
            if let Some((holder, earlier)) = holders.insert(key, (name, location.clone())) {
                findings.push(shared_key(document, (holder, earlier), (name, location), key));
            }
        }
    }
    findings
}

/// A key that is listed twice. Whose it is, the keyring says.
fn shared_key(
    document: &Document,
    (holder, earlier): (&str, String),
    (name, location): (&str, String),
    key: &str,
) -> Finding {
    if holder == name {
        let message = format!("is listed at {earlier} as well");
        return document.finding(Severity::Warning, "repeated-key", location, message);
    }
    let read = document.read.keyring.holder(key).map(|holder| holder.organisation.as_str());
    let message = format!(
        "the key of {holder:?} at {earlier} is also one of {name:?}; daemons take its callers for {:?}",
        read.unwrap_or_default()
    );
    document.finding(Severity::Error, "key-of-two", location, message)
}
