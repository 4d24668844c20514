//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::{BufWriter, Result, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Writes the record of a case.
pub struct Recorder {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Recorder {
    /// A record in the file at `path`.
    pub fn create(path: &Path) -> Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
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

    /// Writes what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
