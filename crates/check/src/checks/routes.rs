//! Routes that get no requests, or not those that their fields suggest.

use std::collections::HashMap;

use comfreymast_base::Service;
use comfreymast_fleet::{RetryPolicy, Route};
use serde_json::Value;

use crate::document::{Document, elements, text};
use crate::{Finding, Severity};

/// The kinds that daemons tell apart. Any other one is served as `unsafe`.
const KINDS: [&str; 3] = ["safe", "unsafe", "streaming"];

pub(crate) fn check(document: &Document) -> Vec<Finding> {
    let mut findings = shadowed(document);
    for (at, entry) in document.list("routes") {
        findings.extend(matching(document, &at, entry));
        findings.extend(targets(document, &at, entry));
        // Of a shadowed route, the one in its place was read.
        if let Some(route) = read_route(document, entry) {
            findings.extend(times(document, &at, route));
            findings.extend(attempts(document, &at, entry, route));
        }
    }
    findings
}

/// The route that daemons find for the host and prefix of `entry`.
pub(crate) fn read_route<'a>(document: &'a Document, entry: &Value) -> Option<&'a Route> {
    let host = text(entry, "host").to_ascii_lowercase();
    document.read.routes.find(&host, text(entry, "pathPrefix")).map(|route| &**route)
}

/// Of several routes with one host and prefix, only the last is found.
fn shadowed(document: &Document) -> Vec<Finding> {
    let mut last: HashMap<(String, &str), String> = HashMap::new();
    let mut findings = Vec::new();
    for (at, entry) in document.list("routes") {
        let key = (text(entry, "host").to_ascii_lowercase(), text(entry, "pathPrefix"));
        if let Some(earlier) = last.insert(key, at.clone()) {
            let message = format!("can never match: {at} has the same host and path prefix");
            findings.push(document.finding(Severity::Error, "shadowed-route", earlier, message));
        }
    }
    findings
}

/// A route that is not found for its own host and prefix is never found.
fn matching(document: &Document, at: &str, entry: &Value) -> Option<Finding> {
    let prefix = text(entry, "pathPrefix");
    let is_found = read_route(document, entry).is_some_and(|route| &*route.path_prefix == prefix);
    let (field, message) = if !is_found || !prefix.starts_with('/') {
        ("pathPrefix", "can never match: a path prefix begins and ends with a slash")
    } else if text(entry, "host").is_empty() || text(entry, "host").contains([':', '/', ' ']) {
        ("host", "can never match: the host of a request is compared without scheme and port")
    } else {
        return None;
    };
    let location = format!("{at}.{field}");
    Some(document.finding(Severity::Error, "unmatchable-route", location, message.to_owned()))
}

fn targets(document: &Document, at: &str, entry: &Value) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |severity, code, location, message: &str| {
        findings.push(document.finding(severity, code, location, message.to_owned()));
    };
    if !KINDS.contains(&text(entry, "kind")) {
        let message = "unknown kind: daemons serve the route as unsafe, so a request is sent once";
        add(Severity::Error, "unknown-kind", format!("{at}.kind"), message);
    }
    let split: Vec<_> = elements(entry, "trafficSplit", at.to_owned()).collect();
    let service = entry["service"].as_str();
    if split.is_empty() && service.is_none() {
        let message = "names no service: all its requests are refused";
        add(Severity::Error, "route-without-service", at.to_owned(), message);
    }
    if !split.is_empty() && service.is_some() {
        let message = "is not used beside trafficSplit";
        add(Severity::Warning, "unused-service-field", format!("{at}.service"), message);
    }
    let unsplit = service.filter(|_| split.is_empty()).map(|name| (format!("{at}.service"), name));
    let in_split = split.iter().map(|(at, part)| (format!("{at}.service"), text(part, "service")));
    for (location, name) in unsplit.into_iter().chain(in_split) {
        if document.read.service(&Service::from(name)).is_none() {
            let message = format!("the document has no service {name:?}");
            add(Severity::Error, "missing-service", location, &message);
        }
    }
    for (at, part) in &split {
        let weight = part["weight"].as_f64().unwrap_or(0.0);
        // Weights are read in units of a thousandth.
        if (weight * 1_000.0) as u32 == 0 {
            let message = if weight == 0.0 {
                "a weight of 0 gets no requests, unless all weights are 0: then the first gets all"
            } else {
                "is read as a weight of 0, which gets no requests"
            };
            let is_misread = weight != 0.0;
            let severity = if is_misread { Severity::Error } else { Severity::Warning };
            add(severity, "zero-weight", format!("{at}.weight"), message);
        }
    }
    findings
}

fn times(document: &Document, at: &str, route: &Route) -> Option<Finding> {
    (route.timeout_ms < route.target_latency_ms).then(|| {
        let message = format!(
            "the time limit of {} ms ends before the target latency of {} ms",
            route.timeout_ms, route.target_latency_ms
        );
        let location = format!("{at}.timeoutMs");
        document.finding(Severity::Warning, "timeout-under-target", location, message)
    })
}

fn attempts(document: &Document, at: &str, entry: &Value, route: &Route) -> Vec<Finding> {
    let mut findings = Vec::new();
    let location = format!("{at}.maxAttempts");
    if entry["maxAttempts"].as_u64() == Some(0) {
        let message = "is read as 1".to_owned();
        let location = location.clone();
        findings.push(document.finding(Severity::Error, "no-attempts", location, message));
    }
    if route.retry_policy == RetryPolicy::Once && route.max_attempts > 1 {
        let message =
            "requests of this kind run at most once, whatever maxAttempts says".to_owned();
        findings.push(document.finding(Severity::Warning, "attempts-on-once", location, message));
    }
    if route.is_stream || !entry["resumable"].as_bool().unwrap_or(false) {
        return findings;
    }
    let message = "only streams can be resumed".to_owned();
    let location = format!("{at}.resumable");
    findings.push(document.finding(Severity::Warning, "resumable-plain", location, message));
    findings
}
