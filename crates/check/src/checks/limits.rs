//! Limits on callers' requests that contradict each other or the memory of a VM.

use crate::document::Document;
use crate::{Finding, Severity, Surroundings};

/// How many bodies of the maximum size a daemon should hold at a time.
const BODIES: u64 = 16;

pub(crate) fn check(document: &Document, surroundings: &Surroundings) -> Vec<Finding> {
    let limits = document.read.limits;
    let memory_bytes = surroundings.memory_bytes;
    let mut findings = Vec::new();
    let mut add = |severity, code, field: &str, message| {
        findings.push(document.finding(severity, code, format!("limits.{field}"), message));
    };
    let request_bytes = (limits.max_body_bytes as u64).saturating_add(limits.max_head_bytes as u64);
    let megabytes = memory_bytes / 1_000_000;
    if request_bytes > memory_bytes {
        let message =
            format!("one request of {request_bytes} bytes exceeds a VM of {megabytes} MB");
        add(Severity::Error, "body-over-memory", "maxBodyBytes", message);
    } else if request_bytes.saturating_mul(BODIES) > memory_bytes {
        let message =
            format!("{BODIES} requests of {request_bytes} bytes exceed a VM of {megabytes} MB");
        add(Severity::Warning, "bodies-over-memory", "maxBodyBytes", message);
    }
    if limits.head_timeout_ms > limits.idle_timeout_ms {
        let message = format!(
            "a connection is closed after {} ms without a request, before the {} ms for its head",
            limits.idle_timeout_ms, limits.head_timeout_ms
        );
        add(Severity::Warning, "head-over-idle-timeout", "headerTimeoutMs", message);
    }
    findings
}
