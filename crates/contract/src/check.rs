use std::collections::HashSet;

use crate::{Contract, ServiceLevel, Violation};

const MAX_PRIORITY: u8 = 9;
const MAX_OUTPUT_TOKENS: u32 = 100_000;
const MAX_NAME_BYTES: usize = 64;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// All validation errors of `contract`, in the order of its fields.
pub(crate) fn violations(contract: &Contract) -> Vec<Violation> {
    let mut validator = Validator::default();
    let organisation = contract.organisation.as_str();
    validator.check(is_valid_name(organisation), "organisation", organisation, NAME_RULE);
    check_limits(contract, &mut validator);
    check_keys(contract, &mut validator);
    check_work(contract, &mut validator);
    check_routes(contract, &mut validator);
    validator.violations
}

const NAME_RULE: &str = "a name is 1 to 64 of a-z, 0-9, '-', '_' and '.'";

#[derive(Default)]
struct Validator {
    violations: Vec<Violation>,
}

impl Validator {
    fn check(&mut self, is_valid: bool, field: &str, value: impl ToString, rule: &'static str) {
        if !is_valid {
            let violation = Violation { field: field.to_owned(), value: value.to_string(), rule };
            self.violations.push(violation);
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn check_limits(contract: &Contract, validator: &mut Validator) {
    let limits = &contract.limits;
    let rule = "a limit is at least 1; set enabled = false to refuse everything";
    validator.check(
        limits.concurrent_requests > 0,
        "limits.concurrent_requests",
        limits.concurrent_requests,
        rule,
    );
    validator.check(
        limits.requests_per_s > 0,
        "limits.requests_per_s",
        limits.requests_per_s,
        rule,
    );
    validator.check(limits.tokens_per_s > 0, "limits.tokens_per_s", limits.tokens_per_s, rule);
}

fn check_keys(contract: &Contract, validator: &mut Validator) {
    let mut names = HashSet::new();
    for (index, key) in contract.keys.iter().enumerate() {
        let field = format!("keys[{index}].sha256");
        validator.check(
            key.hash().is_some(),
            &field,
            &key.sha256,
            "a hash is 64 hexadecimal digits",
        );
        let field = format!("keys[{index}].name");
        validator.check(names.insert(&key.name), &field, &key.name, "a key's name is unique");
    }
}

fn check_work(contract: &Contract, validator: &mut Validator) {
    let mut kinds = HashSet::new();
    for (index, work) in contract.work.iter().enumerate() {
        let field = |name: &str| format!("work[{index}].{name}");
        validator.check(is_valid_name(work.kind.as_str()), &field("kind"), &work.kind, NAME_RULE);
        validator.check(kinds.insert(&work.kind), &field("kind"), &work.kind, "a kind is unique");
        let priority = work.priority;
        validator.check(priority <= MAX_PRIORITY, &field("priority"), priority, "from 0 to 9");
        validator.check(
            (1..=MAX_OUTPUT_TOKENS).contains(&work.max_output_tokens),
            &field("max_output_tokens"),
            work.max_output_tokens,
            "from 1 to 100000",
        );
        check_service_level(&work.service_level, &field("service_level"), validator);
    }
}

fn check_service_level(level: &ServiceLevel, field: &str, validator: &mut Validator) {
    validator.check(
        level.objective > 0.0 && level.objective < 1.0,
        &format!("{field}.objective"),
        level.objective,
        "between 0 and 1, both excluded",
    );
    validator.check(
        level.deadline_ms > 0,
        &format!("{field}.deadline_ms"),
        level.deadline_ms,
        "at least 1 ms",
    );
}

fn check_routes(contract: &Contract, validator: &mut Validator) {
    for (index, route) in contract.routes.iter().enumerate() {
        let field = |name: &str| format!("routes[{index}].{name}");
        let is_allowed_prefix = route.prefix.starts_with('/') && !route.prefix.starts_with("/v1/");
        let rule = "a prefix starts with '/' and not with '/v1/', which is for completions";
        validator.check(is_allowed_prefix, &field("prefix"), &route.prefix, rule);
        for method in &route.methods {
            let is_known = METHODS.contains(&method.as_str());
            validator.check(is_known, &field("methods"), method, "a method of HTTP in capitals");
        }
        let service = &route.service;
        validator.check(is_valid_name(service.as_str()), &field("service"), service, NAME_RULE);
    }
}
