use std::collections::HashSet;

use crate::{Contract, ServiceLevel, Violation};

const MAX_PRIORITY: u8 = 9;
const MAX_OUTPUT_TOKENS: u32 = 100_000;
const MAX_NAME_BYTES: usize = 64;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Every rule that `contract` breaks, in the order of its fields.
pub(crate) fn violations(contract: &Contract) -> Vec<Violation> {
    let mut found = Found::default();
    let organisation = contract.organisation.as_str();
    found.check(is_name(organisation), "organisation", organisation, NAME_RULE);
    check_limits(contract, &mut found);
    check_keys(contract, &mut found);
    check_work(contract, &mut found);
    check_routes(contract, &mut found);
    found.violations
}

const NAME_RULE: &str = "a name is 1 to 64 of a-z, 0-9, '-', '_' and '.'";

#[derive(Default)]
struct Found {
    violations: Vec<Violation>,
}

impl Found {
    fn check(&mut self, holds: bool, field: &str, value: impl ToString, rule: &'static str) {
        if !holds {
            let violation = Violation { field: field.to_owned(), value: value.to_string(), rule };
            self.violations.push(violation);
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn check_limits(contract: &Contract, found: &mut Found) {
    let limits = &contract.limits;
    let rule = "a limit is at least 1; set enabled = false to refuse everything";
    found.check(
        limits.concurrent_requests > 0,
        "limits.concurrent_requests",
        limits.concurrent_requests,
        rule,
    );
    found.check(limits.requests_per_s > 0, "limits.requests_per_s", limits.requests_per_s, rule);
    found.check(limits.tokens_per_s > 0, "limits.tokens_per_s", limits.tokens_per_s, rule);
}

fn check_keys(contract: &Contract, found: &mut Found) {
    let mut names = HashSet::new();
    for (index, key) in contract.keys.iter().enumerate() {
        let field = format!("keys[{index}].sha256");
        found.check(key.hash().is_some(), &field, &key.sha256, "a hash is 64 hexadecimal digits");
        let field = format!("keys[{index}].name");
        found.check(names.insert(&key.name), &field, &key.name, "a key's name is unique");
    }
}

fn check_work(contract: &Contract, found: &mut Found) {
    let mut kinds = HashSet::new();
    for (index, work) in contract.work.iter().enumerate() {
        let field = |name: &str| format!("work[{index}].{name}");
        found.check(is_name(work.kind.as_str()), &field("kind"), &work.kind, NAME_RULE);
        found.check(kinds.insert(&work.kind), &field("kind"), &work.kind, "a kind is unique");
        let priority = work.priority;
        found.check(priority <= MAX_PRIORITY, &field("priority"), priority, "from 0 to 9");
        found.check(
            (1..=MAX_OUTPUT_TOKENS).contains(&work.max_output_tokens),
            &field("max_output_tokens"),
            work.max_output_tokens,
            "from 1 to 100000",
        );
        check_service_level(&work.service_level, &field("service_level"), found);
    }
}

fn check_service_level(level: &ServiceLevel, field: &str, found: &mut Found) {
    found.check(
        level.objective > 0.0 && level.objective < 1.0,
        &format!("{field}.objective"),
        level.objective,
        "between 0 and 1, both excluded",
    );
    found.check(
        level.deadline_ms > 0,
        &format!("{field}.deadline_ms"),
        level.deadline_ms,
        "at least 1 ms",
    );
}

fn check_routes(contract: &Contract, found: &mut Found) {
    for (index, route) in contract.routes.iter().enumerate() {
        let field = |name: &str| format!("routes[{index}].{name}");
        let is_path = route.prefix.starts_with('/') && !route.prefix.starts_with("/v1/");
        let rule = "a prefix starts with '/' and not with '/v1/', which is for completions";
        found.check(is_path, &field("prefix"), &route.prefix, rule);
        for method in &route.methods {
            let known = METHODS.contains(&method.as_str());
            found.check(known, &field("methods"), method, "a method of HTTP in capitals");
        }
        let service = &route.service;
        found.check(is_name(service.as_str()), &field("service"), service, NAME_RULE);
    }
}
