//! A request whose caller was told "not run" was not run.

use std::collections::BTreeMap;

use comfreymast_fakes::history::{Event, Line};
use derive_more::{Display, Error};

use super::claims::started;

/// A violation of the guarantee that outcomes are truthful.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum OutcomeViolation {
    /// A request was run although every caller that had sent it was told that it was not run.
    #[display("{what:?} was run, but every caller that sent it was told that it was not")]
    RunReportedAsNotRun {
        /// The request.
        what: String,
    },
    /// An answer has no outcome, so it does not say whether the request was run.
    #[display("request {request} was answered {status} without an outcome")]
    NoOutcome {
        /// The client's number for the request.
        request: u64,
        /// The status of the answer.
        status: u16,
    },
}

/// Checks that each run belongs to a request whose caller was not told "not run", and that each
/// answer has an outcome.
///
/// A run may be caused by a request that was sent before the run and never answered. A request that
/// was answered before the run began may have caused it only if the outcome was "unknown".
///
/// # Errors
///
/// The first violation.
pub fn truthful(lines: &[Line]) -> Result<(), OutcomeViolation> {
    let answers = answers(lines)?;
    let mut sent: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines {
        if let Event::Sent { request, what } = &line.event {
            sent.entry(what).or_default().push(*request);
        }
        let Some(what) = started(&line.event) else { continue };
        let requests = sent.get(what).map(Vec::as_slice).unwrap_or_default();
        if !requests.iter().any(|request| answers.get(request) != Some(&"not_run")) {
            return Err(OutcomeViolation::RunReportedAsNotRun { what: what.to_owned() });
        }
    }
    Ok(())
}

/// The outcome of each request that got a final answer. A broken connection (status 0) is none.
fn answers(lines: &[Line]) -> Result<BTreeMap<u64, &str>, OutcomeViolation> {
    let mut answers = BTreeMap::new();
    for line in lines {
        let Event::Answered { request, status, outcome, .. } = &line.event else { continue };
        if *status == 0 {
            continue;
        }
        if !["done", "not_run", "unknown"].contains(&outcome.as_str()) {
            return Err(OutcomeViolation::NoOutcome { request: *request, status: *status });
        }
        answers.insert(*request, outcome.as_str());
    }
    Ok(answers)
}
