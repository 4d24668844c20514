//! A non-repeatable request runs at most once, and each key behaves as one linearizable register.
//!
//! Clients put the text that identifies a request into `Sent::what`: the body of a plain call, or
//! the prompt of a generation.

use std::collections::BTreeMap;

use comfreymast_fakes::history::{Event, Line};
use derive_more::{Display, Error};
use todc_utils::specifications::Specification;
use todc_utils::{Action, History, WGLChecker};

/// A violation of the guarantees that claims give.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClaimViolation {
    /// A request was run more than once.
    #[display("{what:?} was run {runs} times")]
    RepeatedRun {
        /// The request.
        what: String,
        /// The number of runs.
        runs: usize,
    },
    /// No sequential order explains the answers and runs.
    #[display("the answers for {what:?} are not linearizable")]
    NotLinearizable {
        /// The request.
        what: String,
    },
}

/// Checks that upstreams started no request more than once.
///
/// # Errors
///
/// The first request that was started more than once.
pub fn at_most_once(lines: &[Line]) -> Result<(), ClaimViolation> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines {
        if let Some(what) = started(&line.event) {
            *runs.entry(what).or_default() += 1;
        }
    }
    match runs.into_iter().find(|(_, runs)| *runs > 1) {
        Some((what, runs)) => Err(ClaimViolation::RepeatedRun { what: what.to_owned(), runs }),
        None => Ok(()),
    }
}

/// How often upstreams started `what`.
#[must_use]
pub fn runs(lines: &[Line], what: &str) -> usize {
    lines.iter().filter(|line| started(&line.event) == Some(what)).count()
}

/// The request that an upstream started, if the event is a start.
#[must_use]
pub fn started(event: &Event) -> Option<&str> {
    match event {
        Event::CallStart { body, .. } => Some(body),
        Event::GenerationStart { prompt, .. } => Some(prompt),
        _ => None,
    }
}

// ----------------------------------------------------------------------------------------------
// Linearizability

/// An operation on the register of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyOperation {
    /// An upstream runs the request.
    Run,
    /// A caller is told that the request was run, with this answer.
    Done(String),
    /// A caller is told by the holder of the claim that the request was not run.
    NotRun,
}

/// The state of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct KeyState {
    has_run: bool,
    answer: Option<String>,
}

/// The sequential specification: one run, one answer, and "not run" only before the run.
struct KeySpecification;

impl Specification for KeySpecification {
    type State = KeyState;
    type Operation = KeyOperation;

    fn init() -> KeyState {
        KeyState::default()
    }

    fn apply(operation: &KeyOperation, state: &KeyState) -> (bool, KeyState) {
        match operation {
            KeyOperation::Run if state.has_run => (false, state.clone()),
            KeyOperation::Run => (true, KeyState { has_run: true, answer: None }),
            KeyOperation::Done(answer) => {
                let agrees = state.answer.as_ref().is_none_or(|known| known == answer);
                let next = KeyState { has_run: true, answer: Some(answer.clone()) };
                if state.has_run && agrees { (true, next) } else { (false, state.clone()) }
            }
            KeyOperation::NotRun => (!state.has_run, state.clone()),
        }
    }
}

/// Checks that the answers for each key, together with the runs, are linearizable.
///
/// Some requests say nothing about the key and are left out: one answered "unknown", one without an
/// answer, and one refused before it reached the key (the log did not answer, or the key belongs to
/// another request).
///
/// # Errors
///
/// The first request whose answers are not linearizable.
pub fn linearizable(lines: &[Line]) -> Result<(), ClaimViolation> {
    let mut request_texts: Vec<&str> =
        lines.iter().filter_map(|line| started(&line.event)).collect();
    request_texts.sort_unstable();
    request_texts.dedup();
    for what in request_texts {
        let history = History::from_actions(actions(lines, what));
        if !WGLChecker::<KeySpecification>::is_linearizable(history) {
            return Err(ClaimViolation::NotLinearizable { what: what.to_owned() });
        }
    }
    Ok(())
}

/// The calls and responses of one key, in order; each operation has a process of its own.
fn actions(lines: &[Line], what: &str) -> Vec<(usize, Action<KeyOperation>)> {
    let mut actions = Vec::new();
    let mut open_runs = Vec::new();
    let mut next_process = 0;
    let mut callers = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Sent { request, what: sent } if sent == what => {
                if let Some(operation) = answer_of(lines, *request) {
                    callers.insert(*request, (next_process, operation.clone()));
                    actions.push((next_process, Action::Call(operation)));
                    next_process += 1;
                }
            }
            Event::Answered { request, .. } => {
                if let Some((process, operation)) = callers.remove(request) {
                    actions.push((process, Action::Response(operation)));
                }
            }
            Event::CallEnd { body, .. } if body == what => {
                if let Some(process) = open_runs.pop() {
                    actions.push((process, Action::Response(KeyOperation::Run)));
                }
            }
            event if started(event) == Some(what) => {
                open_runs.push(next_process);
                actions.push((next_process, Action::Call(KeyOperation::Run)));
                next_process += 1;
            }
            _ => {}
        }
    }
    // A run without an end may have taken effect at any time after its start.
    let unfinished = open_runs.into_iter();
    actions.extend(unfinished.map(|process| (process, Action::Response(KeyOperation::Run))));
    actions
}

/// What the answer to `request` says about its key.
fn answer_of(lines: &[Line], request: u64) -> Option<KeyOperation> {
    let answer = lines.iter().find_map(|line| match &line.event {
        Event::Answered { request: answered, outcome, body, .. } if *answered == request => {
            Some((outcome.as_str(), body))
        }
        _ => None,
    });
    let (outcome, body) = answer?;
    let error: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    match (outcome, error["error"]["code"].as_str()) {
        ("done", None) => Some(KeyOperation::Done(body.clone())),
        ("not_run", Some("no_upstream")) => Some(KeyOperation::NotRun),
        _ => None,
    }
}
