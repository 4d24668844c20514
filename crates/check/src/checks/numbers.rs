//! Numbers that daemons read as something else: negative ones and fractions below 1 as 0.

use serde_json::Value;

use crate::document::Document;
use crate::{Finding, Severity};

/// The lowest priority at an engine.
const LOWEST_PRIORITY: u64 = 9;

pub(crate) fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut read_as_zero = |at: &str, object: &Value, name: &str, what: &str| {
        let is_zero = object[name].as_f64().is_some_and(|number| number < 1.0);
        if is_zero {
            let message = format!("is read as 0: {what}");
            let location = format!("{at}.{name}");
            findings.push(document.finding(Severity::Error, "read-as-zero", location, message));
        }
    };
    for (at, route) in document.list("routes") {
        for name in ["timeoutMs", "targetLatencyMs"] {
            read_as_zero(&at, route, name, "every request of the route is late");
        }
    }
    let limits = &document.value["limits"];
    for name in ["maxHeaderBytes", "headerTimeoutMs", "idleTimeoutMs"] {
        read_as_zero("limits", limits, name, "no request gets in");
    }
    for (at, service) in document.list("services") {
        let at_engine = format!("{at}.engine");
        for name in ["slots", "kvCapacityTokens"] {
            read_as_zero(&at_engine, &service["engine"], name, "no engine takes a request");
        }
        read_as_zero(&at, service, "maxConnections", "no upstream takes a connection");
    }
    findings.extend(negative_rates(document));
    findings.extend(priorities(document));
    findings
}

fn negative_rates(document: &Document) -> Vec<Finding> {
    let services = document.list("services");
    let negative =
        services.filter(|(_, entry)| entry["coldPerS"].as_f64().is_some_and(|per_s| per_s < 0.0));
    let finding = |(at, _): (String, &Value)| {
        let message = "a negative rate is read as no limit; write 0 if that is meant".to_owned();
        document.finding(Severity::Error, "negative-rate", format!("{at}.coldPerS"), message)
    };
    negative.map(finding).collect()
}

fn priorities(document: &Document) -> Vec<Finding> {
    let entries = document.list("routes").chain(document.list("tenants"));
    let too_low = entries.filter(|(_, entry)| {
        entry["priority"].as_u64().is_some_and(|priority| priority > LOWEST_PRIORITY)
    });
    let finding = |(at, _): (String, &Value)| {
        let message = format!("priorities are 0 (first) to {LOWEST_PRIORITY} (last)");
        document.finding(Severity::Warning, "priority-range", format!("{at}.priority"), message)
    };
    too_low.map(finding).collect()
}
