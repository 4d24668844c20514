//! What was sent, answered and run, with times since the start of the case.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Result, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Writes the record of a case.
pub struct Recorder {
    start: Instant,
    file: Mutex<BufWriter<File>>,
    /// Where and when requests ran, by their identifiers.
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub upstream: String,
    pub at_ms: u64,
}

impl Recorder {
    /// A record in the file at `path`.
    pub fn create(path: &Path) -> Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file, runs: Mutex::default() })
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }

    /// Writes a line, to standard output too.
    pub fn say(&self, text: &str) {
        println!("{:>7} ms  {text}", self.now_ms());
        self.line(text);
    }

    /// Records that the server `upstream` runs the request `id`.
    pub fn run(&self, id: &str, upstream: &str, detail: &str) {
        let run = Run { upstream: upstream.to_owned(), at_ms: self.now_ms() };
        self.lock_runs().entry(id.to_owned()).or_default().push(run);
        self.line(&format!("run      {id} at {upstream} {detail}"));
    }

    /// The runs of the request `id`.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.lock_runs().get(id).cloned().unwrap_or_default()
    }

    fn lock_runs(&self) -> MutexGuard<'_, HashMap<String, Vec<Run>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
