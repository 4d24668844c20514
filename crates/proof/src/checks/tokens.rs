//! A reader gets every token once, in order, from one generation of its own request, and all tokens
//! if it was told that the stream is done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use comfreymast_fakes::engine::text;
use comfreymast_fakes::history::{Event, Line};
use derive_more::{Display, Error};

/// A violation of the guarantees for streams.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TokenViolation {
    /// A text that is not in the format of an engine's tokens.
    #[display("{reader}: {text:?} is not a token")]
    NotAToken {
        /// The reader and its request.
        reader: ReaderId,
        /// The text.
        text: String,
    },
    /// A token is missing, duplicated or out of order.
    #[display("{reader}: got token {found} instead of {expected}")]
    OutOfOrder {
        /// The reader and its request.
        reader: ReaderId,
        /// The expected index.
        expected: u32,
        /// The index received.
        found: u32,
    },
    /// The stream mixes tokens of two generations.
    #[display("{reader}: got tokens of {first} and of {second}")]
    MixedGenerations {
        /// The reader and its request.
        reader: ReaderId,
        /// The mark of the first token.
        first: String,
        /// Another mark.
        second: String,
    },
    /// The tokens are of a generation that no engine ran for this request.
    #[display("{reader}: got tokens of {mark}, which is not a generation of this request")]
    WrongGeneration {
        /// The reader and its request.
        reader: ReaderId,
        /// The mark of the tokens.
        mark: String,
    },
    /// The reader was told that the stream is done although tokens are missing at the end.
    #[display("{reader}: done after {read} of {requested} tokens")]
    Incomplete {
        /// The reader and its request.
        reader: ReaderId,
        /// The number of tokens read.
        read: u32,
        /// The number of tokens of the whole output.
        requested: u32,
    },
}

/// Identifies a reader by its process and the process's number for the request.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{source} request {request}")]
pub struct ReaderId {
    /// The process.
    pub source: Arc<str>,
    /// Its number for the request.
    pub request: u64,
}

#[derive(Default)]
struct RecordedRead<'a> {
    prompt: &'a str,
    texts: Vec<&'a str>,
    is_done: bool,
}

/// Finds all violations in a merged history. Each request must have a prompt of its own.
#[must_use]
pub fn check_tokens(history: &[Line]) -> Vec<TokenViolation> {
    let marks = marks_by_prompt(history);
    let mut violations = Vec::new();
    for (reader, read) in reads_by_reader(history) {
        check_order(&reader, &read, &mut violations);
        check_origin(&reader, &read, &marks, &mut violations);
        check_complete(&reader, &read, &mut violations);
    }
    violations
}

/// The number of times that engines started a prompt, continuations included.
#[must_use]
pub fn starts_of(history: &[Line], wanted: &str) -> usize {
    let is_start = |line: &&Line| matches!(&line.event, Event::GenerationStart { prompt, .. } if &**prompt == wanted);
    history.iter().filter(is_start).count()
}

fn reads_by_reader(history: &[Line]) -> BTreeMap<ReaderId, RecordedRead<'_>> {
    let mut reads_by_reader = BTreeMap::<ReaderId, RecordedRead<'_>>::new();
    for line in history {
        let (Event::Sent { request, .. }
        | Event::TokenRead { request, .. }
        | Event::Answered { request, .. }) = &line.event
        else {
            continue;
        };
        let reader = ReaderId { source: line.source.clone(), request: *request };
        let read = reads_by_reader.entry(reader).or_default();
        match &line.event {
            Event::Sent { what, .. } => read.prompt = what,
            Event::TokenRead { text, .. } => read.texts.push(text),
            Event::Answered { outcome, .. } => read.is_done |= outcome == "done",
            _ => {}
        }
    }
    reads_by_reader
}

fn marks_by_prompt(history: &[Line]) -> BTreeSet<(&str, &str)> {
    let started = history.iter().filter_map(|line| match &line.event {
        Event::GenerationStart { prompt, mark, .. } => Some((&**prompt, &**mark)),
        _ => None,
    });
    started.collect()
}

fn check_order(reader: &ReaderId, read: &RecordedRead<'_>, violations: &mut Vec<TokenViolation>) {
    for (text, expected) in read.texts.iter().zip(0..) {
        let index = text.trim_end().split_once('.').and_then(|(_, index)| index.parse().ok());
        match index {
            None => violations
                .push(TokenViolation::NotAToken { reader: reader.clone(), text: (*text).into() }),
            Some(found) if found != expected => {
                violations.push(TokenViolation::OutOfOrder {
                    reader: reader.clone(),
                    expected,
                    found,
                });
                return;
            }
            Some(_) => {}
        }
    }
}

fn check_origin(
    reader: &ReaderId,
    read: &RecordedRead<'_>,
    marks: &BTreeSet<(&str, &str)>,
    violations: &mut Vec<TokenViolation>,
) {
    let mut read_marks = read.texts.iter().filter_map(|text| text::mark(text));
    let Some(first) = read_marks.next() else { return };
    if let Some(second) = read_marks.find(|mark| *mark != first) {
        let (first, second) = (first.to_owned(), second.to_owned());
        violations.push(TokenViolation::MixedGenerations { reader: reader.clone(), first, second });
    }
    if !marks.contains(&(read.prompt, first)) {
        let mark = first.to_owned();
        violations.push(TokenViolation::WrongGeneration { reader: reader.clone(), mark });
    }
}

fn check_complete(
    reader: &ReaderId,
    read: &RecordedRead<'_>,
    violations: &mut Vec<TokenViolation>,
) {
    let requested = text::output_tokens(read.prompt);
    let count = u32::try_from(read.texts.len()).unwrap_or(u32::MAX);
    if read.is_done && count != requested {
        violations.push(TokenViolation::Incomplete {
            reader: reader.clone(),
            read: count,
            requested,
        });
    }
}
