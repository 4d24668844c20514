//! Fields that the platform does not define, mostly misspelt ones.

use comfreymast_platform::configuration_fields;
use serde_json::Value;

use crate::document::{Document, elements};
use crate::{Finding, Severity};

pub(crate) fn check(document: &Document) -> Vec<Finding> {
    let mut objects: Vec<(String, &Value, &[&str])> =
        vec![(String::new(), &document.value, configuration_fields::DOCUMENT)];
    objects.push(("limits".to_owned(), &document.value["limits"], configuration_fields::LIMITS));
    for (at, route) in document.list("routes") {
        for (split_at, split) in elements(route, "trafficSplit", at.clone()) {
            objects.push((split_at, split, configuration_fields::SPLIT));
        }
        objects.push((at, route, configuration_fields::ROUTE));
    }
    for (at, service) in document.list("services") {
        objects.push((format!("{at}.engine"), &service["engine"], configuration_fields::ENGINE));
        objects.push((at, service, configuration_fields::SERVICE));
    }
    for (at, tenant) in document.list("tenants") {
        objects.push((at, tenant, configuration_fields::TENANT));
    }
    let mut findings = Vec::new();
    for (at, object, known) in objects {
        let names = object.as_object().into_iter().flat_map(serde_json::Map::keys);
        for name in names.filter(|name| !known.contains(&name.as_str())) {
            let location = if at.is_empty() { name.clone() } else { format!("{at}.{name}") };
            let message = "the platform has no such field; it may be misspelt".to_owned();
            findings.push(document.finding(Severity::Warning, "unknown-field", location, message));
        }
    }
    findings
}
