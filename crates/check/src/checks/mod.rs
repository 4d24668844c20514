mod fields;
mod limits;
mod numbers;
mod regions;
mod routes;
mod services;
mod tenants;

use crate::document::Document;
use crate::{Finding, Surroundings};

/// All findings of a document, errors first, else in its order.
#[must_use]
pub fn check(bytes: &[u8], surroundings: &Surroundings) -> Vec<Finding> {
    let document = match Document::read(bytes) {
        Ok(document) => document,
        Err(rejected) => return vec![rejected],
    };
    let mut findings = fields::check(&document);
    findings.extend(numbers::check(&document));
    findings.extend(routes::check(&document));
    findings.extend(services::check(&document));
    findings.extend(limits::check(&document, surroundings));
    findings.extend(tenants::check(&document));
    findings.extend(regions::check(&document, surroundings));
    findings.sort_by_key(|finding| (std::cmp::Reverse(finding.severity), finding.line));
    findings
}
