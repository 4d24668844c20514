//! Services that get no requests, and engines that cannot hold them.

use std::collections::{BTreeSet, HashMap};

use comfreymast_base::Service;

use crate::document::{Document, text};
use crate::{Finding, Severity};

pub(crate) fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    let targets = document.read.routes.iter().flat_map(|route| &route.targets);
    let named: BTreeSet<_> = targets.map(|target| target.service.clone()).collect();
    let mut last: HashMap<&str, String> = HashMap::new();
    for (at, entry) in document.list("services") {
        let name = text(entry, "name");
        if let Some(earlier) = last.insert(name, at.clone()) {
            let message = format!("is replaced by {at}, which has the same name");
            findings.push(document.finding(Severity::Error, "duplicate-service", earlier, message));
        }
        if !named.contains(&Service::from(name)) {
            let message = format!("no route names the service {name:?}");
            findings.push(document.finding(
                Severity::Warning,
                "unused-service",
                at.clone(),
                message,
            ));
        }
        findings.extend(engine_memory(document, &at, name));
        let has_rate = entry["coldPerS"].as_f64().is_some_and(|per_s| per_s > 0.0);
        let is_ever_cold = entry["coldStartS"].as_f64().is_some_and(|seconds| seconds > 0.0);
        if has_rate && !is_ever_cold {
            let message = "has coldPerS, but its upstreams are not cold after a start".to_owned();
            let location = format!("{at}.coldStartS");
            findings.push(document.finding(Severity::Warning, "never-cold", location, message));
        }
    }
    findings
}

/// An engine must hold what a request may need: all that `maxRequestTokens` allows it, and in any case one event
/// for each of the requests that it runs at a time.
fn engine_memory(document: &Document, at: &str, name: &str) -> Option<Finding> {
    let engine = document.read.service(&Service::from(name))?.engine.as_ref()?;
    let entries = document.list("services");
    let (_, entry) = entries.into_iter().find(|(entry_at, _)| entry_at == at)?;
    let most_tokens = entry["engine"]["maxRequestTokens"].as_u64();
    let events_tokens = u64::from(engine.slots) * u64::from(engine.tokens_per_event);
    let need_tokens = most_tokens.unwrap_or(0).max(events_tokens);
    if engine.memory_tokens >= need_tokens || engine.memory_tokens == 0 {
        return None;
    }
    let message = format!(
        "an engine holds {} tokens, and its requests may need {need_tokens}",
        engine.memory_tokens
    );
    let location = format!("{at}.engine.kvCapacityTokens");
    Some(document.finding(Severity::Warning, "engine-too-small", location, message))
}
