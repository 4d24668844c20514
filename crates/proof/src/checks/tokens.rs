//! Every token once, in order, from one generation of the reader's own request; whole where the
//! reader was told that it is done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use comfreymast_fakes::engine::text;
use comfreymast_fakes::history::{Event, Line};
use derive_more::{Display, Error};

/// One broken promise.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TokenViolation {
    /// A text that no engine writes.
    #[display("{reader}: {text:?} is no token")]
    NotAToken {
        /// The reader and its request.
        reader: ReaderId,
        /// The text.
        text: String,
    },
    /// A token is missing, doubled or out of order.
    #[display("{reader}: token {found} came in place of {expected}")]
    OutOfOrder {
        /// The reader and its request.
        reader: ReaderId,
        /// The index that was due.
        expected: u32,
        /// The index that came.
        found: u32,
    },
    /// Tokens of two generations.
    #[display("{reader}: tokens of {first} and of {second}")]
    Spliced {
        /// The reader and its request.
        reader: ReaderId,
        /// The mark of the first token.
        first: String,
        /// Another mark.
        second: String,
    },
    /// Tokens of a generation that no engine ran for this request.
    #[display("{reader}: tokens of {mark}, which is not a run of this request")]
    Crossed {
        /// The reader and its request.
        reader: ReaderId,
        /// The mark of the tokens.
        mark: String,
    },
    /// Told that it is done, with tokens missing at the end.
    #[display("{reader}: done after {read} of {asked} tokens")]
    NotWhole {
        /// The reader and its request.
        reader: ReaderId,
        /// Tokens read.
        read: u32,
        /// Tokens there are.
        asked: u32,
    },
}

/// A reader's process and its number for the request.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{source} request {request}")]
pub struct ReaderId {
    /// The process.
    pub source: Arc<str>,
    /// Its number for the request.
    pub request: u64,
}

#[derive(Default)]
struct Read<'a> {
    prompt: &'a str,
    texts: Vec<&'a str>,
    is_done: bool,
}

/// All broken promises of a merged history. Each request must have a prompt of its own.
#[must_use]
pub fn check_tokens(history: &[Line]) -> Vec<TokenViolation> {
    let marks = marks_by_prompt(history);
    let mut violations = Vec::new();
    for (reader, read) in reads(history) {
        check_order(&reader, &read, &mut violations);
        check_origin(&reader, &read, &marks, &mut violations);
        check_whole(&reader, &read, &mut violations);
    }
    violations
}

/// How often engines began to run a prompt, continuations included.
#[must_use]
pub fn starts_of(history: &[Line], wanted: &str) -> usize {
    let is_start = |line: &&Line| matches!(&line.event, Event::GenerationStart { prompt, .. } if &**prompt == wanted);
    history.iter().filter(is_start).count()
}

fn reads(history: &[Line]) -> BTreeMap<ReaderId, Read<'_>> {
    let mut reads = BTreeMap::<ReaderId, Read<'_>>::new();
    for line in history {
        let (Event::Sent { request, .. }
        | Event::TokenRead { request, .. }
        | Event::Answered { request, .. }) = &line.event
        else {
            continue;
        };
        let reader = ReaderId { source: line.source.clone(), request: *request };
        let read = reads.entry(reader).or_default();
        match &line.event {
            Event::Sent { what, .. } => read.prompt = what,
            Event::TokenRead { text, .. } => read.texts.push(text),
            Event::Answered { outcome, .. } => read.is_done |= outcome == "done",
            _ => {}
        }
    }
    reads
}

fn marks_by_prompt(history: &[Line]) -> BTreeSet<(&str, &str)> {
    let started = history.iter().filter_map(|line| match &line.event {
        Event::GenerationStart { prompt, mark, .. } => Some((&**prompt, &**mark)),
        _ => None,
    });
    started.collect()
}

fn check_order(reader: &ReaderId, read: &Read<'_>, violations: &mut Vec<TokenViolation>) {
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
    read: &Read<'_>,
    marks: &BTreeSet<(&str, &str)>,
    violations: &mut Vec<TokenViolation>,
) {
    let mut read_marks = read.texts.iter().filter_map(|text| text::mark(text));
    let Some(first) = read_marks.next() else { return };
    if let Some(second) = read_marks.find(|mark| *mark != first) {
        let (first, second) = (first.to_owned(), second.to_owned());
        violations.push(TokenViolation::Spliced { reader: reader.clone(), first, second });
    }
    if !marks.contains(&(read.prompt, first)) {
        let mark = first.to_owned();
        violations.push(TokenViolation::Crossed { reader: reader.clone(), mark });
    }
}

fn check_whole(reader: &ReaderId, read: &Read<'_>, violations: &mut Vec<TokenViolation>) {
    let asked = text::output_tokens(read.prompt);
    let count = u32::try_from(read.texts.len()).unwrap_or(u32::MAX);
    if read.is_done && count != asked {
        violations.push(TokenViolation::NotWhole { reader: reader.clone(), read: count, asked });
    }
}
