//! Events of a test run as JSON lines, for checkers to read afterwards.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

use comfreymast_base::{Clock, GenerationId};
use serde::{Deserialize, Serialize};

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch. Comparable between the processes of a run, since they
    /// share one machine.
    pub at_unix_ms: u64,
    /// The process that recorded the event.
    pub source: Arc<str>,
    /// What happened.
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// An engine started a generation.
    GenerationStart {
        /// Which one.
        generation: GenerationId,
        /// Which attempt.
        fence: u64,
        /// The prompt.
        prompt: Arc<str>,
        /// How many tokens of earlier attempts it continues from.
        resume_tokens: u32,
        /// The mark that identifies its tokens, see [`crate::engine::text`].
        #[serde(default)]
        mark: Arc<str>,
    },
    /// An engine ended a generation.
    GenerationEnd {
        /// Which one.
        generation: GenerationId,
        /// Which attempt.
        fence: u64,
        /// All its tokens, those of earlier attempts included.
        tokens: u32,
        /// False when it was dropped before its last token.
        whole: bool,
    },
    /// A plain service started a call.
    CallStart {
        /// The method and path.
        call: String,
        /// The body.
        body: String,
    },
    /// A plain service ended a call.
    CallEnd {
        /// The method and path.
        call: String,
        /// The body.
        body: String,
    },
    /// A client sent a request.
    Sent {
        /// The client's own number for it.
        request: u64,
        /// The request, as the client describes it.
        what: String,
    },
    /// A client received a token.
    TokenRead {
        /// The client's own number for the request.
        request: u64,
        /// The text.
        text: String,
    },
    /// A client received its final answer.
    Answered {
        /// The client's own number for the request.
        request: u64,
        /// The HTTP status; 0 when the connection broke.
        status: u16,
        /// The `comfreymast-outcome` header, or `done` after a stream's last event.
        outcome: String,
        /// The body of an answer that was not streamed, or the code of a stream's error event.
        body: String,
    },
}

/// Parses a history. Skips malformed lines, since a killed process may leave one half written.
#[must_use]
pub fn parse(text: &str) -> Vec<Line> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// A writer of events to a history file. Without a file it discards them.
#[derive(Clone, Debug)]
pub struct History {
    source: Arc<str>,
    clock: Clock,
    file: Option<Arc<Mutex<File>>>,
}

impl History {
    /// Appends to the file at `path`.
    ///
    /// # Errors
    ///
    /// When the file cannot be opened.
    pub fn open(source: &str, path: Option<&Path>) -> std::io::Result<Self> {
        let file = path.map(|path| File::options().create(true).append(true).open(path));
        let file = file.transpose()?.map(|file| Arc::new(Mutex::new(file)));
        Ok(Self { source: Arc::from(source), clock: Clock::system(), file })
    }

    /// Appends one event. Each line is a single write, so processes may share a file.
    pub fn record(&self, event: Event) {
        let Some(file) = &self.file else { return };
        let line = Line { at_unix_ms: self.clock.unix_ms(), source: self.source.clone(), event };
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        text.push(b'\n');
        if let Ok(mut file) = file.lock() {
            let _ = file.write_all(&text);
        }
    }
}
