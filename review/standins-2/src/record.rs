//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// A record in the file at `path`, which is emptied.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let ms = self.elapsed_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7.3} s  {text}", ms as f64 / 1_000.0);
    }
}
