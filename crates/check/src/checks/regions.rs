//! `allowedRegions` that leave no upstream.

use std::collections::BTreeSet;

use serde_json::Value;

use super::routes::read_route;
use crate::document::{Document, text, texts};
use crate::{Finding, Severity, Surroundings};

pub(crate) fn check(document: &Document, surroundings: &Surroundings) -> Vec<Finding> {
    let routes: Vec<_> = document.list("routes").collect();
    let tenants: Vec<_> = document.list("tenants").collect();
    let mut findings = Vec::new();
    for (at, entry) in routes.iter().chain(&tenants) {
        findings.extend(named_regions(document, surroundings, at, entry));
    }
    for (at, route) in &routes {
        let Some(of_route) = texts(route, "allowedRegions") else { continue };
        findings.extend(no_upstream(document, surroundings, at, route, &of_route));
    }
    for (tenant_at, tenant) in &tenants {
        let Some(of_tenant) = texts(tenant, "allowedRegions").filter(|list| !list.is_empty())
        else {
            continue;
        };
        for (route_at, route) in &routes {
            let of_route = texts(route, "allowedRegions");
            let common: Vec<_> = match &of_route {
                Some(of_route) => {
                    of_tenant.iter().copied().filter(|name| of_route.contains(name)).collect()
                }
                None => of_tenant.clone(),
            };
            let is_disjoint = of_route.is_some_and(|list| !list.is_empty()) && common.is_empty();
            let organisation = text(tenant, "name");
            if is_disjoint {
                let location = format!("{tenant_at}.allowedRegions");
                let message = format!(
                    "none of these regions is allowed at {route_at}: its requests of {organisation:?} are all refused"
                );
                findings.push(document.finding(
                    Severity::Error,
                    "regions-exclude-all",
                    location,
                    message,
                ));
            } else if !common.is_empty() {
                let finding = no_upstream(document, surroundings, tenant_at, route, &common);
                findings.extend(finding.map(|finding| Finding {
                    message: format!("{} ({route_at}, {organisation:?})", finding.message),
                    ..finding
                }));
            }
        }
    }
    findings
}

/// Regions that do not exist, and lists without any. Daemons reject what is no list of names.
fn named_regions(
    document: &Document,
    surroundings: &Surroundings,
    at: &str,
    entry: &Value,
) -> Vec<Finding> {
    let location = format!("{at}.allowedRegions");
    let warning = |code, message: String| {
        document.finding(Severity::Warning, code, location.clone(), message)
    };
    let Some(names) = texts(entry, "allowedRegions") else { return Vec::new() };
    if names.is_empty() {
        return vec![warning("regions-without-effect", "an empty list limits nothing".to_owned())];
    }
    let known: BTreeSet<_> = surroundings.regions.values().map(String::as_str).collect();
    let unknown = names.iter().filter(|name| !known.is_empty() && !known.contains(*name));
    let finding = |name: &&str| {
        warning("unknown-region", format!("no data centre is in the region {name:?}"))
    };
    unknown.map(finding).collect()
}

/// Upstreams that the services of a route have, none of them in an allowed region.
fn no_upstream(
    document: &Document,
    surroundings: &Surroundings,
    at: &str,
    route: &Value,
    allowed: &[&str],
) -> Option<Finding> {
    let upstreams = surroundings.upstreams.as_ref()?;
    if surroundings.regions.is_empty() || allowed.is_empty() {
        return None;
    }
    let services: Vec<_> =
        read_route(document, route)?.services().map(|service| service.as_str()).collect();
    let mut of_services =
        upstreams.iter().filter(|one| services.contains(&one.service.as_str())).peekable();
    of_services.peek()?;
    let is_allowed = |data_centre: &str| {
        surroundings.regions.get(data_centre).is_some_and(|name| allowed.contains(&name.as_str()))
    };
    if of_services.any(|one| is_allowed(&one.data_centre)) {
        return None;
    }
    let message = format!("no upstream of {} is in an allowed region", services.join(", "));
    let location = format!("{at}.allowedRegions");
    Some(document.finding(Severity::Error, "regions-exclude-all", location, message))
}
