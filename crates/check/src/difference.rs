use std::collections::{BTreeMap, BTreeSet};

use comfreymast_fleet::{Configuration, Route, Target};
use serde::Serialize;
use serde_json::Value;

use crate::Finding;
use crate::document::{Document, text, texts};

/// One change that a document makes to the version in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Difference {
    /// Names the kind of change, for programs.
    pub code: &'static str,
    /// The route, service, organisation or limit.
    pub subject: String,
    /// What changes.
    pub message: String,
}

/// What `after` changes of `before`, the version in force.
///
/// # Errors
///
/// The finding that rejects one of both.
pub fn differences(before: &[u8], after: &[u8]) -> Result<Vec<Difference>, Finding> {
    let (before, after) = (Document::read(before)?, Document::read(after)?);
    let mut found = Vec::new();
    found.extend(version(&before.read, &after.read));
    found.extend(routes(&before.read, &after.read));
    found.extend(services(&before, &after));
    found.extend(limits(&before, &after));
    found.extend(keys(&before, &after));
    Ok(found)
}

fn difference(code: &'static str, subject: impl Into<String>, message: String) -> Difference {
    Difference { code, subject: subject.into(), message }
}

/// Daemons ignore a version that is not higher than the one in force.
fn version(before: &Configuration, after: &Configuration) -> Option<Difference> {
    (after.version <= before.version).then(|| {
        let message = format!(
            "would not take effect: version {} is in force, and this one is {}",
            before.version, after.version
        );
        difference("version-not-higher", "version", message)
    })
}

type RouteKey = (String, String);

fn by_key(configuration: &Configuration) -> BTreeMap<RouteKey, &Route> {
    let keyed = configuration
        .routes
        .iter()
        .map(|route| ((route.host.to_string(), route.path_prefix.to_string()), &**route));
    keyed.collect()
}

fn routes(before: &Configuration, after: &Configuration) -> Vec<Difference> {
    let (before, after) = (by_key(before), by_key(after));
    let mut found = Vec::new();
    let added: Vec<_> = after.iter().filter(|(key, _)| !before.contains_key(*key)).collect();
    let mut moved_names = BTreeSet::new();
    for (key, route) in before.iter().filter(|(key, _)| !after.contains_key(*key)) {
        let named =
            |(_, other): &&(&RouteKey, &&Route)| !route.name.is_empty() && other.name == route.name;
        match added.iter().find(named) {
            Some((to, _)) => {
                moved_names.insert(route.name.clone());
                let message = format!("moved from {} to {}", place(key), place(to));
                found.push(difference("route-moved", subject(key, route), message));
            }
            None => {
                let message = format!("removed: requests to {} are denied", place(key));
                found.push(difference("route-removed", subject(key, route), message));
            }
        }
    }
    for (key, route) in added.iter().filter(|(_, route)| !moved_names.contains(&route.name)) {
        let message = format!("added: {} goes to {}", place(key), shares(&route.targets));
        found.push(difference("route-added", subject(key, route), message));
    }
    for (key, route) in &after {
        let earlier = before.get(key).copied().or_else(|| {
            let is_moved = moved_names.contains(&route.name);
            before.values().copied().find(|earlier| is_moved && earlier.name == route.name)
        });
        if let Some(earlier) = earlier {
            found.extend(route_changes(&subject(key, route), earlier, route));
        }
    }
    found
}

fn route_changes(subject: &str, before: &Route, after: &Route) -> Vec<Difference> {
    let mut found = Vec::new();
    if before.targets != after.targets {
        let message =
            format!("goes to {}, until now to {}", shares(&after.targets), shares(&before.targets));
        found.push(difference("route-target", subject, message));
    }
    let figures = [
        ("time limit", before.timeout_ms, after.timeout_ms, " ms"),
        ("target latency", before.target_latency_ms, after.target_latency_ms, " ms"),
        ("longest pause", before.max_pause_ms, after.max_pause_ms, " ms"),
        ("priority", before.priority.into(), after.priority.into(), ""),
        ("attempts", before.max_attempts.into(), after.max_attempts.into(), ""),
    ];
    for (name, from, to, unit) in figures.iter().filter(|(_, from, to, _)| from != to) {
        let message = format!("{name} changes from {from}{unit} to {to}{unit}");
        found.push(difference("route-limit", subject, message));
    }
    if before.retry_policy != after.retry_policy || before.is_stream != after.is_stream {
        let message =
            format!("kind changes from {:?} to {:?}", before.retry_policy, after.retry_policy);
        found.push(difference("route-kind", subject, message));
    }
    if before.is_public != after.is_public {
        let now = if after.is_public { "needs no key any more" } else { "needs a key now" };
        found.push(difference("route-public", subject, now.to_owned()));
    }
    found
}

fn subject(key: &RouteKey, route: &Route) -> String {
    if route.name.is_empty() { place(key) } else { route.name.to_string() }
}

fn place(key: &RouteKey) -> String {
    format!("{}{}", key.0, key.1)
}

/// The services of a route, with their parts of its requests.
fn shares(targets: &[Target]) -> String {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    let share = |target: &Target| {
        let percent = f64::from(target.weight) * 100.0 / f64::from(total.max(1));
        format!("{} ({percent:.1}%)", target.service)
    };
    match targets {
        [] => "no service".to_owned(),
        [only] => only.service.to_string(),
        several => several.iter().map(share).collect::<Vec<_>>().join(", "),
    }
}

fn by_name<'a>(document: &'a Document, list: &'a str) -> BTreeMap<&'a str, &'a Value> {
    document.list(list).map(|(_, entry)| (text(entry, "name"), entry)).collect()
}

fn services(before: &Document, after: &Document) -> Vec<Difference> {
    let (before, after) = (by_name(before, "services"), by_name(after, "services"));
    let mut found = Vec::new();
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        found.push(difference("service-removed", *name, "removed".to_owned()));
    }
    for (name, entry) in &after {
        match before.get(name) {
            None => found.push(difference("service-added", *name, "added".to_owned())),
            Some(earlier) => {
                for message in changed_fields(earlier, entry) {
                    found.push(difference("service-changed", *name, message));
                }
            }
        }
    }
    found
}

/// What changes of the fields of an object, and of the objects in it.
fn changed_fields(before: &Value, after: &Value) -> Vec<String> {
    let names = |value: &Value| -> BTreeSet<String> {
        value.as_object().into_iter().flat_map(|object| object.keys().cloned()).collect()
    };
    let all: BTreeSet<_> = names(before).union(&names(after)).cloned().collect();
    let changed = all.into_iter().filter(|name| before[name.as_str()] != after[name.as_str()]);
    let mut messages = Vec::new();
    for name in changed {
        let (from, to) = (&before[name.as_str()], &after[name.as_str()]);
        if from.is_object() && to.is_object() {
            let inner = changed_fields(from, to);
            messages.extend(inner.into_iter().map(|message| format!("{name}.{message}")));
            continue;
        }
        let text = |value: &Value| {
            if value.is_null() { "the default".to_owned() } else { value.to_string() }
        };
        messages.push(format!("{name} changes from {} to {}", text(from), text(to)));
    }
    messages
}

fn limits(before: &Document, after: &Document) -> Vec<Difference> {
    let (from, to) = (before.read.limits, after.read.limits);
    let figures = [
        ("maxHeaderBytes", from.max_head_bytes as u64, to.max_head_bytes as u64),
        ("maxBodyBytes", from.max_body_bytes as u64, to.max_body_bytes as u64),
        ("headerTimeoutMs", from.head_timeout_ms, to.head_timeout_ms),
        ("idleTimeoutMs", from.idle_timeout_ms, to.idle_timeout_ms),
    ];
    let changed = figures.iter().filter(|(_, from, to)| from != to);
    let limit = |(name, from, to): &(&str, u64, u64)| {
        let word = if to < from { "lowered" } else { "raised" };
        difference("limit", *name, format!("{word} from {from} to {to}"))
    };
    changed.map(limit).collect()
}

/// The holder of each key.
fn holders(document: &Document) -> BTreeMap<String, String> {
    let tenants = document.list("tenants");
    let keys = tenants.flat_map(|(_, tenant)| texts(tenant, "apiKeys").unwrap_or_default());
    let held = keys.filter_map(|key| {
        let holder = document.read.keyring.holder(key)?;
        Some((key.to_owned(), holder.organisation.as_str().to_owned()))
    });
    held.collect()
}

fn keys(before: &Document, after: &Document) -> Vec<Difference> {
    let mut found = Vec::new();
    let (was, is) = (before.read.keyring.is_enforced(), after.read.keyring.is_enforced());
    if was != is {
        let message = if is { "callers need a key now" } else { "no caller needs a key any more" };
        found.push(difference("keys-required", "tenants", message.to_owned()));
    }
    let (held, holds) = (holders(before), holders(after));
    for (key, holder) in &held {
        match holds.get(key) {
            None => {
                let message = format!("key {} is revoked", masked(key));
                found.push(difference("key-revoked", holder, message));
            }
            Some(now) if now != holder => {
                let message = format!("key {} becomes one of {now}", masked(key));
                found.push(difference("key-moved", holder, message));
            }
            Some(_) => {}
        }
    }
    for (key, holder) in holds.iter().filter(|(key, _)| !held.contains_key(*key)) {
        found.push(difference("key-added", holder, format!("key {} is added", masked(key))));
    }
    let (tenants_before, tenants) = (by_name(before, "tenants"), by_name(after, "tenants"));
    for name in tenants_before.keys().filter(|name| !tenants.contains_key(*name)) {
        found.push(difference("tenant-removed", *name, "removed, with all its keys".to_owned()));
    }
    for (name, tenant) in &tenants {
        let Some(earlier) = tenants_before.get(name) else {
            found.push(difference("tenant-added", *name, "added".to_owned()));
            continue;
        };
        let (mut earlier, mut now) = ((*earlier).clone(), (*tenant).clone());
        for entry in [&mut earlier, &mut now] {
            if let Some(fields) = entry.as_object_mut() {
                fields.remove("apiKeys");
            }
        }
        for message in changed_fields(&earlier, &now) {
            found.push(difference("tenant-changed", *name, message));
        }
    }
    found
}

/// The end of a key, by which its holder can tell it. Whole keys are printed nowhere.
fn masked(key: &str) -> String {
    const SHOWN: usize = 4;
    const MIN_HIDDEN: usize = 8;
    let count = key.chars().count();
    let shown = if count >= SHOWN + MIN_HIDDEN { SHOWN } else { 1 };
    let end: String = key.chars().skip(count.saturating_sub(shown)).collect();
    format!("…{end}")
}
